package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/pkg/config"
)

// The tests of this file guard against a request that crashes each engine that starts to run it (a query of death).
// Each crash also breaks all other streams of the engine, of all organisations. The caller retries with a new request
// ID, mostly at another box, is sent to an engine that is still running, and crashed engines restart after some seconds
// and crash again: 19 engines crashed like this within 20 s.
//
// It happened because a box knew of a request only until its response broke, and boxes did not share that.
// The fingerprint in log lines (equal for equal method, path, organisation and body) shows such a request: the same
// fingerprint appears at each crash, with different request IDs and at different boxes, and no box retried it itself.

const (
	// fatalBody is the request body that crashes the upstreams of these tests.
	fatalBody = "ends"
	// restartDelayMs is how long after its crash an upstream restarts as a new incarnation.
	restartDelayMs clock.Millis = 2000
	// detectionBoundMs is how long after the third crash boxes may still send the request to upstreams, and
	// maxLateSends how often they may after that. Operators set these bounds.
	detectionBoundMs clock.Millis = 3000
	maxLateSends     int          = 3
)

// crashRecorder starts upstreams that crash when they receive the fatal request, and records the crashes.
type crashRecorder struct {
	fleet *fleet
	// keepIDs makes upstreams restart under the same ID.
	keepIDs bool

	mu sync.Mutex
	// crashesMs holds when upstreams crashed, and sendsMs when they received the fatal request.
	crashesMs, sendsMs []clock.Millis
	started            int
}

// startUpstream starts an upstream that crashes when it receives the fatal request, and restarts as a new incarnation
// after restartDelayMs.
func (a *crashRecorder) startUpstream(slot int) {
	f := a.fleet
	a.mu.Lock()
	a.started++
	id := fmt.Sprintf("u%d-%d", slot, a.started)
	if a.keepIDs {
		id = fmt.Sprint("u", slot)
	}
	a.mu.Unlock()
	listener, err := f.network.Host(id).Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	server := &http.Server{} //nolint:gosec // No network that could stall it.
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := make([]byte, len(fatalBody))
		n, _ := r.Body.Read(body)
		w.Header()["X-Id"] = r.Header["X-Id"]
		if string(body[:n]) != fatalBody {
			respondWith("done")(w, r)
			return
		}
		a.recordSend()
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		go a.crash(server, slot, id)
		<-r.Context().Done()
	})
	go func() { _ = server.Serve(listener) }()
	f.t.Cleanup(func() { _ = server.Close() })
	u := registry.Upstream{ID: id, Pool: "p", Address: listener.Addr().String(), FailureDomain: "d", Slots: 8}
	if a.keepIDs {
		u.StartedMs = f.clock.Now()
	}
	f.store.put(u)
}

// recordSend records that an upstream received the fatal request.
func (a *crashRecorder) recordSend() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sendsMs = append(a.sendsMs, a.fleet.clock.Monotonic())
}

// crash stops an upstream and restarts it later.
func (a *crashRecorder) crash(server *http.Server, slot int, id string) {
	a.mu.Lock()
	a.crashesMs = append(a.crashesMs, a.fleet.clock.Monotonic())
	a.mu.Unlock()
	_ = server.Close()
	if a.fleet.clock.Sleep(a.fleet.t.Context(), restartDelayMs) != nil {
		return
	}
	a.fleet.store.remove(id)
	a.startUpstream(slot)
}

// lateSends returns how often upstreams received the fatal request after the boxes should have recognised it.
func (a *crashRecorder) lateSends() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	const third = 2
	if len(a.crashesMs) <= third {
		return 0
	}
	count := 0
	for _, at := range a.sendsMs {
		if at > a.crashesMs[third]+detectionBoundMs {
			count++
		}
	}
	return count
}

