package upstream

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/testlib"
)

// TestProbeLiveness guards against taking a crashed upstream for alive because a connection to it was idle when it
// crashed. A host that lost power closes nothing, so such a connection looks usable.
func TestProbeLiveness(t *testing.T) {
	network := testlib.NewNetwork()
	listener, err := network.Host("upstream").Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{} //nolint:gosec // No network that could stall it.
	go func() { _ = server.Serve(listener) }()
	silent := false
	network.SetBlackhole(func(string, string) bool { return silent })
	dials := 0
	c := New(listener.Addr().String(), func() clock.Millis { return 1 }, WithOnDial(func() { dials++ }),
		WithDial(func(ctx context.Context, n, address string) (net.Conn, error) {
			return network.Host("box").Dial(ctx, n, address)
		}))
	require.True(t, c.HostReachable(t.Context()))
	assertLiveness := func(t *testing.T, want Liveness) {
		t.Helper()
		assert.Equal(t, want, c.ProbeLiveness(t.Context()))
		assert.NotEmpty(t, c.idle, "the connection from before is still idle")
	}
	t.Run("of an upstream that accepts connections", func(t *testing.T) { assertLiveness(t, Alive) })
	t.Run("of a host that lost power", func(t *testing.T) {
		silent = true
		assertLiveness(t, Unresponsive)
		silent = false
	})
	t.Run("of a process that is gone", func(t *testing.T) {
		require.NoError(t, listener.Close())
		assertLiveness(t, Dead)
	})
	require.NoError(t, server.Close())
	assert.Equal(t, 2, dials)
}
