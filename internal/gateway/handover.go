package gateway

import (
	"context"
	"net"
)

// A later process of the box may start while this one still runs requests. It opens all its sockets or none, so those
// that a stopping process no longer needs would keep it from serving.

// handOver gives up the addresses on which no requests arrive: readiness checks and metrics end, and the mesh goes on
// at another address.
func (b *Box) handOver() {
	b.endMetrics()
	ended, end := context.WithCancel(context.Background())
	end()
	// It closes the listener and idle connections, and doesn't wait for the others, as the context has ended.
	_ = b.readinessServer.Shutdown(ended)
	if err := b.peering.mesh.GiveUpAddress(b.movePeersSocket); err != nil {
		b.reportListenerError(peersUDP, err)
	}
}

// movePeersSocket moves the UDP socket for other boxes to a port that the kernel chooses. It returns the former socket.
func (b *Box) movePeersSocket() (address string, former net.PacketConn, err error) {
	// The settings may have another address since the start.
	host, _, err := net.SplitHostPort(b.peersSocket.LocalAddr().String())
	if err != nil {
		return "", nil, err
	}
	former, err = b.peersSocket.Move(func() (conn net.PacketConn, err error) {
		if conn, err = b.packets("udp", net.JoinHostPort(host, "0")); err == nil {
			address = conn.LocalAddr().String()
		}
		return conn, err
	})
	return address, former, err
}