// resend sends the fatal request to one box after another, each time with a new request ID.
func (a *crashRecorder) resend(boxes []*running, path string, times int, interval time.Duration) (statuses []int) {
	t := a.fleet.t
	for i := range times {
		response, err := boxes[i%len(boxes)].send(context.Background(), call{
			method: http.MethodPost, path: path, id: fmt.Sprint("fatal", i), key: key, body: fatalBody,
		})
		require.NoError(t, err)
		statuses = append(statuses, response.StatusCode)
		_ = response.Body.Close()
		advance(t, interval)
	}
	return statuses
}

func newCrashRecorder(f *fleet, upstreams int, change ...func(a *crashRecorder)) *crashRecorder {
	a := &crashRecorder{fleet: f}
	for _, one := range change {
		one(a)
	}
	for slot := range upstreams {
		a.startUpstream(slot)
	}
	return a
}

func TestFatalRequest(t *testing.T) {
	for _, path := range []string{"/stream/", "/resumable/", "/safe/", "/unsafe/"} {
		t.Run("is quarantined at all boxes: "+path[1:], func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				a := newCrashRecorder(f, 8)
				a.resend(f.boxes(3), path, 40, 400*time.Millisecond)
				assert.LessOrEqual(f.t, a.lateSends(), maxLateSends)
			})
		})
	}
	t.Run("stays quarantined after all boxes were restarted", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			a := newCrashRecorder(f, 8)
			boxes := f.boxes(2)
			a.resend(boxes, "/stream/", 10, 400*time.Millisecond)
			for _, b := range boxes {
				b.stop()
			}
			advance(f.t, 10*time.Second)
			a.resend([]*running{f.box(3), f.box(4)}, "/stream/", 20, 400*time.Millisecond)
			assert.LessOrEqual(f.t, a.lateSends(), maxLateSends)
		})
	})
	t.Run("is refused immediately with Retry-After and without being sent", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			a := newCrashRecorder(f, 8)
			b := f.box(1)
			a.resend([]*running{b}, "/stream/", 10, time.Second)
			sends := len(a.sendsMs)
			response, err := b.send(context.Background(), call{method: http.MethodPost, path: "/stream/", id: "x", key: key, body: fatalBody})
			require.NoError(f.t, err)
			defer func() { _ = response.Body.Close() }()
			assert.Equal(f.t, http.StatusServiceUnavailable, response.StatusCode)
			assert.NotEmpty(f.t, response.Header.Get("Retry-After"))
			assert.Len(f.t, a.sendsMs, sends)
		})
	})
	t.Run("does not affect other requests", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			a := newCrashRecorder(f, 8)
			b := f.box(1)
			a.resend([]*running{b}, "/stream/", 10, time.Second)
			for _, other := range []call{
				{method: http.MethodPost, path: "/stream/", body: "other"},
				{method: http.MethodPost, path: "/stream/2", body: fatalBody + "!"},
			} {
				other.id, other.key = "x", key
				response, err := b.send(context.Background(), other)
				require.NoError(f.t, err)
				assert.Equal(f.t, http.StatusOK, response.StatusCode)
				_ = response.Body.Close()
			}
		})
	})
	t.Run("is sent once more after its crashes have expired", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			a := newCrashRecorder(f, 8)
			b := f.box(1, func(g *config.Gateway) { g.Quarantine.HoldMs = 30_000 })
			a.resend([]*running{b}, "/stream/", 10, time.Second)
			sends := len(a.sendsMs)
			advance(f.t, 25*time.Second)
			a.resend([]*running{b}, "/stream/", 3, time.Second)
			assert.Len(f.t, a.sendsMs, sends+1)
		})
	})
	t.Run("is sent if operators have disabled the quarantine", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			a := newCrashRecorder(f, 8)
			b := f.box(1, func(g *config.Gateway) { g.Quarantine.MinCrashes = new(int) })
			a.resend([]*running{b}, "/stream/", 20, time.Second)
			assert.Len(f.t, a.sendsMs, 20)
		})
	})
}

