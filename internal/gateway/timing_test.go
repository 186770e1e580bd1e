package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/pkg/config"
)

// withBounds returns the default settings with bounds on freshness.
func withBounds(maxDrainNoticeMs, maxPropagationMs, maxAgeMs int64, graceS float64) config.Gateway {
	g := config.Gateway{}
	g.Freshness = config.Freshness{MaxDrainNoticeMs: maxDrainNoticeMs, MaxPropagationMs: maxPropagationMs, MaxAgeMs: maxAgeMs}
	g.Shutdown.GraceS = graceS
	return defaults(g)
}

func TestTimingOf(t *testing.T) {
	for _, c := range []struct {
		name string
		g    config.Gateway
		want timing
	}{
		{"the usual bounds", withBounds(2000, 2000, 5000, 8), timing{periodMs: 250, pollMs: 1000, removalGraceMs: 1700, announceMs: 2600}},
		{"half the time for draining", withBounds(1000, 2000, 0, 8), timing{periodMs: 100, pollMs: 300, removalGraceMs: 700, announceMs: 2600}},
		{"half the time for versions", withBounds(2000, 1000, 0, 8), timing{periodMs: 100, pollMs: 300, removalGraceMs: 1700, announceMs: 2600}},
		{"the shortest bounds that settings accept", withBounds(650, 650, 0, 8), timing{periodMs: 41, pollMs: 68, removalGraceMs: 350, announceMs: 2600}},
		{"long bounds", withBounds(9000, 9000, 0, 30), timing{periodMs: 250, pollMs: 1000, removalGraceMs: 1700, announceMs: 2600}},
		{"keys that are trusted for a short time", withBounds(3000, 3000, 1000, 8), timing{periodMs: 250, pollMs: 500, removalGraceMs: 1700, announceMs: 2600}},
		{"a short grace", withBounds(2000, 2000, 0, 3), timing{periodMs: 250, pollMs: 1000, removalGraceMs: 1700, announceMs: 1500}},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.want, timingOf(c.g)) })
	}
	t.Run("a box reads the store directly in time to keep the shorter bound", func(t *testing.T) {
		for _, leave := range []int64{650, 800, 1000, 1500, 2000, 3000, 5000} {
			for _, inForce := range []int64{650, 1000, 2000, 4000} {
				g := withBounds(leave, inForce, 0, 8)
				at := timingOf(g).directReadAgeMs(g, timingOf(g).periodMs)
				assert.LessOrEqual(t, at, clock.Millis(min(leave, inForce))-directReadLeadMs, "%d %d", leave, inForce)
			}
		}
	})
	t.Run("a configured poll interval is used unchanged", func(t *testing.T) {
		g := withBounds(2000, 2000, 0, 8)
		g.Store.PollMs = 700
		assert.Equal(t, clock.Millis(700), PollMs(g))
	})
}

// TestDrainBounds guards against requests that are sent to a draining or removed upstream later than the operators
// allow. In one case its entry disappears right after the store was unavailable, when entries of running upstreams may
// also be missing. In the other it starts draining while the store does not respond to the box that reads the store for
// the failure domain.
func TestDrainBounds(t *testing.T) {
	for _, maxDrainNoticeMs := range []int64{1000, 2000} {
		bound := func(g *config.Gateway) { g.Freshness.MaxDrainNoticeMs, g.Freshness.MaxAgeMs = maxDrainNoticeMs, 0 }
		t.Run(fmt.Sprintf("an entry disappears after the store was unavailable, %d ms", maxDrainNoticeMs), func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				f.upstream("u1", respondWith("one"))
				f.upstream("u2", respondWith("two"))
				b := f.box(1, bound)
				advance(f.t, time.Second)
				f.store.setUnavailable("box-1", true)
				advance(f.t, 3*time.Second)
				f.store.setUnavailable("box-1", false)
				f.store.remove("u1")
				advance(f.t, clock.Millis(maxDrainNoticeMs).Duration())
				for range 20 {
					_, body, err := b.get("/safe/")
					require.NoError(f.t, err)
					assert.Equal(f.t, "two", body)
				}
			})
		})
		t.Run(fmt.Sprintf("the store does not respond to the reading box, %d ms", maxDrainNoticeMs), func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				f.upstream("u1", respondWith("done"))
				first := f.box(1, bound)
				boxes := []*running{first}
				for i := 2; i <= 3; i++ {
					boxes = append(boxes, f.box(i, bound, func(g *config.Gateway) { g.Contacts = []string{first.settings.PeersAddress} }))
				}
				advance(f.t, 3*time.Second)
				f.store.setUnresponsive(storeReaderOf(boxes).settings.Box, true)
				f.setDraining("u1")
				advance(f.t, clock.Millis(maxDrainNoticeMs).Duration())
				for _, b := range boxes {
					assertStatus(f.t, b, "/safe/", http.StatusServiceUnavailable)
				}
			})
		})
	}
}
