package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/evacuation"
	"dooryard.example/dooryard/internal/position"
	"dooryard.example/dooryard/pkg/config"
)

// evacuationBoundMs is the time within which the operators of these tests want a failure domain empty.
const evacuationBoundMs clock.Millis = 3000

// arrivals records when requests arrive in each failure domain.
type arrivals struct {
	fleet *fleet
	mu    sync.Mutex
	atMs  map[string][]clock.Millis
}

// newArrivals starts two upstreams in each failure domain.
func newArrivals(f *fleet, domains ...string) *arrivals {
	a := &arrivals{fleet: f, atMs: map[string][]clock.Millis{}}
	for _, domain := range domains {
		for i := range 2 {
			f.upstreamIn(fmt.Sprint(domain, i), domain, func(w http.ResponseWriter, r *http.Request) {
				a.mu.Lock()
				a.atMs[domain] = append(a.atMs[domain], f.clock.Monotonic())
				a.mu.Unlock()
				respondWith("done")(w, r)
			})
		}
	}
	return a
}

// since returns the number of requests that arrived in a failure domain since an instant.
func (a *arrivals) since(domain string, fromMs clock.Millis) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for _, at := range a.atMs[domain] {
		if at >= fromMs {
			count++
		}
	}
	return count
}

// sendFor sends requests of all kinds to all boxes for a duration and returns the number of responses by status.
func (a *arrivals) sendFor(boxes []*running, span time.Duration) map[int]int {
	const interval = 100 * time.Millisecond
	statuses := map[int]int{}
	for i := range int(span / interval) {
		for n, b := range boxes {
			path := []string{"/safe/", "/unsafe/", "/stream/", "/resumable/", "/sticky/"}[(i+n)%5]
			response, err := b.send(context.Background(), call{
				method: http.MethodPost, path: path, id: fmt.Sprint(n, "-", i), key: key, body: "x",
				header: http.Header{"X-Prompt": {fmt.Sprint("s", i, ":100,own:10")}},
			})
			require.NoError(a.fleet.t, err)
			statuses[response.StatusCode]++
			_ = response.Body.Close()
		}
		advance(a.fleet.t, interval)
	}
	return statuses
}

// assertEvacuated checks that a failure domain gets nothing once the evacuation, acknowledged at fromMs, has to be in
// effect.
func (a *arrivals) assertEvacuated(domain string, fromMs clock.Millis) {
	a.fleet.t.Helper()
	assert.Zero(a.fleet.t, a.since(domain, fromMs+evacuationBoundMs), domain)
}

func withEvacuationBound(g *config.Gateway) { g.Freshness.MaxEvacuationMs = int64(evacuationBoundMs) }

// evacuationFleet starts boxes that know the bound.
func evacuationFleet(f *fleet, count int) []*running {
	first := f.box(1, withEvacuationBound)
	boxes := []*running{first}
	for i := 2; i <= count; i++ {
		boxes = append(boxes, f.box(i, withEvacuationBound, withContact(first)))
	}
	advance(f.t, 2*time.Second)
	return boxes
}

// TestEvacuation guards against requests that reach an evacuated failure domain later than the operators allow, and
// against keeping it empty after the evacuation has ended.
func TestEvacuation(t *testing.T) {
	t.Run("one failure domain, then it is taken back", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			a := newArrivals(f, "d", "e")
			boxes := evacuationFleet(f, 3)
			f.store.setEvacuated("d", true)
			startMs := f.clock.Monotonic()
			assert.Equal(f.t, map[int]int{http.StatusOK: 150}, a.sendFor(boxes, 5*time.Second))
			a.assertEvacuated("d", startMs)
			f.store.setEvacuated("d", false)
			endMs := f.clock.Monotonic()
			a.sendFor(boxes, 5*time.Second)
			assert.Positive(f.t, a.since("d", endMs))
		})
	})
	t.Run("two failure domains, twice in a row", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			a := newArrivals(f, "d", "e", "g")
			boxes := evacuationFleet(f, 3)
			for range 2 {
				f.store.setEvacuated("d", true)
				startMs := f.clock.Monotonic()
				a.sendFor(boxes, time.Second)
				f.store.setEvacuated("e", true)
				laterMs := f.clock.Monotonic()
				a.sendFor(boxes, 4*time.Second)
				a.assertEvacuated("d", startMs)
				a.assertEvacuated("e", laterMs)
				f.store.setEvacuated("d", false)
				f.store.setEvacuated("e", false)
				a.sendFor(boxes, time.Second)
			}
		})
	})
	t.Run("of all upstreams: requests are refused at once and told when to return", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			a := newArrivals(f, "d")
			boxes := evacuationFleet(f, 2)
			f.store.setEvacuated("d", true)
			startMs := f.clock.Monotonic()
			a.sendFor(boxes, 4*time.Second)
			sentMs := f.clock.Monotonic()
			response, err := boxes[0].send(context.Background(), call{method: http.MethodGet, path: "/safe/", id: "x", key: key})
			require.NoError(f.t, err)
			defer func() { _ = response.Body.Close() }()
			assert.Equal(f.t, http.StatusServiceUnavailable, response.StatusCode)
			assert.NotEmpty(f.t, response.Header.Get("Retry-After"))
			assert.Equal(f.t, sentMs, f.clock.Monotonic())
			a.assertEvacuated("d", startMs)
			f.store.setEvacuated("d", false)
			advance(f.t, 2*time.Second)
			assert.Equal(f.t, map[int]int{http.StatusOK: 20}, a.sendFor(boxes, time.Second))
		})
	})
	t.Run("a running request is not cut off", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			f.upstream("u", func(w http.ResponseWriter, r *http.Request) {
				advance(f.t, 3*time.Second)
				respondWith("done")(w, r)
			})
			b := evacuationFleet(f, 1)[0]
			done := make(chan string)
			go func() {
				_, body, err := b.get("/unsafe/")
				assert.NoError(f.t, err)
				done <- body
			}()
			advance(f.t, 500*time.Millisecond)
			f.store.setEvacuated("d", true)
			assert.Equal(f.t, "done", <-done)
		})
	})
}

