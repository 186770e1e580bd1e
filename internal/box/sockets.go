package box

import (
	"context"
	"net"

	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/server"
)

// peersPortWaitMs is how long a start waits for each address for other boxes.
const peersPortWaitMs clock.Millis = 500

// errorReportMs is the time between two reports of a listener that can't accept connections.
const errorReportMs = clock.Second

// Names of the listeners, and of the UDP socket.
const (
	callersSocket   = "callers"
	peersSocket     = "peers"
	operatorsSocket = "operators"
	gossipSocket    = "gossip"
)

// sockets are those that the box opens at its start.
type sockets struct {
	gossip    net.PacketConn
	listeners map[string]net.Listener
}

// binder returns a binder that waits for an address until its context ends, as an earlier process of the box releases
// it when its listeners close.
func (b *Box) binder() server.Binder {
	return server.Binder{Clock: b.clock, OnRetry: func(err error) {
		b.logger.Warn("listener retried", zap.String("box", b.settings.Box), zap.Error(err))
	}}
}

// bindSockets opens the listener for callers, for which it waits, and then whatever it can of the others. Of several
// processes of the box only the one that has the first opens the others.
func (b *Box) bindSockets(ctx context.Context) error {
	callers, err := b.binder().Listen(ctx, callersSocket, b.settings.Callers.Address, b.listen)
	if err != nil {
		return err
	}
	b.sockets.gossip = b.openGossipSocket(ctx)
	b.sockets.listeners = map[string]net.Listener{
		callersSocket: callers, peersSocket: b.openPeersListener(ctx),
		operatorsSocket: b.listenOnce(b.settings.Operators.Address),
	}
	return nil
}

// peersBinder returns the binder of the sockets for other boxes. They are tried for a while, since an earlier process
// of the box gives them up independently of the listener for callers, which wait meanwhile.
func (b *Box) peersBinder() server.Binder {
	binder := b.binder()
	binder.TimeoutMs = peersPortWaitMs
	return binder
}

// openGossipSocket opens the UDP socket for other boxes: at its address or, if that stays taken, at a port that the
// kernel chooses, which the box tells the others. If there is none yet, it is opened later.
func (b *Box) openGossipSocket(ctx context.Context) net.PacketConn {
	address := b.settings.Peers.GossipAddress
	conn, err := b.peersBinder().ListenPacket(ctx, gossipSocket, address, b.packets)
	if err != nil {
		if other, otherErr := b.packets("udp", withAnyPort(address)); otherErr == nil {
			b.reportReplaced(gossipSocket, address, other.LocalAddr(), err)
			conn = other
		} else {
			conn = server.NewUnopened(address, err)
		}
	}
	// The others know the port that it has.
	address = conn.LocalAddr().String()
	report := b.listenerReport(gossipSocket)
	return server.NewPacketConn(conn, b.clock, func(ctx context.Context) (net.PacketConn, error) {
		return b.patientBinder().ListenPacket(ctx, gossipSocket, address, b.packets)
	}, report, report)
}

// openPeersListener does the same for the listener for other boxes.
func (b *Box) openPeersListener(ctx context.Context) net.Listener {
	address := b.settings.Peers.Address
	listener, err := b.peersBinder().Listen(ctx, peersSocket, address, b.listen)
	if err == nil {
		return listener
	}
	if other, otherErr := b.listen("tcp", withAnyPort(address)); otherErr == nil {
		b.reportReplaced(peersSocket, address, other.Addr(), err)
		return other
	}
	return server.NewUnopened(address, err)
}

// listenOnce opens a listener, or returns one that is opened later.
func (b *Box) listenOnce(address string) net.Listener {
	listener, err := b.listen("tcp", address)
	if err != nil {
		return server.NewUnopened(address, err)
	}
	return listener
}

func (b *Box) reportReplaced(name, usual string, used net.Addr, err error) {
	b.logger.Warn("peers port replaced", zap.String("box", b.settings.Box), zap.String("listener", name),
		zap.String("usual", usual), zap.Stringer("used", used), zap.Error(err))
}

// withAnyPort returns an address with a port that the kernel chooses.
func withAnyPort(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return net.JoinHostPort(host, "0")
}

// patientBinder returns the binder of a socket that could not be opened at the start, or has failed. It is tried until
// the box stops, which serves on those that it has: its next process would find the same address taken.
func (b *Box) patientBinder() server.Binder {
	binder := b.binder()
	binder.RetriesAll = true
	return binder
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
	return func(string, string) (net.Listener, error) {
		inner := b.sockets.listeners[name]
		// The others know the port that it has.
		address := inner.Addr().String()
		l := server.NewListener(inner, b.clock, func(ctx context.Context) (net.Listener, error) {
			return b.patientBinder().Listen(ctx, name, address, b.listen)
		}, b.listenerReport(name))
		if name == callersSocket {
			b.callersListener = l
		}
		return l, nil
	}
}

// listenerReport returns a function that logs errors of a listener, one at a time, at a limited rate.
func (b *Box) listenerReport(name string) func(err error) {
	reportedMs, reported := clock.Millis(0), ""
	return func(err error) {
		now := b.clock.Monotonic()
		if err.Error() == reported && now-reportedMs < errorReportMs {
			return
		}
		reportedMs, reported = now, err.Error()
		b.logger.Warn("listener failed", zap.String("box", b.settings.Box), zap.String("listener", name), zap.Error(err))
	}
}
