package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestSilentUpstream guards against requests that are broken off or lost because a sound upstream was silent for a
// second, and against new requests that wait for it meanwhile.
func TestSilentUpstream(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		const silence = 1200 * time.Millisecond
		var silent atomic.Pointer[string]
		handler := func(id string) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/unsafe/slow" && silent.CompareAndSwap(nil, &id) {
					f.network.SetBlackhole(func(from, to string) bool { return from == id || to == id })
					_ = f.clock.Sleep(context.Background(), 1200)
					f.network.SetBlackhole(func(string, string) bool { return false })
				}
				respondWith("done")(w, r)
			}
		}
		for i := range 3 {
			id := fmt.Sprint("u", i)
			f.upstream(id, handler(id))
		}
		b := f.box(1)
		advance(f.t, time.Second)
		type result struct {
			status int
			took   time.Duration
		}
		slow := make(chan result, 1)
		get := func(path string) result {
			start := time.Now()
			status, _, err := b.get(path)
			require.NoError(f.t, err)
			return result{status: status, took: time.Since(start)}
		}
		go func() { slow <- get("/unsafe/slow") }()
		// The time after which a silent upstream is dialed, and the dial.
		advance(f.t, 700*time.Millisecond)
		for range 20 {
			next := get("/unsafe/")
			assert.Equal(f.t, http.StatusOK, next.status)
			assert.Zero(f.t, next.took)
		}
		first := <-slow
		assert.Equal(f.t, http.StatusOK, first.status, "the request in flight goes on")
		assert.Equal(f.t, silence, first.took)
		advance(f.t, time.Second)
		assert.Empty(f.t, b.balance.ReachabilityProbes(), "the upstream is reachable again")
	})
}
