package upstream

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
)

// TestAnsweredDialOutlastsTimeout guards against upstreams that count as unreachable because this process got no
// processor time to learn of their answer.
func TestAnsweredDialOutlastsTimeout(t *testing.T) {
	const takes = 10 * connectTimeoutMs
	for _, c := range []struct {
		name       string
		answered   bool
		ends       clock.Millis
		unanswered bool
	}{
		{"a peer that has answered", true, takes, false},
		{"a peer that has not answered", true, connectTimeoutMs, true},
		{"a dial that tells nothing", false, connectTimeoutMs, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
					d, ok := ctx.Value(dialingKey{}).(*dialing)
					require.True(t, ok)
					if c.answered {
						unanswered := func() bool { return c.unanswered }
						d.unanswered.Store(&unanswered)
					}
					if err := clock.New().Sleep(ctx, takes); err != nil {
						return nil, err
					}
					conn, _ := net.Pipe()
					return conn, nil
				}
				client := New("127.0.0.1:1", clock.New().Monotonic, WithDial(dial))
				_, err := client.dialUpstream(t.Context())
				assert.Equal(t, c.ends.Duration(), time.Since(start))
				assert.Equal(t, c.unanswered, err != nil)
				assert.Equal(t, c.unanswered, client.Dials().Failing())
				assert.Equal(t, c.unanswered, client.Dials().Unresponsive)
			})
		})
	}
	t.Run("a caller that leaves", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		client := New("127.0.0.1:1", clock.New().Monotonic)
		_, err := client.dialUpstream(ctx)
		require.ErrorIs(t, err, context.Canceled)
		assert.False(t, client.Dials().Failing())
	})
}
