package inbound_test

import (
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/inbound"
	"dooryard.example/dooryard/internal/server"
)

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
	listener := inbound.NewListener(
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
