package box

import (
	"net"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/testlib"
)

// brokenOnce is a listener whose first accept fails.
type brokenOnce struct {
	net.Listener
	accepts int
}

func (*brokenOnce) Addr() net.Addr { return &net.TCPAddr{} }

func (l *brokenOnce) Accept() (net.Conn, error) {
	l.accepts++
	if l.accepts == 1 {
		return nil, syscall.ENOBUFS
	}
	return &net.TCPConn{}, nil
}

func TestListenersSurviveTakenPortsAndAcceptErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tries, socket := 0, &brokenOnce{}
		b := &Box{clock: clock.New(), logger: zap.NewNop(), listen: func(string, string) (net.Listener, error) {
			tries++
			if tries <= 2 {
				return nil, syscall.EADDRINUSE
			}
			return socket, nil
		}, packets: testlib.NewNetwork().Host("box").ListenPackets}
		require.NoError(t, b.bindSockets(t.Context()))
		assert.Equal(t, 2+3, tries)
		l, err := b.survivingListener(callersSocket)("tcp", "127.0.0.1:1")
		require.NoError(t, err)
		_, err = l.Accept()
		require.NoError(t, err)
		assert.Equal(t, 2, socket.accepts)
	})
}
