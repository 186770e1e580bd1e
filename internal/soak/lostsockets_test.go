package soak

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestShutListener guards against runs that take no listener from any box.
func TestShutListener(t *testing.T) {
	listen := func() (net.Listener, int) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		address, ok := l.Addr().(*net.TCPAddr)
		require.True(t, ok)
		return l, address.Port
	}
	lost, port := listen()
	other, _ := listen()
	found, err := shutListener(os.Getpid(), port)
	require.NoError(t, err)
	assert.True(t, found)
	_, err = lost.Accept()
	require.ErrorIs(t, err, syscall.EINVAL)
	conn, err := net.Dial("tcp", other.Addr().String())
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	found, err = shutListener(os.Getpid(), port)
	require.NoError(t, err)
	assert.False(t, found)
}
