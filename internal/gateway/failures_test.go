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

// TestFailures shows what each kind of request permits after each failure: who
// gets the request how often, and what the caller hears.
func TestFailures(t *testing.T) {
	for _, c := range []struct {
		name     string
		path     string
		first    http.HandlerFunc
		arrivals int32
		status   int
	}{
		{"safe, connection breaks", "/safe/", broken, 2, http.StatusOK},
		{"safe, refused", "/safe/", refuses, 2, http.StatusOK},
		{"safe, upstream fails", "/safe/", fails(500), 2, http.StatusOK},
		{"safe, wrong upstream", "/safe/", fails(421), 2, http.StatusOK},
		{"unsafe, connection breaks", "/unsafe2/", broken, 1, http.StatusBadGateway},
		{"unsafe, refused", "/unsafe2/", refuses, 2, http.StatusOK},
		{"unsafe, refused, one attempt", "/unsafe/", refuses, 1, http.StatusServiceUnavailable},
		{"unsafe, upstream fails", "/unsafe2/", fails(500), 1, 500},
		{"unsafe, 503 without proof", "/unsafe2/", fails(503), 1, http.StatusBadGateway},
		{"unsafe, 429 without proof", "/unsafe2/", fails(429), 1, http.StatusBadGateway},
		{"unsafe, wrong upstream, one attempt", "/unsafe/", fails(421), 2, http.StatusOK},
		{"stream, connection breaks", "/stream/", broken, 1, http.StatusBadGateway},
		{"stream, refused", "/stream/", refuses, 1, http.StatusServiceUnavailable},
		{"resumable stream, connection breaks", "/resumable/", broken, 2, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, func(f *fleet) {
				t := f.t
				var arrivals, failures atomic.Int32
				handler := counted(&arrivals, func(w http.ResponseWriter, r *http.Request) {
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
	t.Run("a request finds the upstream that is left of many", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			t := f.t
			for i := range 12 {
				f.store.put(registry.Upstream{ID: fmt.Sprint("dead", i), Pool: "p", Address: "127.0.0.1:2", FailureDomain: "d", Slots: 8})
			}
			f.upstreamIn("u1", "e", answer("done"))
			status, _, err := f.box(1).get("/unsafe/")
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, status)
		})
	})
	t.Run("unreachable upstreams cost no attempt", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			t := f.t
			for i := range 3 {
				f.store.put(registry.Upstream{ID: fmt.Sprint("dead", i), Pool: "p", Address: "127.0.0.1:2", FailureDomain: "d", Slots: 8})
			}
			f.upstream("u1", answer("done"))
			status, _, err := f.box(1).get("/unsafe/")
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, status)
		})
	})
}

func TestTimeout(t *testing.T) {
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	for path, status := range map[string]int{"/unsafe/": http.StatusGatewayTimeout, "/stream/": http.StatusGatewayTimeout} {
		t.Run("the final answer to "+path+" comes at the time-out", func(t *testing.T) {
			bubble(t, func(f *fleet) {
				t := f.t
				f.upstream("u1", silent)
				b := f.box(1)
				began := time.Now()
				got, _, err := b.get(path)
				require.NoError(t, err)
				assert.Equal(t, status, got)
				assert.Equal(t, timeoutMs*time.Millisecond, time.Since(began))
			})
		})
	}
	t.Run("a safe request goes elsewhere in time when its upstream is silent", func(t *testing.T) {
		bubble(t, func(f *fleet) {
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
