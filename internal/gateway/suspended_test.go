package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/pkg/config"
)

// The tests of this file guard against decisions on stale state after a machine was suspended for seconds. If the clock
// and its timers do not count the suspension, confirmations of keys and versions look recent, deadlines look distant
// and other boxes look gone, and requests are sent because of decisions made before the suspension. In these tests a
// suspension advances the boxes' clock at once, while the timers on the fake clock keep waiting.

// suspendedMs is the length of the suspension.
const suspendedMs = 10 * clock.Second

// gatedBody is a request body whose second half is sent once the gate channel is closed.
type gatedBody struct {
	gate chan struct{}
	sent int
}

func (g *gatedBody) Read(part []byte) (int, error) {
	g.sent++
	switch g.sent {
	case 1:
		return copy(part, "a"), nil
	case 2:
		<-g.gate
		return copy(part, "b"), nil
	default:
		return 0, io.EOF
	}
}

// sendGatedBody sends a request with a gated body, and returns the channel that receives the response status.
func (r *running) sendGatedBody(path string, body *gatedBody) <-chan int {
	status := make(chan int, 1)
	client := r.client()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+host+path, body)
	require.NoError(r.fleet.t, err)
	request.ContentLength = 2
	request.Header.Set("X-Id", "half")
	request.Header.Set("Authorization", key)
	go func() {
		response, err := client.Do(request)
		if err != nil {
			status <- 0
			return
		}
		_ = response.Body.Close()
		status <- response.StatusCode
	}()
	return status
}

func TestSuspended(t *testing.T) {
	t.Run("a request whose key was accepted before is not sent on an old confirmation", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			var arrivals atomic.Int32
			f.upstream("u1", countRequests(&arrivals, respondWith("done")))
			// Shorter than the route's timeout, so that the deadline of the request has not passed.
			const trustedMs = 2000
			b := f.box(1, func(g *config.Gateway) { g.Freshness.MaxAgeMs = trustedMs })
			advance(f.t, time.Second)
			body := &gatedBody{gate: make(chan struct{})}
			status := b.sendGatedBody("/unsafe/", body)
			advance(f.t, 100*time.Millisecond)
			f.store.setUnavailable("box-1", true)
			f.advanceMonotonic(trustedMs)
			close(body.gate)
			assert.Equal(f.t, http.StatusServiceUnavailable, <-status)
			assert.Zero(f.t, arrivals.Load())
		})
	})
	t.Run("a request whose deadline passed during the suspension is not sent", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			var arrivals atomic.Int32
			f.upstream("u1", countRequests(&arrivals, respondWith("done")))
			b := f.box(1, func(g *config.Gateway) { g.Freshness.MaxAgeMs = 60_000 })
			advance(f.t, time.Second)
			body := &gatedBody{gate: make(chan struct{})}
			status := b.sendGatedBody("/unsafe/", body)
			advance(f.t, 100*time.Millisecond)
			f.advanceMonotonic(suspendedMs)
			close(body.gate)
			assert.Contains(f.t, []int{http.StatusGatewayTimeout, http.StatusServiceUnavailable, http.StatusRequestTimeout}, <-status)
			assert.Zero(f.t, arrivals.Load())
		})
	})
	t.Run("an attempt whose deadline passed during the suspension ends on resume", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			f.upstream("u1", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
			b := f.box(1)
			advance(f.t, time.Second)
			ended := make(chan int, 1)
			go func() {
				status, _, _ := b.get("/unsafe/")
				ended <- status
			}()
			advance(f.t, 500*time.Millisecond)
			f.advanceMonotonic(suspendedMs)
			advance(f.t, 200*time.Millisecond)
			select {
			case status := <-ended:
				assert.Equal(f.t, http.StatusGatewayTimeout, status)
			default:
				assert.Fail(f.t, "the attempt continues after its deadline")
			}
		})
	})
	t.Run("nothing is sent to an upstream that started draining during the suspension", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			var arrivals atomic.Int32
			f.upstream("u1", countRequests(&arrivals, respondWith("done")))
			f.upstreamIn("u2", "e", respondWith("done"))
			b := f.box(1)
			advance(f.t, time.Second)
			f.setDraining("u1")
			f.advanceMonotonic(suspendedMs)
			status, _, err := b.get("/safe/")
			require.NoError(f.t, err)
			assert.Equal(f.t, http.StatusOK, status)
			assert.Zero(f.t, arrivals.Load(), "sent before the box has refreshed its state")
		})
	})
	t.Run("a request whose caller has disconnected is not sent", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			b := f.box(1)
			ctx, leave := context.WithCancel(f.t.Context())
			request := &opaque.Request{HTTP: httptest.NewRequestWithContext(ctx, http.MethodGet, "/unsafe/", nil)}
			leave()
			var refusal *opaque.RefusalError
			require.ErrorAs(f.t, b.checkBeforeSend(context.Background(), request), &refusal)
			assert.Equal(f.t, opaque.CallerDisconnected, refusal.Cause)
		})
	})
	t.Run("requests wait only briefly if no refresh succeeds", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			f.upstream("u1", respondWith("done"))
			b := f.box(1, func(g *config.Gateway) { g.Freshness.MaxAgeMs = 0 })
			advance(f.t, time.Second)
			f.store.setUnavailable("box-1", true)
			f.advanceMonotonic(suspendedMs)
			began := clock.New().Now()
			status, _, err := b.get("/safe/")
			require.NoError(f.t, err)
			assert.Equal(f.t, http.StatusOK, status)
			assert.LessOrEqual(f.t, clock.New().Now()-began, clock.Millis(500))
		})
	})
	t.Run("the other boxes still count, so that the retry slack stays shared", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			boxes := f.boxes(5)
			advance(f.t, 3100*time.Millisecond)
			f.advanceMonotonic(suspendedMs)
			for range 20 {
				advance(f.t, 50*time.Millisecond)
				// Lets everything else that is due at this instant run first.
				synctest.Wait()
				for _, b := range boxes {
					assert.Equal(f.t, 5, b.peering.mesh.Boxes())
				}
			}
		})
	})
}

// TestSlowBox guards against boxes that have left but never expire, on a machine that is slow all the time, where each
// check is late.
func TestSlowBox(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		first := f.boxes(2)[0]
		advance(f.t, 2*time.Second)
		f.network.SetPartition(func(from, to string) bool { return from != to && isBox(from) && isBox(to) })
		for range 100 {
			f.advanceMonotonic(200)
			advance(f.t, 50*time.Millisecond)
		}
		synctest.Wait()
		assert.Equal(f.t, 1, first.peering.mesh.Boxes())
	})
}

// TestSuspendedSessions sends requests of several sessions immediately after a suspension. One of the sessions prefers
// the upstream that started draining.
func TestSuspendedSessions(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		var late atomic.Int32
		for i := range 6 {
			f.upstream("u"+strconv.Itoa(i), respondWith("done"))
		}
		f.upstream("left", countRequests(&late, respondWith("done")))
		b := f.box(1)
		advance(f.t, time.Second)
		f.store.put(registry.Upstream{ID: "left", Pool: "p", Address: "127.0.0.1:1", FailureDomain: "d", Slots: 8, Draining: true})
		f.advanceMonotonic(suspendedMs)
		for i := range 20 {
			response, err := b.send(context.Background(), call{
				method: http.MethodGet, path: "/sticky/", id: "1", key: key, header: http.Header{"X-Prompt": {"s" + strconv.Itoa(i) + ":100"}},
			})
			require.NoError(f.t, err)
			_ = response.Body.Close()
		}
		assert.Zero(f.t, late.Load())
	})
}
