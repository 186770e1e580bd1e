package socket

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"dooryard.example/dooryard/internal/testlib"
)

// connected returns both ends of a connection, the first of which is a Conn.
func connected(t *testing.T) (c *Conn, other *net.TCPConn) {
	t.Helper()
	caller, accepted := testlib.Connect(t)
	c, ok := Direct(caller).(*Conn)
	require.True(t, ok)
	other, ok = accepted.(*net.TCPConn)
	require.True(t, ok)
	return c, other
}

// requireOp checks that an error is what net.TCPConn returns for a read or a write.
func requireOp(t *testing.T, err, cause error, op string) {
	t.Helper()
	require.ErrorIs(t, err, cause)
	var failed *net.OpError
	require.ErrorAs(t, err, &failed)
	assert.Equal(t, op, failed.Op)
	assert.NotNil(t, failed.Addr)
}

func TestDirectConnectionPassesBytesOn(t *testing.T) {
	c, other := connected(t)
	sent := make([]byte, 16<<20)
	for i := range sent {
		sent[i] = byte(i >> 8)
	}
	go func() {
		_, _ = c.Write(sent)
		_ = c.CloseWrite()
	}()
	got, err := io.ReadAll(other)
	require.NoError(t, err)
	assert.Equal(t, sent, got)
	go func() {
		_, _ = other.Write(sent)
		_ = other.CloseWrite()
	}()
	got, err = io.ReadAll(c)
	require.NoError(t, err)
	assert.Equal(t, sent, got)
	n, err := c.Read(nil)
	assert.Zero(t, n)
	assert.NoError(t, err)
}

func TestDirectConnectionFailsAsOthersDo(t *testing.T) {
	t.Run("deadlines", func(t *testing.T) {
		c, _ := connected(t)
		require.NoError(t, c.SetDeadline(time.Now().Add(time.Millisecond)))
		_, err := c.Read(make([]byte, 1))
		requireOp(t, err, os.ErrDeadlineExceeded, "read")
		for err = nil; err == nil; {
			_, err = c.Write(make([]byte, 1<<20))
		}
		requireOp(t, err, os.ErrDeadlineExceeded, "write")
	})
	t.Run("a write that the other side takes in part", func(t *testing.T) {
		c, _ := connected(t)
		require.NoError(t, c.SetDeadline(time.Now().Add(100*time.Millisecond)))
		n, err := c.Write(make([]byte, 64<<20))
		requireOp(t, err, os.ErrDeadlineExceeded, "write")
		assert.Positive(t, n)
	})
	t.Run("a reset", func(t *testing.T) {
		c, other := connected(t)
		require.NoError(t, other.SetLinger(0))
		require.NoError(t, other.Close())
		_, err := c.Read(make([]byte, 1))
		requireOp(t, err, unix.ECONNRESET, "read")
		_, err = c.Write([]byte("a"))
		requireOp(t, err, unix.EPIPE, "write")
	})
	t.Run("closed meanwhile", func(t *testing.T) {
		c, _ := connected(t)
		time.AfterFunc(time.Millisecond, func() { _ = c.Close() })
		_, err := c.Read(make([]byte, 1))
		requireOp(t, err, net.ErrClosed, "read")
		_, err = c.Write([]byte("a"))
		requireOp(t, err, net.ErrClosed, "write")
	})
}

func TestDirectLeavesOtherConnections(t *testing.T) {
	one, _ := net.Pipe()
	assert.Same(t, one, Direct(one))
}
