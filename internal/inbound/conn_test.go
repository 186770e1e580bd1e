package inbound

import (
	"io"
	"net"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/server"
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

// TestDrainAcceptsConnectionsThatWait guards against callers whose new connections are reset when a box stops, also a
// full one.
func TestDrainAcceptsConnectionsThatWait(t *testing.T) {
	const connections = 50
	t.Run("room for all", func(t *testing.T) { testDrainAccepts(t, connections, connections) })
	t.Run("a full box", func(t *testing.T) { testDrainAccepts(t, connections, 1) })
}

func testDrainAccepts(t *testing.T, connections, maxConns int) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := NewListener(
		server.NewListener(inner, clock.New(), nil, nil), maxConns, exchange.NewMemory(1<<20), clock.New())
	for range connections {
		caller, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = caller.Close() })
	}
	accepted := []net.Conn{}
	all, ended := make(chan struct{}), make(chan struct{})
	accepting := sync.WaitGroup{}
	accepting.Go(func() {
		defer close(ended)
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			accepted = append(accepted, conn)
			if len(accepted) == connections {
				close(all)
			}
		}
	})
	accepting.Go(func() {
		select {
		case <-all:
		case <-ended:
		}
		for _, conn := range accepted {
			assert.NoError(t, conn.Close())
		}
	})
	require.NoError(t, listener.Drain(t.Context()))
	accepting.Wait()
	assert.Len(t, accepted, connections)
}
