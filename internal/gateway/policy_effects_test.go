package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/pkg/config"
)

// servedWhileSilent is the part of keyed requests, one each 100 ms, that a box serves in
// 8 s in which nobody in reach can prove its routing state.
func servedWhileSilent(t *testing.T, change func(g *config.Gateway)) float64 {
	t.Helper()
	const seconds, perSecond = 8, 10
	served := 0
	bubble(t, func(f *fleet) {
		f.upstream("u1", answer("done"))
		b := f.box(1, change)
		pass(f.t, time.Second)
		f.store.setAway("box-1", true)
		for range seconds * perSecond {
			pass(f.t, time.Second/perSecond)
			if status, _, err := b.get("/safe/"); err == nil && status == http.StatusOK {
				served++
			}
		}
	})
	return float64(served) / (seconds * perSecond)
}

// TestFigures states what single policies gain, before and after.
func TestFigures(t *testing.T) {
	t.Run("keys are served through 8 s of a silent store where no bound is set: 0.575, now 1", func(t *testing.T) {
		assert.InDelta(t, 0.575, servedWhileSilent(t, func(*config.Gateway) {}), 0.001)
		assert.InDelta(t, 1.0, servedWhileSilent(t, trustsKeys), 0.001)
	})
	t.Run("requests that wait for connections behind a cut of 3 s: 3, now 1", func(t *testing.T) {
		assert.Equal(t, 1, delayedByCut(t))
	})
}

// delayedByCut is how many of 60 requests, one each 50 ms, take over 150 ms while a
// failure domain with four of six upstreams is cut off and connections there hang.
func delayedByCut(t *testing.T) int {
	t.Helper()
	delayed := 0
	bubble(t, func(f *fleet) {
		domains := map[string]string{"u0": "d", "u1": "d", "u2": "e", "u3": "e", "u4": "e", "u5": "e"}
		for id, domain := range domains {
			address := f.server(id, func(w http.ResponseWriter, r *http.Request) {
				w.Header()["X-Id"] = r.Header["X-Id"]
			})
			f.store.put(registry.Upstream{ID: id, Pool: "p", Address: address, FailureDomain: domain, Slots: 1})
		}
		b := f.box(1)
		pass(f.t, time.Second)
		away := func(host string) bool { return domains[host] == "e" }
		f.network.SetCut(func(from, to string) bool { return away(from) || away(to) })
		f.network.SetDialDelay(func(_, to string) time.Duration {
			if away(to) {
				return 200 * time.Millisecond
			}
			return 0
		})
		for i := range 60 {
			pass(f.t, 50*time.Millisecond)
			began := time.Now()
			response, err := b.send(f.t.Context(), call{
				method: http.MethodGet, path: "/sticky/", id: "1", key: key,
				header: http.Header{"X-Prompt": {fmt.Sprintf("s%d:100,own:1", i)}},
			})
			require.NoError(f.t, err)
			require.NoError(f.t, response.Body.Close())
			assert.Equal(f.t, http.StatusOK, response.StatusCode)
			if time.Since(began) > 150*time.Millisecond {
				delayed++
			}
		}
	})
	return delayed
}
