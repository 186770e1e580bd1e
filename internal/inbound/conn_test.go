package inbound

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
)

// TestCallerConn guards against a broken response whose connection is closed in order on a real socket, where the
// connection is wrapped.
func TestCallerConn(t *testing.T) {
	for _, c := range []struct {
		name   string
		broken bool
		want   error
	}{{"is closed in order", false, nil}, {"is reset after a broken response", true, syscall.ECONNRESET}} {
		t.Run(c.name, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			listener := NewListener(inner, 1, exchange.NewMemory(1<<20), clock.New())
			caller, err := net.Dial("tcp", inner.Addr().String())
			require.NoError(t, err)
			conn, err := listener.Accept()
			require.NoError(t, err)
			if c.broken {
				ResetOnClose(WithConn(t.Context(), conn))
			}
			require.NoError(t, conn.Close())
			_, err = io.ReadAll(caller)
			require.ErrorIs(t, err, c.want)
			require.NoError(t, caller.Close())
			assert.Empty(t, listener.slots, "a closed connection takes no slot")
			require.NoError(t, listener.Close())
			_, err = listener.Accept()
			assert.ErrorIs(t, err, net.ErrClosed)
		})
	}
}
