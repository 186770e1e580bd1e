package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/namekey"
)

// TestForwardTarget guards against requests that are forwarded to a box that is known not to be able to serve them.
func TestForwardTarget(t *testing.T) {
	pool := namekey.Of("p")
	chosen := func(b *box, request ForwardRequest) map[string]int {
		counts := map[string]int{}
		for range 100 {
			if to, found := b.ForwardTarget(request); found {
				counts[to.Box]++
			}
		}
		return counts
	}
	t.Run("is a live box that can reach the pool and was not tried", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			for range 6 {
				f.start("d")
			}
			unreachable, draining, gone := f.boxes[1], f.boxes[2], f.boxes[3]
			unreachable.mu.Lock()
			unreachable.unreachablePools = []namekey.Key{pool}
			unreachable.mu.Unlock()
			advance(f.t, 2*time.Second)
			draining.BroadcastDraining()
			gone.stop()
			advance(f.t, 2*minAliveMs.Duration())
			counts := chosen(f.boxes[0], ForwardRequest{Pool: pool, Tried: []string{"box-4"}})
			assert.Equal(f.t, map[string]int{"box-5": 100}, counts)
			assert.Positive(f.t, chosen(f.boxes[0], ForwardRequest{Pool: namekey.Of("other")})["box-1"], "another pool")
			assert.Empty(f.t, chosen(f.boxes[0], ForwardRequest{Pool: pool, Tried: []string{"box-4", "box-5"}}))
		})
	})
	t.Run("is no box of a release that does not serve forwarded requests", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			for range 2 {
				f.start("d")
			}
			advance(f.t, 2*time.Second)
			// A report that arrives now would set the flag again.
			synctest.Wait()
			m := f.boxes[0].Mesh
			m.mu.Lock()
			m.peers["box-1"].takesForwarded = false
			m.mu.Unlock()
			assert.Empty(f.t, chosen(f.boxes[0], ForwardRequest{Pool: pool}))
		})
	})
	t.Run("has the routing state of the request, if any box has", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			for range 3 {
				f.start("d")
			}
			f.boxes[2].mu.Lock()
			f.boxes[2].stateSummary.Version = 7
			f.boxes[2].mu.Unlock()
			advance(f.t, 2*time.Second)
			assert.Equal(f.t, map[string]int{"box-2": 100}, chosen(f.boxes[0], ForwardRequest{Pool: pool, Version: 7}))
			assert.Len(f.t, chosen(f.boxes[0], ForwardRequest{Pool: pool, Version: 8}), 2)
		})
	})
	t.Run("is rather a box with fewer requests, or of this failure domain", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			for _, domain := range []string{"d", "d", "d", "e"} {
				f.start(domain)
			}
			f.boxes[1].setInFlight(loads{"u": 20})
			advance(f.t, 2*time.Second)
			counts := chosen(f.boxes[0], ForwardRequest{Pool: pool})
			assert.Greater(f.t, counts["box-2"], counts["box-1"])
			assert.Greater(f.t, counts["box-2"], counts["box-3"])
			assert.Greater(f.t, counts["box-3"], counts["box-1"])
		})
	})
}
