package inbound

import (
	"bufio"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// connect returns both ends of a connection on real sockets.
func connect(t *testing.T) (caller, conn net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	caller, err = net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	conn, err = listener.Accept()
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	t.Cleanup(func() {
		_ = caller.Close()
		_ = conn.Close()
	})
	return caller, conn
}

// TestHasUnread guards against a request that is overlooked since only the kernel knows of it.
func TestHasUnread(t *testing.T) {
	caller, conn := connect(t)
	assert.False(t, hasUnread(conn), "nothing was sent")
	_, err := caller.Write([]byte("request"))
	require.NoError(t, err)
	assert.True(t, hasUnread(conn))
	reader := bufio.NewReader(conn)
	text := make([]byte, len("request"))
	_, err = reader.Read(text)
	require.NoError(t, err)
	assert.Equal(t, "request", string(text), "asking reads nothing")
	assert.False(t, hasUnread(conn), "all was read")
	require.NoError(t, caller.Close())
	_, err = reader.ReadByte()
	require.Error(t, err)
	assert.False(t, hasUnread(conn), "a caller that has left waits for no response")
	require.NoError(t, conn.Close())
	assert.False(t, hasUnread(conn))
}

// TestHasUnreadBesideReader guards against a question to the kernel that waits for the server's reader.
func TestHasUnreadBesideReader(t *testing.T) {
	caller, conn := connect(t)
	read := make(chan error)
	go func() {
		_, err := conn.Read(make([]byte, 1))
		read <- err
	}()
	assert.False(t, hasUnread(conn))
	_, err := caller.Write([]byte("r"))
	require.NoError(t, err)
	require.NoError(t, <-read)
}

type bufferedConn struct {
	net.Conn
	buffered int
}

func (c bufferedConn) Buffered() int { return c.buffered }

// TestHasUnreadWithoutSocket guards against a connection without a socket whose bytes are overlooked.
func TestHasUnreadWithoutSocket(t *testing.T) {
	near, _ := net.Pipe()
	assert.False(t, hasUnread(near))
	assert.False(t, hasUnread(bufferedConn{}))
	assert.True(t, hasUnread(bufferedConn{buffered: 1}))
}
