package testlib

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// ReceiveBuffer returns the size of a connection's receive buffer in bytes.
func ReceiveBuffer(t *testing.T, conn net.Conn) int {
	t.Helper()
	return SocketOption(t, conn, unix.SOL_SOCKET, unix.SO_RCVBUF)
}

// SocketOption returns an option of a connection.
func SocketOption(t *testing.T, conn net.Conn, level, name int) int {
	t.Helper()
	withDescriptor, ok := conn.(syscall.Conn)
	require.True(t, ok)
	raw, err := withDescriptor.SyscallConn()
	require.NoError(t, err)
	value := 0
	require.NoError(t, raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), level, name) }))
	require.NoError(t, err)
	return value
}
