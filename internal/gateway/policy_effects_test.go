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

// servedWhileStoreUnavailable returns the share of requests with a key, one every 100 ms, that a box serves during 8 s
// in which nothing confirms its routing state.
func servedWhileStoreUnavailable(t *testing.T, change func(g *config.Gateway)) float64 {
	t.Helper()
	const seconds, perSecond = 8, 10
	served := 0
	runWithFleet(t, func(f *fleet) {
		f.upstream("u1", respondWith("done"))
		b := f.box(1, change)
		advance(f.t, time.Second)
		f.store.setUnavailable("box-1", true)
		for range seconds * perSecond {
			advance(f.t, time.Second/perSecond)
			if status, _, err := b.get("/safe/"); err == nil && status == http.StatusOK {
				served++
			}
		}
	})
	return float64(served) / (seconds * perSecond)
}

// TestFigures measures the effect of single policies; the subtest names give the results without and with the policy.
func TestFigures(t *testing.T) {
	t.Run("served share of requests with keys while the store is unavailable for 8 s: 0.575 with a maximum age, 1 without", func(t *testing.T) {
		assert.InDelta(t, 0.575, servedWhileStoreUnavailable(t, func(*config.Gateway) {}), 0.001)
		assert.InDelta(t, 1.0, servedWhileStoreUnavailable(t, withoutMaxAge), 0.001)
	})
	t.Run("requests that wait for connections to a domain behind a 3 s partition: 3 before the policy, 1 with it", func(t *testing.T) {
		assert.Equal(t, 1, delayedByPartition(t))
	})
}

// delayedByPartition returns how many of 60 requests, one every 50 ms, take more than 150 ms while a failure domain
// with four of six upstreams is partitioned and connections to it hang.
func delayedByPartition(t *testing.T) int {
	t.Helper()
	delayed := 0
	runWithFleet(t, func(f *fleet) {
		domains := map[string]string{"u0": "d", "u1": "d", "u2": "e", "u3": "e", "u4": "e", "u5": "e"}
		for id, domain := range domains {
			address := f.server(id, func(w http.ResponseWriter, r *http.Request) {
				w.Header()["X-Id"] = r.Header["X-Id"]
			})
			f.store.put(registry.Upstream{ID: id, Pool: "p", Address: address, FailureDomain: domain, Slots: 1})
		}
		b := f.box(1)
		advance(f.t, time.Second)
		partitioned := func(host string) bool { return domains[host] == "e" }
		f.network.SetPartition(func(from, to string) bool { return partitioned(from) || partitioned(to) })
		f.network.SetDialDelay(func(_, to string) time.Duration {
			if partitioned(to) {
				return 200 * time.Millisecond
			}
			return 0
		})
		for i := range 60 {
			advance(f.t, 50*time.Millisecond)
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