// TestFatalRequestKeptIDs guards against counting upstreams by ID only. Two upstreams restart under the same IDs, so
// three crashes involve only two IDs.
func TestFatalRequestKeptIDs(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		a := newCrashRecorder(f, 2, func(a *crashRecorder) { a.keepIDs = true })
		a.resend(f.boxes(2), "/stream/", 40, 500*time.Millisecond)
		assert.LessOrEqual(f.t, a.lateSends(), maxLateSends)
	})
}

// TestFatalRequestAcrossPartition guards against lost crash reports between boxes that can't reach each other but can
// reach the store. The fatal request is sent first to one box and then to the other.
func TestFatalRequestAcrossPartition(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		a := newCrashRecorder(f, 8)
		boxes := f.boxes(2)
		advance(f.t, 3*time.Second)
		f.network.SetPartition(func(from, to string) bool { return from != to && isBox(from) && isBox(to) })
		advance(f.t, 3*time.Second)
		a.resend(boxes[:1], "/stream/", 5, 500*time.Millisecond)
		advance(f.t, 3*time.Second)
		sends := len(a.sendsMs)
		a.resend(boxes[1:], "/stream/", 10, 500*time.Millisecond)
		assert.Len(f.t, a.sendsMs, sends)
	})
}

func isBox(host string) bool { return strings.HasPrefix(host, "box-") }

// TestFatalRequestSilent guards against missed crashes that close no connection, as when a host loses power. The
// upstreams' entries disappear after a while, and callers may have disconnected before.
func TestFatalRequestSilent(t *testing.T) {
	for name, clientTimeout := range map[string]time.Duration{
		"callers that wait": 6 * time.Second, "callers that disconnect before": 2 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				var poweredOff sync.Map
				f.network.SetBlackhole(func(from, to string) bool {
					_, one := poweredOff.Load(from)
					_, other := poweredOff.Load(to)
					return one || other
				})
				var sends atomic.Int32
				for i := range 8 {
					id := fmt.Sprint("u", i)
					f.upstream(id, func(http.ResponseWriter, *http.Request) {
						sends.Add(1)
						poweredOff.Store(id, true)
						go func() {
							if f.clock.Sleep(f.t.Context(), restartDelayMs) == nil {
								f.store.remove(id)
							}
						}()
						<-f.t.Context().Done()
					})
				}
				boxes := f.boxes(2)
				for i := range 8 {
					ctx, cancel := context.WithTimeout(f.t.Context(), clientTimeout)
					response, err := boxes[i%2].send(ctx, call{
						method: http.MethodPost, path: "/stream/", id: fmt.Sprint(i), key: key, body: fatalBody,
					})
					if err == nil {
						_ = response.Body.Close()
					}
					cancel()
					advance(f.t, 2*time.Second)
				}
				assert.LessOrEqual(f.t, sends.Load(), int32(3))
			})
		})
	}
}

