package gateway

import (
	"context"
	"io"
	"net"
	"slices"

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
	for _, address := range otherPeersAddresses(settings) {
		if server.OpenAll(b.peersPair(address, &opened)...) == nil {
			b.log.Record(decision.PeersPort{Usual: usual, Used: opened.address, Err: err.Error()})
			return opened
		}
	}
	b.log.Record(decision.PeersPort{Usual: usual, Err: err.Error()})
	unopened := server.NewUnopened(usual, err)
	return peersSockets{address: usual, conn: unopened, listener: unopened}
}

// otherPeersAddresses returns the addresses to try if the usual port is taken, the last ones with a port that the
// kernel chooses.
func otherPeersAddresses(settings *config.Gateway) []string {
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
