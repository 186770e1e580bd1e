package server

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// receiveBuffer returns the size of a connection's receive buffer in bytes.
func receiveBuffer(t *testing.T, conn net.Conn) int {
	t.Helper()
	withDescriptor, ok := conn.(syscall.Conn)
	require.True(t, ok)
	raw, err := withDescriptor.SyscallConn()
	require.NoError(t, err)
	size := 0
	require.NoError(t, raw.Control(func(fd uintptr) { size, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF) }))
	require.NoError(t, err)
	return size
}

// TestUnreadBytesAreBounded guards against processes that are killed for what the kernel holds of many uploads which
// they have not read.
func TestUnreadBytesAreBounded(t *testing.T) {
	const unreadBytes = 32 << 10
	l, err := ListenBuffered(unreadBytes)("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	caller, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	accepted, err := l.Accept()
	require.NoError(t, err)
	defer func() { _ = accepted.Close() }()
	// Linux doubles the size, for what it needs itself.
	assert.LessOrEqual(t, receiveBuffer(t, accepted), 2*unreadBytes)
	assert.GreaterOrEqual(t, receiveBuffer(t, accepted), unreadBytes)
}