// TestEvacuationUnderFaults guards against evacuations that get lost while the store or boxes are disturbed.
func TestEvacuationUnderFaults(t *testing.T) {
	t.Run("a box that can't reach the store learns of it from others", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			a := newArrivals(f, "d", "e")
			boxes := evacuationFleet(f, 3)
			f.store.setUnavailable(boxes[1].settings.Box, true)
			f.store.setEvacuated("d", true)
			startMs := f.clock.Monotonic()
			a.sendFor(boxes, 5*time.Second)
			a.assertEvacuated("d", startMs)
		})
	})
	t.Run("the store doesn't respond to the box that reads for the others", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			a := newArrivals(f, "d", "e")
			boxes := evacuationFleet(f, 3)
			f.store.setUnresponsive(storeReaderOf(boxes).settings.Box, true)
			advance(f.t, time.Second)
			f.store.setEvacuated("d", true)
			startMs := f.clock.Monotonic()
			a.sendFor(boxes, 6*time.Second)
			a.assertEvacuated("d", startMs)
		})
	})
	t.Run("a box starts during it", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			a := newArrivals(f, "d", "e")
			boxes := evacuationFleet(f, 2)
			f.store.setEvacuated("d", true)
			advance(f.t, 4*time.Second)
			startMs := f.clock.Monotonic()
			late := f.box(9, withEvacuationBound, withContact(boxes[0]))
			a.sendFor([]*running{late}, 3*time.Second)
			assert.Zero(f.t, a.since("d", startMs))
		})
	})
	t.Run("the store is restored from a copy before it, and operators write it again", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			a := newArrivals(f, "d", "e")
			boxes := evacuationFleet(f, 3)
			before := f.store.copy()
			f.store.setEvacuated("d", true)
			startMs := f.clock.Monotonic()
			a.sendFor(boxes, 4*time.Second)
			f.store.restore(before)
			a.sendFor(boxes, 2*time.Second)
			f.store.setEvacuated("d", true)
			a.sendFor(boxes, 8*time.Second)
			a.assertEvacuated("d", startMs)
		})
	})
	t.Run("the store is restored from a copy before its end, and operators write the end again", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			a := newArrivals(f, "d", "e")
			boxes := evacuationFleet(f, 3)
			f.store.setEvacuated("d", true)
			advance(f.t, 2*time.Second)
			during := f.store.copy()
			f.store.setEvacuated("d", false)
			advance(f.t, 2*time.Second)
			f.store.restore(during)
			advance(f.t, 2*time.Second)
			f.store.setEvacuated("d", false)
			advance(f.t, 2*time.Second)
			endMs := f.clock.Monotonic()
			a.sendFor(boxes, 3*time.Second)
			assert.Positive(f.t, a.since("d", endMs))
		})
	})
}

// TestEvacuationLearnedLate guards against sending requests to an evacuated failure domain after the operators' bound,
// because a box could not read the store when the evacuation started.
func TestEvacuationLearnedLate(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		f.upstream("u", respondWith("done"))
		b := f.box(1)
		advance(f.t, time.Second)
		f.store.setUnavailable("box-1", true)
		advance(f.t, 2*time.Second)
		b.evacuations.Apply([]evacuation.Change{{FailureDomain: "d", Position: position.At(0, 100)}})
		require.Len(f.t, b.evacuations.Active(), 1)
		assert.GreaterOrEqual(f.t, b.evacuations.Active()[0].AgeMs, 2*clock.Second)
	})
}
