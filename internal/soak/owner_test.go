package soak

import (
	"net"
	"os"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestSocketInode guards against a request that is ascribed to another box because sockets of several addresses have the
// same port.
func TestSocketInode(t *testing.T) {
	listener := echo(t)
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	local, ok := conn.LocalAddr().(*net.TCPAddr)
	require.True(t, ok)
	same, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9), Port: local.Port})
	require.NoError(t, err)
	inode := socketInode(local)
	require.NotEmpty(t, inode)
	raw, ok := conn.(*net.TCPConn)
	require.True(t, ok)
	file, err := raw.File()
	require.NoError(t, err)
	target, err := os.Readlink("/proc/self/fd/" + strconv.Itoa(int(file.Fd())))
	require.NoError(t, err)
	assert.Equal(t, target, "socket:["+inode+"]")
	require.NoError(t, file.Close())
	require.NoError(t, conn.Close())
	require.NoError(t, same.Close())
}
