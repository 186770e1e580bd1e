package mesh

import (
	"context"
	"errors"
	"net"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/guard"
)

// receiveBackoffMs is the wait after a failed receive.
const receiveBackoffMs clock.Millis = 20

// receive processes datagrams until the connection is closed. Other errors don't end it, or the box would no longer
// hear from the others.
func (m *Mesh) receive(ctx context.Context) {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, from, err := m.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			m.recordReceiveError(err)
			if m.clock.Sleep(ctx, receiveBackoffMs) != nil {
				return
			}
			continue
		}
		guard.Do("datagram of another box", func() { m.process(buffer[:n], from) })
	}
}

func (m *Mesh) recordReceiveError(err error) {
	m.mu.Lock()
	m.receiveErrors++
	m.mu.Unlock()
	if m.onReceiveError != nil {
		m.onReceiveError(err)
	}
}

// process processes one datagram.
func (m *Mesh) process(data []byte, from net.Addr) {
	switch {
	case isOriginMessage(data):
		m.handleOriginMessage(data, from)
	case isAdmissionMessage(data):
		m.handleAdmissionMessage(data, from)
	case isPermitMessage(data):
		m.handlePermitMessage(data, from)
	default:
		p, err := decode(data)
		if err != nil {
			m.mu.Lock()
			m.ignored++
			m.mu.Unlock()
			return
		}
		m.handle(p, from)
	}
}
