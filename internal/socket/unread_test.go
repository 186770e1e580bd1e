package socket

import (
	"bufio"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/testlib"
)

// TestHasUnread guards against a request that is overlooked since only the kernel knows of it.
func TestHasUnread(t *testing.T) {
	caller, conn := testlib.Connect(t)
	assert.False(t, HasUnread(conn), "nothing was sent")
	_, err := caller.Write([]byte("request"))
	require.NoError(t, err)
	assert.True(t, HasUnread(conn))
	reader := bufio.NewReader(conn)
	text := make([]byte, len("request"))
	_, err = reader.Read(text)
	require.NoError(t, err)
	assert.Equal(t, "request", string(text), "asking reads nothing")
	assert.False(t, HasUnread(conn), "all was read")
	require.NoError(t, caller.Close())
	_, err = reader.ReadByte()
	require.Error(t, err)
	assert.False(t, HasUnread(conn), "a caller that has left waits for no response")
	require.NoError(t, conn.Close())
	assert.False(t, HasUnread(conn))
}

// TestHasUnreadBesideReader guards against a question to the kernel that waits for the server's reader.
func TestHasUnreadBesideReader(t *testing.T) {
	caller, conn := testlib.Connect(t)
	read := make(chan error)
	go func() {
		_, err := conn.Read(make([]byte, 1))
		read <- err
	}()
	assert.False(t, HasUnread(conn))
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
	assert.False(t, HasUnread(near))
	assert.False(t, HasUnread(bufferedConn{}))
	assert.True(t, HasUnread(bufferedConn{buffered: 1}))
}
