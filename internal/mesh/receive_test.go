package mesh

import (
	"math/rand/v2"
	"net"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
)

// scriptedConn fails with each of its errors, then receives one datagram, and is closed then.
type scriptedConn struct {
	net.PacketConn
	errs  []error
	datas [][]byte
}

func (c *scriptedConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	if len(c.errs) > 0 {
		err := c.errs[0]
		c.errs = c.errs[1:]
		return 0, nil, err
	}
	if len(c.datas) > 0 {
		data := c.datas[0]
		c.datas = c.datas[1:]
		return copy(buffer, data), &net.UDPAddr{}, nil
	}
	return 0, nil, net.ErrClosed
}

func TestReceiveSurvivesErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		errs := []error{syscall.ENOBUFS, syscall.ECONNREFUSED, syscall.ENETDOWN}
		reported := []error{}
		m := New(Dependencies{
			Self: Identity{Box: "b", Address: "127.0.0.1:1"}, Clock: clock.New(),
			Conn:           &scriptedConn{errs: errs, datas: [][]byte{[]byte("no packet")}},
			OnReceiveError: func(err error) { reported = append(reported, err) },
			Random:         rand.New(rand.NewPCG(1, 2)),
		})
		m.receive(t.Context())
		sizes := m.Sizes()
		assert.Equal(t, errs, reported)
		assert.EqualValues(t, len(errs), sizes.ReceiveErrors)
		assert.EqualValues(t, 1, sizes.Ignored, "datagrams after the errors")
	})
}
