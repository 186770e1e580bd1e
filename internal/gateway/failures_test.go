package gateway

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/registry"
)

// TestFailures checks, for each kind of request and each failure, how often the request reaches an upstream and which
// status the caller gets.
func TestFailures(t *testing.T) {
	for _, c := range []struct {
		name     string
		path     string
		first    http.HandlerFunc
		arrivals int32
		status   int
	}{
		{"safe, connection breaks", "/safe/", abortConnection, 2, http.StatusOK},
		{"safe, refused", "/safe/", respondNotRun, 2, http.StatusOK},
		{"safe, upstream fails", "/safe/", respondStatus(500), 2, http.StatusOK},
		{"safe, wrong upstream", "/safe/", respondStatus(421), 2, http.StatusOK},
		{"unsafe, connection breaks", "/unsafe2/", abortConnection, 1, http.StatusBadGateway},
		{"unsafe, refused", "/unsafe2/", respondNotRun, 2, http.StatusOK},
		{"unsafe, refused, one attempt", "/unsafe/", respondNotRun, 1, http.StatusServiceUnavailable},
		{"unsafe, upstream fails", "/unsafe2/", respondStatus(500), 1, 500},
		{"unsafe, 503 without the not-run header", "/unsafe2/", respondStatus(503), 1, http.StatusBadGateway},
		{"unsafe, 429 without the not-run header", "/unsafe2/", respondStatus(429), 1, http.StatusBadGateway},
		{"unsafe, wrong upstream, one attempt", "/unsafe/", respondStatus(421), 2, http.StatusOK},
		{"stream, connection breaks", "/stream/", abortConnection, 1, http.StatusBadGateway},
		{"stream, refused", "/stream/", respondNotRun, 1, http.StatusServiceUnavailable},
		{"resumable stream, connection breaks", "/resumable/", abortConnection, 2, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				t := f.t
				var arrivals, failures atomic.Int32
				handler := countRequests(&arrivals, func(w http.ResponseWriter, r *http.Request) {
					if failures.Add(1) == 1 {
						c.first(w, r)
						return
					}
					_, _ = io.WriteString(w, "done")
				})
				f.upstream("u1", handler)
				f.upstream("u2", handler)
				status, _, err := f.box(1).get(c.path)
				require.NoError(t, err)
				assert.Equal(t, c.status, status)
				assert.Equal(t, c.arrivals, arrivals.Load())
			})
		})
	}
	t.Run("a request reaches the only reachable upstream of many", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			for i := range 12 {
				f.store.put(registry.Upstream{ID: fmt.Sprint("dead", i), Pool: "p", Address: "127.0.0.1:2", FailureDomain: "d", Slots: 8})
			}
			f.upstreamIn("u1", "e", respondWith("done"))
			status, _, err := f.box(1).get("/unsafe/")
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, status)
		})
	})
	t.Run("unreachable upstreams don't count as attempts", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			for i := range 3 {
				f.store.put(registry.Upstream{ID: fmt.Sprint("dead", i), Pool: "p", Address: "127.0.0.1:2", FailureDomain: "d", Slots: 8})
			}
			f.upstream("u1", respondWith("done"))
			status, _, err := f.box(1).get("/unsafe/")
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, status)
		})
	})
}

func TestTimeout(t *testing.T) {
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	for path, status := range map[string]int{"/unsafe/": http.StatusGatewayTimeout, "/stream/": http.StatusGatewayTimeout} {
		t.Run("the final response to "+path+" is sent so that it arrives at the timeout", func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				t := f.t
				f.upstream("u1", silent)
				b := f.box(1)
				began := time.Now()
				got, _, err := b.get(path)
				require.NoError(t, err)
				assert.Equal(t, status, got)
				assert.Equal(t, (timeoutMs-time.Duration(newLeadMs))*time.Millisecond, time.Since(began))
			})
		})
	}
	t.Run("a safe request is retried elsewhere in time if its upstream does not respond", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			var calls atomic.Int32
			handler := func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) == 1 {
					silent(w, r)
					return
				}
				_, _ = io.WriteString(w, "done")
			}
			f.upstream("u1", handler)
			f.upstream("u2", handler)
			b := f.box(1)
			began := time.Now()
			status, _, err := b.get("/safe/")
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, status)
			assert.Equal(t, time.Second, time.Since(began))
		})
	})
}
