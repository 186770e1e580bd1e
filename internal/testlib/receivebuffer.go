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
	withDescriptor, ok := conn.(syscall.Conn)
	require.True(t, ok)
	raw, err := withDescriptor.SyscallConn()
	require.NoError(t, err)
	size := 0
	require.NoError(t, raw.Control(func(fd uintptr) {
		size, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF)
	}))
	require.NoError(t, err)
	return size
}
