package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"syscall"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/server"
	"dooryard.example/dooryard/pkg/config"
)

const (
	// peersPortWaitMs is how long a start waits for the usual port of its peers. An earlier process of the box closes its
	// listeners for callers and for peers independently of each other. Callers wait meanwhile.
	peersPortWaitMs clock.Millis = 500
	// anyPortTries is how many ports the kernel chooses for one socket until the other one has the same.
	anyPortTries = 4
)

// peersSockets are the sockets for other boxes. They have the same port, as other boxes know one address of this one.
type peersSockets struct {
	address  string
	conn     net.PacketConn
	listener net.Listener
}

// openPeers opens the sockets for other boxes: at the usual port, or else at another one where boxes look for each
// other, or else at any, from which the box finds the others. If the host has no address for them yet, or descriptors
// are exhausted, they are opened later.
func (b *Box) openPeers(ctx context.Context, settings *config.Gateway) peersSockets {
	usual, opened := settings.PeersAddress, peersSockets{}
	binder := b.binder()
	binder.TimeoutMs = peersPortWaitMs
	err := binder.OpenAll(ctx, b.peersPair(usual, &opened)...)
	if err == nil {
		return opened
	}
	for _, address := range otherPeersAddresses(settings, err) {
		if server.OpenAll(b.peersPair(address, &opened)...) == nil {
			b.log.Record(decision.PeersPort{Usual: usual, Used: opened.address, Err: err.Error()})
			return opened
		}
	}
	b.log.Record(decision.PeersPort{Usual: usual, Err: err.Error()})
	unopened := server.NewUnopened(usual, err)
	return peersSockets{address: usual, conn: unopened, listener: unopened}
}

// otherPeersAddresses returns the addresses to try after the usual one failed, the last ones with a port that the
// kernel chooses. There are none while the host lacks the IP address: once it has it, the usual port is likely free.
func otherPeersAddresses(settings *config.Gateway, usual error) []string {
	if errors.Is(usual, syscall.EADDRNOTAVAIL) {
		return nil
	}
	others := slices.DeleteFunc(settings.PeersAddresses()[1:], func(address string) bool {
		return address == settings.ReadinessAddress || address == settings.MetricsAddress
	})
	if host, _, err := net.SplitHostPort(settings.PeersAddress); err == nil {
		for range anyPortTries {
			others = append(others, net.JoinHostPort(host, "0"))
		}
	}
	return others
}

// peersPair returns the two sockets for other boxes, which are stored in opened.
func (b *Box) peersPair(address string, opened *peersSockets) []server.Socket {
	return []server.Socket{
		{Name: peersUDP, Address: address, Open: func(address string) (_ io.Closer, err error) {
			opened.address = address
			if opened.conn, err = b.packets("udp", address); err == nil {
				opened.address = withPortOf(address, opened.conn.LocalAddr())
			}
			return opened.conn, err
		}},
		{Name: peersSocket, Address: address, Open: func(string) (_ io.Closer, err error) {
			opened.listener, err = b.listen("tcp", opened.address)
			return opened.listener, err
		}},
	}
}

// withPortOf returns an address with the port of a socket, which the kernel may have chosen.
func withPortOf(address string, socket net.Addr) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	_, port, err := net.SplitHostPort(socket.String())
	if err != nil {
		return address
	}
	return net.JoinHostPort(host, port)
}

// peersKeeper opens the sockets for other boxes anew if they fail, both at another port if one can't be opened at the
// same port.
type peersKeeper struct {
	box      *Box
	settings *config.Gateway
	conn     *server.PacketConn
	listener *server.Listener

	// reopening holds a value while a socket is opened anew, which may wait, and guards what follows.
	reopening chan struct{}
	// address is where other boxes reach this one.
	address string
	// reported is set once a line tells that there is no port.
	reported bool
}

// keepPeers returns the keeper of sockets for other boxes.
func (b *Box) keepPeers(settings *config.Gateway, opened peersSockets) *peersKeeper {
	k := &peersKeeper{
		box: b, settings: settings, reopening: make(chan struct{}, 1), address: opened.address,
		reported: server.IsUnopened(opened.conn),
	}
	reportUDP := func(err error) { b.reportListenerError(peersUDP, err) }
	k.conn = server.NewPacketConn(opened.conn, b.clock, func(ctx context.Context) (net.PacketConn, error) {
		return reopenPeers(ctx, k, peersUDP, k.conn.IsOpen, func() (net.PacketConn, error) {
			return b.packets("udp", k.address)
		})
	}, reportUDP, reportUDP)
	k.listener = server.NewListener(opened.listener, b.clock, func(ctx context.Context) (net.Listener, error) {
		return reopenPeers(ctx, k, peersSocket, k.listener.IsOpen, func() (net.Listener, error) {
			return b.listen("tcp", k.address)
		})
	}, func(err error) { b.reportListenerError(peersSocket, err) })
	return k
}

// errPeersMoved is returned if both sockets have moved to another port.
var errPeersMoved = errors.New("sockets for other boxes moved to another port")

// reopenPeers opens a lost socket for other boxes at the same port, or both sockets at another one.
func reopenPeers[T io.Closer](
	ctx context.Context, k *peersKeeper, name string, isOpen func() bool, open func() (T, error),
) (T, error) {
	var reopened T
	select {
	case k.reopening <- struct{}{}:
		defer func() { <-k.reopening }()
	case <-ctx.Done():
		return reopened, ctx.Err()
	}
	if isOpen() {
		return reopened, errPeersMoved
	}
	reopen := func() (err error) {
		if reopened, err = open(); err != nil {
			return fmt.Errorf("%s listener at %s: %w", name, k.address, err)
		}
		return nil
	}
	binder := k.box.binder()
	binder.TimeoutMs = peersPortWaitMs
	if err := binder.Retry(ctx, reopen); err == nil || ctx.Err() != nil {
		return reopened, err
	}
	moved := false
	err := k.box.rebinder().Retry(ctx, func() error {
		err := reopen()
		if err == nil {
			return nil
		}
		if moved = k.move(err); moved {
			return nil
		}
		k.report(decision.PeersPort{Usual: k.settings.PeersAddress, Err: err.Error()})
		return err
	})
	if moved {
		err = errPeersMoved
	}
	return reopened, err
}

// move opens both sockets at another port, and makes the other boxes use it. It reports whether it has.
func (k *peersKeeper) move(because error) bool {
	if k.box.stopping.Load() {
		return false
	}
	opened := peersSockets{}
	for _, address := range append([]string{k.settings.PeersAddress}, otherPeersAddresses(k.settings, because)...) {
		if server.OpenAll(k.box.peersPair(address, &opened)...) == nil {
			k.use(opened)
			k.report(decision.PeersPort{Usual: k.settings.PeersAddress, Used: k.address, Err: because.Error()})
			return true
		}
	}
	return false
}

// use makes the box use sockets at another port. A box that stops meanwhile closes them.
func (k *peersKeeper) use(opened peersSockets) {
	if err := k.listener.Switch(opened.listener); err != nil {
		k.box.reportListenerError(peersSocket, err)
	}
	former, err := k.conn.Switch(opened.conn)
	if err != nil {
		k.box.reportListenerError(peersUDP, err)
		return
	}
	k.address = opened.address
	k.box.peering.mesh.Moved(opened.address, former)
	// It may be dead.
	_ = former.Close()
}

// report records at which port other boxes reach this one, once while there is none.
func (k *peersKeeper) report(e decision.PeersPort) {
	if missing := e.Used == ""; !missing || !k.reported {
		k.box.log.Record(e)
		k.reported = missing
	}
}
