package server

import (
	"errors"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"dooryard.example/dooryard/internal/testlib"
)

// acceptOne returns a connection that a listener accepts.
func acceptOne(t *testing.T, l net.Listener, err error) net.Conn {
	t.Helper()
	require.NoError(t, err)
	caller, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	accepted, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, errors.Join(accepted.Close(), caller.Close(), l.Close())) })
	return accepted
}

// TestUnreadBytesAreBounded guards against processes that are killed for what the kernel holds of many uploads which
// they have not read.
func TestUnreadBytesAreBounded(t *testing.T) {
	const unreadBytes = 32 << 10
	l, err := ListenBuffered(unreadBytes)("tcp", "127.0.0.1:0")
	accepted := acceptOne(t, l, err)
	// Linux doubles the size, for what it needs itself.
	assert.LessOrEqual(t, testlib.ReceiveBuffer(t, accepted), 2*unreadBytes)
	assert.GreaterOrEqual(t, testlib.ReceiveBuffer(t, accepted), unreadBytes)
}

// TestAcceptedConnectionsHaveKeepAlives guards against callers that are gone whose connections stay for good.
func TestAcceptedConnectionsHaveKeepAlives(t *testing.T) {
	for name, listen := range map[string]Listen{"plain": ListenTCP, "buffered": ListenBuffered(32 << 10)} {
		t.Run(name, func(t *testing.T) {
			l, err := listen("tcp", "127.0.0.1:0")
			accepted := acceptOne(t, l, err)
			assert.Equal(t, 1, testlib.SocketOption(t, accepted, unix.SOL_SOCKET, unix.SO_KEEPALIVE))
			assert.Equal(t, 1, testlib.SocketOption(t, accepted, unix.IPPROTO_TCP, unix.TCP_NODELAY))
			assert.Equal(t, keepAliveS, testlib.SocketOption(t, accepted, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE))
			assert.Equal(t, keepAliveS, testlib.SocketOption(t, accepted, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL))
			assert.Equal(t, keepAliveProbes, testlib.SocketOption(t, accepted, unix.IPPROTO_TCP, unix.TCP_KEEPCNT))
		})
	}
}
