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

// A machine may be suspended for seconds. Its boxes took their proofs of keys and versions for
// young, deadlines for far and other boxes for gone, and sent on what had been decided before,
// since the clock they read, and the timers that wait on it, don't count that time. In these
// tests a suspension moves the boxes' clock on at once, while the timers of the bubble wait on.

const suspendedMs = 10 * clock.Second

// gated is a body of which the rest comes once the gate is open.
type gated struct {
	gate chan struct{}
	sent int
}

func (g *gated) Read(part []byte) (int, error) {
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

// sendHalf sends a request of which half the body comes before the gate opens, and returns
// where its status will be.
func (r *running) sendHalf(path string, body *gated) <-chan int {
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
	t.Run("a request whose key was accepted before is not sent on an old proof", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			var arrivals atomic.Int32
			f.upstream("u1", counted(&arrivals, answer("done")))
			// Shorter than the route's time-out, so that the request itself is in time.
			const trustedMs = 2000
			b := f.box(1, func(g *config.Gateway) { g.Freshness.MaxAgeMs = trustedMs })
			pass(f.t, time.Second)
			body := &gated{gate: make(chan struct{})}
			status := b.sendHalf("/unsafe/", body)
			pass(f.t, 100*time.Millisecond)
			f.store.setAway("box-1", true)
			f.skipSteady(trustedMs)
			close(body.gate)
			assert.Equal(f.t, http.StatusServiceUnavailable, <-status)
			assert.Zero(f.t, arrivals.Load())
		})
	})
	t.Run("a request whose time passed meanwhile is not sent", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			var arrivals atomic.Int32
			f.upstream("u1", counted(&arrivals, answer("done")))
			b := f.box(1, func(g *config.Gateway) { g.Freshness.MaxAgeMs = 60_000 })
			pass(f.t, time.Second)
			body := &gated{gate: make(chan struct{})}
			status := b.sendHalf("/unsafe/", body)
			pass(f.t, 100*time.Millisecond)
			f.skipSteady(suspendedMs)
			close(body.gate)
			assert.Contains(f.t, []int{http.StatusGatewayTimeout, http.StatusServiceUnavailable, http.StatusRequestTimeout}, <-status)
			assert.Zero(f.t, arrivals.Load())
		})
	})
	t.Run("an attempt whose time passed meanwhile ends on waking", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			f.upstream("u1", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
			b := f.box(1)
			pass(f.t, time.Second)
			ended := make(chan int, 1)
			go func() {
				status, _, _ := b.get("/unsafe/")
				ended <- status
			}()
			pass(f.t, 500*time.Millisecond)
			f.skipSteady(suspendedMs)
			pass(f.t, 200*time.Millisecond)
			select {
			case status := <-ended:
				assert.Equal(f.t, http.StatusGatewayTimeout, status)
			default:
				assert.Fail(f.t, "the attempt goes on after its time")
			}
		})
	})
	t.Run("nothing is sent to an upstream that left meanwhile", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			var arrivals atomic.Int32
			f.upstream("u1", counted(&arrivals, answer("done")))
			f.upstreamIn("u2", "e", answer("done"))
			b := f.box(1)
			pass(f.t, time.Second)
			f.leaves("u1")
			f.skipSteady(suspendedMs)
			status, _, err := b.get("/safe/")
			require.NoError(f.t, err)
			assert.Equal(f.t, http.StatusOK, status)
			assert.Zero(f.t, arrivals.Load(), "before the box has heard anew")
		})
	})
	t.Run("a request whose caller left meanwhile is not sent", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			b := f.box(1)
			ctx, leave := context.WithCancel(f.t.Context())
			request := &opaque.Request{HTTP: httptest.NewRequestWithContext(ctx, http.MethodGet, "/unsafe/", nil)}
			leave()
			var refusal *opaque.RefusalError
			require.ErrorAs(f.t, b.vouch(request), &refusal)
			assert.Equal(f.t, opaque.CallerGone, refusal.Cause)
		})
	})
	t.Run("requests don't wait for long where nobody can be heard", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			f.upstream("u1", answer("done"))
			b := f.box(1, func(g *config.Gateway) { g.Freshness.MaxAgeMs = 0 })
			pass(f.t, time.Second)
			f.store.setAway("box-1", true)
			f.skipSteady(suspendedMs)
			began := clock.New().Steady()
			status, _, err := b.get("/safe/")
			require.NoError(f.t, err)
			assert.Equal(f.t, http.StatusOK, status)
			assert.LessOrEqual(f.t, clock.New().Steady()-began, clock.Millis(500))
		})
	})
	t.Run("the other boxes still count, so that the slack of retries stays shared", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			boxes := f.boxes(5)
			pass(f.t, 3100*time.Millisecond)
			f.skipSteady(suspendedMs)
			for range 20 {
				pass(f.t, 50*time.Millisecond)
				// What else is due at this instant runs first.
				synctest.Wait()
				for _, b := range boxes {
					assert.Equal(f.t, 5, b.peering.mesh.Boxes())
				}
			}
		})
	})
}

// TestSlowBox has a box run late all the time, as on a machine that is slowed: the others that
// are gone must not count for ever because each of its looks comes late.
func TestSlowBox(t *testing.T) {
	bubble(t, func(f *fleet) {
		first := f.boxes(2)[0]
		pass(f.t, 2*time.Second)
		f.network.SetCut(func(from, to string) bool { return from != to && isBox(from) && isBox(to) })
		for range 100 {
			f.skipSteady(200)
			pass(f.t, 50*time.Millisecond)
		}
		synctest.Wait()
		assert.Equal(f.t, 1, first.peering.mesh.Boxes())
	})
}

// TestSuspendedSessions has sessions, one of them usual at the upstream that left, come in
// the first instant after a suspension.
func TestSuspendedSessions(t *testing.T) {
	bubble(t, func(f *fleet) {
		var late atomic.Int32
		for i := range 6 {
			f.upstream("u"+strconv.Itoa(i), answer("done"))
		}
		f.upstream("left", counted(&late, answer("done")))
		b := f.box(1)
		pass(f.t, time.Second)
		f.store.put(registry.Upstream{ID: "left", Pool: "p", Address: "127.0.0.1:1", FailureDomain: "d", Slots: 8, Draining: true})
		f.skipSteady(suspendedMs)
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