// TestFatalRequestAtStart guards against a box that has just started and serves a fatal request before it knows the
// quarantines of the fleet. Each replaced box let the request crash two more upstreams.
func TestFatalRequestAtStart(t *testing.T) {
	assertRejected := func(t *testing.T, f *fleet, a *crashRecorder, change ...func(g *config.Gateway)) {
		t.Helper()
		sends := len(a.sendsMs)
		response, err := f.box(7, change...).send(context.Background(), call{
			method: http.MethodPost, path: "/safe/", id: "x", key: key, body: fatalBody,
		})
		require.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		assert.Contains(t, string(body), opaque.Quarantined, "the cause of the refusal")
		assert.Len(t, a.sendsMs, sends, "sends by the box that has just started")
	}
	run := func(t *testing.T, readDelayMs clock.Millis, check func(f *fleet, a *crashRecorder, first *running)) {
		t.Helper()
		runWithFleet(t, func(f *fleet) {
			a := newCrashRecorder(f, 8)
			b := f.box(1)
			a.resend([]*running{b}, "/safe/", 4, 4*time.Second)
			f.store.setReadDelay(readDelayMs)
			check(f, a, b)
		})
	}
	for _, readDelayMs := range []clock.Millis{0, 50} {
		t.Run(fmt.Sprintf("while datagrams are lost and reads of the store take %d ms", readDelayMs), func(t *testing.T) {
			run(t, readDelayMs, func(f *fleet, a *crashRecorder, _ *running) {
				f.network.SetPacketLoss(func() bool { return true })
				assertRejected(f.t, f, a)
			})
		})
	}
	t.Run("while datagrams arrive", func(t *testing.T) {
		run(t, 50, func(f *fleet, a *crashRecorder, first *running) { assertRejected(f.t, f, a, withContact(first)) })
	})
	t.Run("other requests are served while the notes can't be read", func(t *testing.T) {
		run(t, 0, func(f *fleet, _ *crashRecorder, first *running) {
			f.store.setUnavailable("box-7", true)
			b := f.box(7, withContact(first))
			advance(f.t, time.Second)
			status, _, err := b.get("/safe/")
			require.NoError(f.t, err)
			assert.Equal(f.t, http.StatusOK, status)
		})
	})
}

// TestNotFatal guards against quarantining harmless requests, whose connections break without a crash or because of a
// crash that another request caused. They must still be served.
func TestNotFatal(t *testing.T) {
	t.Run("connections are reset while the upstreams stay alive", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			for i := range 6 {
				f.upstream(fmt.Sprint("u", i), abortConnection)
			}
			b := f.box(1)
			for range 20 {
				status, _, err := b.get("/safe/")
				require.NoError(f.t, err)
				assert.Equal(f.t, http.StatusBadGateway, status)
				advance(f.t, 10*time.Second)
			}
			assert.Zero(f.t, b.quarantine.Sizes().Fingerprints)
		})
	})
	t.Run("connections are reset shortly before the upstreams leave", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			for i := range 4 {
				f.upstream(fmt.Sprint("u", i), abortConnection)
			}
			b := f.box(1)
			_, _, err := b.get("/safe/")
			require.NoError(f.t, err)
			for i := range 4 {
				f.store.remove(fmt.Sprint("u", i))
			}
			advance(f.t, 3*time.Second)
			assert.Zero(f.t, b.quarantine.Sizes().Fingerprints)
		})
	})
	t.Run("a frequent request runs before and after each crash", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			a := newCrashRecorder(f, 4)
			b := f.box(1)
			ask := func() {
				status, _, err := b.get("/safe/status")
				require.NoError(f.t, err)
				assert.Equal(f.t, http.StatusOK, status)
			}
			for range 10 {
				ask()
				a.resend([]*running{b}, "/stream/", 1, 100*time.Millisecond)
				ask()
				advance(f.t, time.Second)
			}
		})
	})
}

// TestFatalRequestBetweenPartitionedDomains guards against a late quarantine when the fatal request is sent in turn to
// three boxes that can't reach each other from the start, so that none of them sees three crashes early.
func TestFatalRequestBetweenPartitionedDomains(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		a := newCrashRecorder(f, 8)
		first := f.box(1, func(g *config.Gateway) { g.FailureDomain = "a" })
		boxes := []*running{first}
		for i, domain := range []string{"b", "c"} {
			boxes = append(boxes, f.box(i+2, func(g *config.Gateway) {
				g.FailureDomain, g.Contacts = domain, []string{first.settings.PeersAddress}
			}))
		}
		advance(f.t, 3*time.Second)
		f.network.SetPartition(func(from, to string) bool { return from != to && isBox(from) && isBox(to) })
		advance(f.t, 4*time.Second)
		a.resend(boxes, "/stream/", 30, 1500*time.Millisecond)
		assert.LessOrEqual(f.t, a.lateSends(), maxLateSends)
		assert.Less(f.t, len(a.sendsMs), 7)
	})
}
