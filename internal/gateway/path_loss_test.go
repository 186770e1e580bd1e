package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/upstream"
)

// TestStreamOutlivesPathLoss guards against a stream that is broken off since its path seems to be down, although no
// other upstream may continue it.
func TestStreamOutlivesPathLoss(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		f.upstreamVersion("ua", "d", "v1", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = w.Write([]byte("id: 1\ndata: v1\n\n"))
			_ = http.NewResponseController(w).Flush()
			_ = f.clock.Sleep(r.Context(), 500)
			_, _ = w.Write([]byte("id: 2\ndata: v1\n\n"))
		})
		b := f.box(1, withManyRetries)
		advance(f.t, time.Second)
		done := make(chan struct{})
		go func() {
			defer close(done)
			status, body, err := b.get("/resumable/")
			assert.NoError(f.t, err)
			assert.Equal(f.t, http.StatusOK, status)
			assert.Equal(f.t, []string{"v1", "v1"}, versionsIn(body))
		}()
		advance(f.t, 100*time.Millisecond)
		_, changed := b.balance.RecordProbe("d", false)
		require.True(f.t, changed)
		advance(f.t, 5*time.Second)
		require.True(f.t, isClosed(done))
	})
}

// TestPausedProbesProveNothing guards against a path that counts as down since a box with little processor time sees its
// own timeouts first.
func TestPausedProbesProveNothing(t *testing.T) {
	const paused = upstream.HostReachableTimeoutMs + checkDelayThresholdMs + 1
	for _, c := range []struct {
		name             string
		tookMs           []clock.Millis
		reachable, known bool
		probes           int
	}{
		{"silence", []clock.Millis{upstream.HostReachableTimeoutMs}, false, true, 1},
		{"silence after a pause", []clock.Millis{paused, upstream.HostReachableTimeoutMs}, false, true, 2},
		{"a connection after two pauses", []clock.Millis{paused, paused, 0}, true, true, 3},
		{"pauses only", []clock.Millis{paused, paused, paused, paused}, false, false, maxPathProbes},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				b, probes := f.box(1), 0
				reachable, known := b.probePath(func() bool {
					took := c.tookMs[probes]
					probes++
					f.advanceMonotonic(took)
					return took == 0
				})
				assert.Equal(f.t, c.reachable, reachable)
				assert.Equal(f.t, c.known, known)
				assert.Equal(f.t, c.probes, probes)
			})
		})
	}
}
