package socket

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/testlib"
)

// longBytes exceeds what the buffers of a connection take.
const longBytes = 32 << 20

// writeLong writes until the connection fails or ends, and returns the connection's failures.
func writeLong(t *testing.T, conn net.Conn, end func()) *WriteFailure {
	t.Helper()
	f := &WriteFailure{}
	written := make(chan error)
	go func() {
		_, err := f.Write(conn, make([]byte, longBytes))
		written <- err
	}()
	end()
	require.Error(t, <-written)
	return f
}

// TestReadAfterFailedWrite guards against a reset that was told to a write, and that reads take for an orderly end.
func TestReadAfterFailedWrite(t *testing.T) {
	other, conn := testlib.Connect(t)
	_, err := other.Write([]byte("part"))
	require.NoError(t, err)
	f := writeLong(t, conn, func() {
		_, err := io.ReadFull(other, make([]byte, 1))
		require.NoError(t, err)
		require.NoError(t, other.(*net.TCPConn).SetLinger(0)) //nolint:forcetypeassert // It is one.
		require.NoError(t, other.Close())
	})
	data, err := io.ReadAll(reader{f, conn})
	assert.Equal(t, "part", string(data))
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}

// TestReadAfterOrderlyEnd guards against a whole response that counts as broken, since the upstream ended the connection
// before it had read the whole request.
func TestReadAfterOrderlyEnd(t *testing.T) {
	t.Run("while a write goes on", func(t *testing.T) {
		other, conn := testlib.Connect(t)
		f := &WriteFailure{}
		go func() { _, _ = f.Write(conn, make([]byte, longBytes)) }()
		_, err := io.ReadFull(other, make([]byte, 1))
		require.NoError(t, err)
		require.NoError(t, other.(*net.TCPConn).CloseWrite()) //nolint:forcetypeassert // It is one.
		_, err = io.ReadAll(reader{f, conn})
		assert.NoError(t, err)
	})
	t.Run("before a write that is reset", func(t *testing.T) {
		other, conn := testlib.Connect(t)
		_, err := other.Write([]byte("whole"))
		require.NoError(t, err)
		require.NoError(t, other.Close())
		for !System().State(conn).Ended {
			continue
		}
		f := writeLong(t, conn, func() {})
		data, err := io.ReadAll(reader{f, conn})
		assert.Equal(t, "whole", string(data))
		assert.NoError(t, err)
	})
}

type reader struct {
	failure *WriteFailure
	conn    net.Conn
}

// Read implements io.Reader.
func (r reader) Read(data []byte) (int, error) { return r.failure.Read(r.conn, data) }
