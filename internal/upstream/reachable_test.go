package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
)

// TestProbeReachable guards against an upstream that counts as reachable because something accepts connections for it
// only to reset them.
func TestProbeReachable(t *testing.T) {
	t.Run("a connection that stays open is kept", func(t *testing.T) {
		c := startUpstream(t, respondEach(okResponse("1", "one"))).client()
		c.ProbeReachable(t.Context())
		assert.False(t, c.Dials().Failing())
		require.Len(t, c.idle, 1)
		body, err := readAll(t, c, request("1"))
		require.NoError(t, err)
		assert.Equal(t, "one", body)
	})
	resetting := func(conn net.Conn, _ *bufio.Reader) { closeWithReset(conn) }
	t.Run("one that is reset at once counts as a failed dial", func(t *testing.T) {
		c := startUpstream(t, resetting).client()
		c.ProbeReachable(t.Context())
		assert.True(t, c.Dials().Failing())
		assert.False(t, c.Dials().Unresponsive)
		assert.Empty(t, c.idle)
	})
	t.Run("so does one that is reset under the request that it was opened for", func(t *testing.T) {
		c := startUpstream(t, resetting).client()
		_, err := readAll(t, c, request("1"))
		require.Error(t, err)
		assert.True(t, c.Dials().Failing())
	})
	t.Run("a refused connection is a failed dial", func(t *testing.T) {
		s := startUpstream(t, respondEach())
		require.NoError(t, s.listener.Close())
		c := s.client()
		c.ProbeReachable(t.Context())
		assert.True(t, c.Dials().Failing())
		assert.False(t, c.Dials().Unresponsive)
	})
}

// TestProbeEndsWithItsContext guards against a box that waits for a probe after its grace period.
func TestProbeEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		t.Cleanup(func() { assert.NoError(t, far.Close()) })
		require.NoError(t, far.SetReadDeadline(time.Now().Add(time.Second)))
		c := New("upstream", clock.New().Monotonic,
			WithDial(func(context.Context, string, string) (net.Conn, error) { return near, nil }))
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		time.AfterFunc(time.Millisecond, cancel)
		c.ProbeReachable(ctx)
		assert.Equal(t, time.Millisecond, time.Since(start))
		assert.False(t, c.Dials().Failing(), "it shows nothing about the upstream")
		assert.Empty(t, c.idle)
		_, err := far.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF, "the connection is closed")
	})
}
