package box

import (
	"context"
	"io"
	"net"

	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/server"
)

// rebindTimeoutMs is how long a box that runs tries to open a listener anew before it stops.
const rebindTimeoutMs = 10 * clock.Second

// errorReportMs is the time between two reports of a listener that can't accept connections.
const errorReportMs = clock.Second

// Names of the listeners, and of the UDP socket.
const (
	callersSocket   = "callers"
	peersSocket     = "peers"
	operatorsSocket = "operators"
	gossipSocket    = "gossip"
)

// sockets are those without which the box can't run.
type sockets struct {
	gossip    net.PacketConn
	listeners map[string]net.Listener
}

// binder returns a binder that waits for addresses until its context ends, as an earlier process of the box releases
// them when its listeners close.
func (b *Box) binder() server.Binder {
	return server.Binder{Clock: b.clock, OnRetry: func(err error) {
		b.logger.Warn("listener retried", zap.String("box", b.settings.Box), zap.Error(err))
	}}
}

// bindSockets opens all sockets or none. Callers are opened last, so that none connects in vain.
func (b *Box) bindSockets(ctx context.Context) error {
	b.sockets.listeners = map[string]net.Listener{}
	all := []server.Socket{{
		Name: gossipSocket, Address: b.settings.Peers.GossipAddress, Open: func(address string) (_ io.Closer, err error) {
			b.sockets.gossip, err = b.packets("udp", address)
			return b.sockets.gossip, err
		},
	}}
	for _, s := range []server.Socket{
		{Name: peersSocket, Address: b.settings.Peers.Address},
		{Name: operatorsSocket, Address: b.settings.Operators.Address},
		{Name: callersSocket, Address: b.settings.Callers.Address},
	} {
		s.Open = func(address string) (_ io.Closer, err error) {
			b.sockets.listeners[s.Name], err = b.listen("tcp", address)
			return b.sockets.listeners[s.Name], err
		}
		all = append(all, s)
	}
	return b.binder().OpenAll(ctx, all...)
}

// closeSockets closes the sockets of a box that can't be built. Their errors have no effect.
func (b *Box) closeSockets() {
	if b.sockets.gossip != nil {
		_ = b.sockets.gossip.Close()
	}
	for _, l := range b.sockets.listeners {
		if l != nil {
			_ = l.Close()
		}
	}
}

// survivingListener returns a function that returns a named listener, which survives errors of its socket.
func (b *Box) survivingListener(name string) server.Listen {
	// Accept reports one error at a time.
	reportedMs, reported := clock.Millis(0), ""
	return func(_, address string) (net.Listener, error) {
		return server.NewListener(b.sockets.listeners[name], b.clock, func(ctx context.Context) (net.Listener, error) {
			binder := b.binder()
			binder.TimeoutMs = rebindTimeoutMs
			return binder.Listen(ctx, name, address, b.listen)
		}, func(err error) {
			now := b.clock.Monotonic()
			if err.Error() == reported && now-reportedMs < errorReportMs {
				return
			}
			reportedMs, reported = now, err.Error()
			b.logger.Warn("listener failed", zap.String("box", b.settings.Box), zap.String("listener", name), zap.Error(err))
		}), nil
	}
}
