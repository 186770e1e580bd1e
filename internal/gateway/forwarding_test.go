package gateway

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/pkg/config"
)

// forwardingFleet is a fleet of boxes in one failure domain, of which box 1 can't reach the upstreams and knows it.
type forwardingFleet struct {
	*fleet
	boxes []*running
	runs  *runCounter
	// handler responds to the requests that arrive once box 1 is partitioned.
	handler atomic.Pointer[http.HandlerFunc]
}

func (f *forwardingFleet) respond(handler http.HandlerFunc) { f.handler.Store(&handler) }

// runForwarding runs a test with boxes of which the first can't reach the two upstreams.
func runForwarding(t *testing.T, boxes int, test func(f *forwardingFleet)) {
	t.Helper()
	runWithFleet(t, func(inner *fleet) {
		f := &forwardingFleet{fleet: inner, runs: &runCounter{runs: map[string]int{}}}
		f.respond(respondInKind)
		for _, id := range []string{"u1", "u2"} {
			f.upstream(id, f.runs.handler(func(w http.ResponseWriter, r *http.Request) { (*f.handler.Load())(w, r) }))
		}
		f.boxes = f.fleet.boxes(boxes)
		advance(f.t, 2*time.Second)
		f.network.SetPartition(fromUpstreams("box-1"))
		f.boxes[0].sendEach("separate")
		advance(f.t, detectionTime)
		require.NotEmpty(f.t, f.boxes[0].balance.Unreachable())
		test(f)
	})
}

// count returns the value of a counter in the metrics of a box.
func (r *running) count(name string) int64 {
	value, ok := r.metrics.all.Get(name).(*expvar.Int)
	if !ok {
		return 0
	}
	return value.Value()
}

func TestForwardedRequest(t *testing.T) {
	t.Run("arrives unmodified, with the headers that the system sets", func(t *testing.T) {
		runForwarding(t, 2, func(f *forwardingFleet) {
			var got *http.Request
			var body []byte
			f.respond(func(w http.ResponseWriter, r *http.Request) {
				got = r.Clone(context.Background())
				body, _ = io.ReadAll(r.Body)
				w.Header().Set("X-Seal", "s")
				_, _ = io.WriteString(w, "done")
			})
			response, err := f.boxes[0].send(f.t.Context(), call{
				method: http.MethodPost, path: "/unsafe/a%20b?c=d", id: "7", key: key, body: "payload",
				header: http.Header{"X-Organisation": {"forged"}, "X-Expect": {"forged"}, "X-Deadline": {"2500"}, "X-Other": {"kept"}},
			})
			require.NoError(f.t, err)
			data, err := io.ReadAll(response.Body)
			require.NoError(f.t, err)
			assert.Equal(f.t, "done", string(data))
			assert.Equal(f.t, "/unsafe/a%20b?c=d", got.RequestURI)
			assert.Equal(f.t, "payload", string(body))
			assert.Equal(f.t, []string{"one"}, got.Header["X-Organisation"])
			assert.Equal(f.t, "kept", got.Header.Get("X-Other"))
			for _, name := range []string{"Authorization", "Dooryard-Hop", "Dooryard-Attempts", "Dooryard-Elapsed-Ms", "Dooryard-Version"} {
				assert.Empty(f.t, got.Header[name], name)
				assert.Empty(f.t, response.Header[name], name)
			}
			assert.Equal(f.t, "s", response.Header.Get("X-Seal"))
			assert.Equal(f.t, "7", response.Header.Get("X-Id"))
		})
	})
	t.Run("gets the status of the upstream", func(t *testing.T) {
		for sent, want := range map[int]int{200: 200, 404: 404, 500: 500, 503: 502} {
			runForwarding(t, 2, func(f *forwardingFleet) {
				f.respond(respondStatus(sent))
				status, _, err := f.boxes[0].get("/unsafe/")
				require.NoError(f.t, err)
				assert.Equal(f.t, want, status)
				assert.Equal(f.t, 1, f.runs.of("1"))
			})
		}
	})
	t.Run("is not forwarded again, whatever boxes believe of each other", func(t *testing.T) {
		runForwarding(t, 3, func(f *forwardingFleet) {
			// No box has told the others yet that it can't reach the upstreams either.
			f.network.SetPartition(fromUpstreams("box-1", "box-2", "box-3"))
			start := time.Now()
			status, _, err := f.boxes[0].get("/unsafe/")
			require.NoError(f.t, err)
			assert.Equal(f.t, http.StatusServiceUnavailable, status)
			assert.Less(f.t, time.Since(start), 50*time.Millisecond)
			assert.Zero(f.t, f.boxes[1].count("requests_forwarded")+f.boxes[2].count("requests_forwarded"))
			assert.LessOrEqual(f.t, f.boxes[1].count("requests_from_boxes"), int64(len(routes())+1))
		})
	})
	t.Run("ends at the upstream once its caller has left", func(t *testing.T) {
		runForwarding(t, 2, func(f *forwardingFleet) {
			ended := make(chan struct{})
			f.respond(func(_ http.ResponseWriter, r *http.Request) {
				<-r.Context().Done()
				close(ended)
			})
			ctx, cancel := context.WithTimeout(f.t.Context(), 200*time.Millisecond)
			defer cancel()
			start := time.Now()
			_, err := f.boxes[0].send(ctx, call{method: http.MethodGet, path: "/stream/", id: "1", key: key})
			require.Error(f.t, err)
			<-ended
			assert.Less(f.t, time.Since(start), 300*time.Millisecond)
		})
	})
	t.Run("that the other box lost runs once unless it may be repeated", func(t *testing.T) {
		for _, c := range []struct {
			path string
			want int
		}{{"/unsafe2/", http.StatusBadGateway}, {"/stream/", http.StatusBadGateway}} {
			runForwarding(t, 3, func(f *forwardingFleet) {
				f.respond(func(_ http.ResponseWriter, r *http.Request) {
					f.network.SetPartition(func(from, to string) bool {
						return fromUpstreams("box-1")(from, to) || from == "box-1" || to == "box-1" && from != "caller"
					})
					<-r.Context().Done()
				})
				response, err := f.boxes[0].send(f.t.Context(), call{method: http.MethodGet, path: c.path, id: "1", key: key})
				if err == nil {
					assert.Equal(f.t, c.want, response.StatusCode)
					_ = response.Body.Close()
				}
				advance(f.t, time.Second)
				assert.Equal(f.t, 1, f.runs.of("1"))
			})
		}
	})
	t.Run("is refused by a box with an older routing state", func(t *testing.T) {
		runForwarding(t, 2, func(f *forwardingFleet) {
			response := f.forwardTo(f.boxes[1], http.Header{"Authorization": {key}, "Dooryard-Version": {"2"}})
			assert.Equal(f.t, http.StatusServiceUnavailable, response.StatusCode)
			assert.EqualValues(f.t, opaque.StaleState, response.Header.Get("Dooryard-Cause"))
			assert.True(f.t, opaque.StaleState.AnotherBoxMayServe())
			assert.Zero(f.t, f.runs.of("1"))
		})
	})
	t.Run("that a stopping box can't finish may go to another one", func(t *testing.T) {
		runForwarding(t, 2, func(f *forwardingFleet) {
			other := f.boxes[1]
			other.stopStartMs.Store(int64(other.clock.Monotonic() - shutdownGrace(other.Settings()) + 1000))
			other.stopping.Store(true)
			response := f.forwardTo(other, http.Header{"Authorization": {key}})
			assert.Equal(f.t, http.StatusServiceUnavailable, response.StatusCode)
			assert.EqualValues(f.t, opaque.BoxStopping, response.Header.Get("Dooryard-Cause"))
			assert.True(f.t, opaque.BoxStopping.AnotherBoxMayServe())
			assert.Zero(f.t, f.runs.of("1"))
		})
	})
	t.Run("is served while the boxes that forwarded ones go to stop one after the other", func(t *testing.T) {
		runForwarding(t, 3, func(f *forwardingFleet) {
			long := atomic.Bool{}
			f.respond(func(w http.ResponseWriter, r *http.Request) {
				if long.Load() {
					<-time.After(2900 * time.Millisecond)
				}
				respondInKind(w, r)
			})
			requests, statuses, sent := sync.WaitGroup{}, make(chan int, 1000), 0
			sendFor := func(span time.Duration) {
				for end := time.Now().Add(span); time.Now().Before(end); advance(f.t, 50*time.Millisecond) {
					sent++
					id := strconv.Itoa(sent)
					requests.Go(func() {
						response, err := f.boxes[0].send(f.t.Context(), call{method: http.MethodPost, path: "/unsafe2/", id: id, key: key})
						if !assert.NoError(f.t, err) {
							return
						}
						assert.NoError(f.t, response.Body.Close())
						statuses <- response.StatusCode
					})
				}
			}
			for _, stops := range f.boxes[1:] {
				sendFor(time.Second)
				long.Store(true)
				sendFor(300 * time.Millisecond)
				stops.stop()
				long.Store(false)
				sendFor(shutdownGrace(stops.Settings()).Duration())
				stops.assertStopped()
				assert.Positive(f.t, stops.count("requests_from_boxes"))
				f.box(len(f.boxes)+1, withContact(f.boxes[0]))
				sendFor(time.Second)
			}
			requests.Wait()
			close(statuses)
			counts := map[int]int{}
			for status := range statuses {
				counts[status]++
			}
			assert.Len(f.t, counts, 1, counts)
			assert.Positive(f.t, counts[http.StatusOK])
		})
	})
	t.Run("has the time that is left of the caller's, counted once", func(t *testing.T) {
		runForwarding(t, 2, func(f *forwardingFleet) {
			header := http.Header{"Authorization": {key}, "Dooryard-Elapsed-Ms": {"2000"}, "X-Deadline": {"2000"}}
			var left string
			f.respond(func(_ http.ResponseWriter, r *http.Request) { left = r.Header.Get("X-Deadline") })
			assert.Equal(f.t, http.StatusOK, f.forwardTo(f.boxes[1], header).StatusCode)
			assert.Equal(f.t, "1999", left, "without the way to the other box, which is known")
		})
	})
	t.Run("sends nothing if the address of the other box belongs to an upstream now", func(t *testing.T) {
		runForwarding(t, 2, func(f *forwardingFleet) {
			other := f.boxes[1]
			other.stop()
			require.NoError(f.t, <-other.done)
			other.done <- nil
			listener, err := f.network.Host("upstream").Listen("tcp", other.settings.PeersAddress)
			require.NoError(f.t, err)
			var ran atomic.Int32
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { //nolint:gosec // No network that could stall it.
				w.Header().Set("X-Id", r.Header.Get("X-Id"))
				if r.Header.Get("X-Expect") != "upstream" {
					w.WriteHeader(http.StatusMisdirectedRequest)
					return
				}
				ran.Add(1)
			})}
			go func() { _ = server.Serve(listener) }()
			status, _, err := f.boxes[0].get("/unsafe/")
			require.NoError(f.t, err)
			assert.Equal(f.t, http.StatusServiceUnavailable, status)
			assert.Zero(f.t, ran.Load())
			require.NoError(f.t, server.Close())
		})
	})
	t.Run("is served without forwarding once the partition ends", func(t *testing.T) {
		runForwarding(t, 2, func(f *forwardingFleet) {
			f.network.SetPartition(func(string, string) bool { return false })
			advance(f.t, time.Second)
			before := f.boxes[0].count("requests_forwarded")
			served, _ := f.boxes[0].sendEach("back")
			assert.Equal(f.t, len(routes()), served)
			assert.Equal(f.t, before, f.boxes[0].count("requests_forwarded"))
		})
	})
}

// TestForwardedStreams guards against a broken stream that looks complete on its way through two boxes.
func TestForwardedStreams(t *testing.T) {
	resuming := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") == "3" {
			writeEvents(4, 5, endStream)(w, r)
			return
		}
		writeEvents(1, 3, abortMidEvent)(w, r)
	}
	t.Run("a broken stream is broken for the caller, too", func(t *testing.T) {
		runForwarding(t, 2, func(f *forwardingFleet) {
			f.respond(resuming)
			_, _, err := f.boxes[0].get("/stream/")
			require.Error(f.t, err)
			assert.Equal(f.t, 1, f.runs.of("1"))
		})
	})
	t.Run("a resumable stream that broke goes on at another upstream", func(t *testing.T) {
		runForwarding(t, 2, func(f *forwardingFleet) {
			f.respond(resuming)
			_, body, err := f.boxes[0].get("/resumable/")
			require.NoError(f.t, err)
			assert.Equal(f.t, fiveEvents, body)
			assert.Equal(f.t, 2, f.runs.of("1"))
		})
	})
	t.Run("a resumable stream whose first event takes long is not given up by the box that forwarded it", func(t *testing.T) {
		runForwarding(t, 2, func(f *forwardingFleet) {
			f.respond(func(w http.ResponseWriter, r *http.Request) {
				writeEvents(1, 0, func(w http.ResponseWriter, r *http.Request) {
					_ = http.NewResponseController(w).Flush()
					_ = f.clock.Sleep(r.Context(), 1500)
				})(w, r)
				writeEvents(1, 5, endStream)(w, r)
			})
			_, body, err := f.boxes[0].get("/resumable/")
			require.NoError(f.t, err)
			assert.Equal(f.t, fiveEvents, body)
		})
	})
	t.Run("a resumable stream that the partition cut goes on through another box", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			handler := func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Last-Event-Id") == "3" {
					writeEvents(4, 5, endStream)(w, r)
					return
				}
				writeEvents(1, 3, func(w http.ResponseWriter, _ *http.Request) {
					_ = http.NewResponseController(w).Flush()
					f.network.SetPartition(fromUpstreams("box-1"))
				})(w, r)
			}
			f.upstream("u1", handler)
			f.upstream("u2", handler)
			boxes := f.boxes(2)
			advance(f.t, time.Second)
			_, body, err := boxes[0].get("/resumable/")
			require.NoError(f.t, err)
			assert.Equal(f.t, fiveEvents, body)
		})
	})
}

// TestForwardedRetries guards against a forwarded request that escapes the limits of attempts and the retry budget.
func TestForwardedRetries(t *testing.T) {
	for path, handler := range map[string]http.HandlerFunc{
		"/safe/": abortConnection, "/resumable/": writeEvents(1, 3, abortMidEvent),
	} {
		t.Run("a request to "+path+" reaches no more upstreams than its route allows", func(t *testing.T) {
			runForwarding(t, 3, func(f *forwardingFleet) {
				f.respond(handler)
				for i := range 20 {
					id := fmt.Sprint("r", i)
					response, err := f.boxes[0].send(f.t.Context(), call{method: http.MethodGet, path: path, id: id, key: key})
					require.NoError(f.t, err)
					_, _ = io.ReadAll(response.Body)
					_ = response.Body.Close()
					assert.LessOrEqual(f.t, f.runs.of(id), 2)
				}
			})
		})
	}
	t.Run("arrivals past the first of each request stay within the budget of all boxes", func(t *testing.T) {
		runForwarding(t, 3, func(f *forwardingFleet) {
			f.respond(abortConnection)
			const requests = 300
			arrivals := 0
			for i := range requests {
				id := fmt.Sprint("r", i)
				response, err := f.boxes[0].send(f.t.Context(), call{method: http.MethodGet, path: "/safe/", id: id, key: key})
				require.NoError(f.t, err)
				_ = response.Body.Close()
				arrivals += f.runs.of(id)
				advance(f.t, 10*time.Millisecond)
			}
			assert.LessOrEqual(f.t, arrivals-requests, int(defaultRatio*requests)+defaultSlack)
		})
	})
}

// TestForwardingCost states what a partitioned box costs: its callers' requests and responses cross once more between
// boxes, and each datagram names the pools.
func TestForwardingCost(t *testing.T) {
	runForwarding(t, 2, func(f *forwardingFleet) {
		assert.Equal(f.t, []namekey.Key{namekey.Of("p")}, f.boxes[0].balance.UnreachableKeys())
		forwarded, received := f.boxes[0].count("requests_forwarded"), f.boxes[1].count("requests_from_boxes")
		served, _ := f.boxes[0].sendEach("cost")
		assert.Equal(f.t, len(routes()), served)
		assert.EqualValues(f.t, len(routes()), f.boxes[0].count("requests_forwarded")-forwarded)
		assert.EqualValues(f.t, len(routes()), f.boxes[1].count("requests_from_boxes")-received)
	})
}

// forwardTo sends a request to a box as if another box forwarded it.
func (f *forwardingFleet) forwardTo(b *running, header http.Header) *http.Response {
	f.t.Helper()
	request, err := http.NewRequestWithContext(f.t.Context(), http.MethodGet, "http://"+b.settings.PeersAddress+"/safe/", nil)
	require.NoError(f.t, err)
	request.Host = host
	request.Header = http.Header{
		"X-Id": {"1"}, "Dooryard-Hop": {"box-9"}, "Dooryard-Attempts": {"0"}, "Dooryard-Elapsed-Ms": {"0"},
		"Dooryard-Version": {"1"},
	}
	maps.Copy(request.Header, header)
	transport := &http.Transport{DialContext: f.network.Host("box-9").Dial, DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	require.NoError(f.t, err)
	require.NoError(f.t, response.Body.Close())
	return response
}

// TestForwardingHeaders guards against callers that choose the headers between boxes themselves.
func TestForwardingHeaders(t *testing.T) {
	t.Run("a caller can't pretend to be a box", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			f.upstream("u1", respondWith("done"))
			b := f.box(1, func(g *config.Gateway) { g.Freshness.MaxAgeMs = maxAgeMs })
			response, err := b.send(f.t.Context(), call{
				method: http.MethodGet, path: "/safe/", id: "1", key: key,
				header: http.Header{"Dooryard-Hop": {"box-9"}, "Dooryard-Version": {"99"}, "Dooryard-Attempts": {"9"}},
			})
			require.NoError(f.t, err)
			assert.Equal(f.t, http.StatusOK, response.StatusCode)
			assert.Zero(f.t, b.count("requests_from_boxes"))
			_ = response.Body.Close()
		})
	})
	t.Run("headers that can't be decoded are refused", func(t *testing.T) {
		runForwarding(t, 2, func(f *forwardingFleet) {
			for _, name := range []string{"Dooryard-Attempts", "Dooryard-Elapsed-Ms", "Dooryard-Version"} {
				response := f.forwardTo(f.boxes[1], http.Header{"Authorization": {key}, name: {"many"}})
				assert.Equal(f.t, http.StatusBadRequest, response.StatusCode, name)
			}
			assert.Zero(f.t, f.runs.of("1"))
		})
	})
	t.Run("a box checks the key of a forwarded request", func(t *testing.T) {
		runForwarding(t, 2, func(f *forwardingFleet) {
			response := f.forwardTo(f.boxes[1], http.Header{"Authorization": {"wrong"}})
			assert.Equal(f.t, http.StatusUnauthorized, response.StatusCode)
			assert.Zero(f.t, f.runs.of("1"))
		})
	})
}

// TestForwardingToCrashedBox guards against requests that are forwarded to a box that crashed, one after the other, until
// it no longer counts as alive.
func TestForwardingToCrashedBox(t *testing.T) {
	runForwarding(t, 3, func(f *forwardingFleet) {
		dials := 0
		f.network.SetDialDelay(func(from, to string) time.Duration {
			if from == "box-1" && to == "box-2" {
				dials++
			}
			return 0
		})
		f.network.SetRefusal(func(from, to string) bool { return from == "box-1" && to == "box-2" })
		f.boxes[0].forwarding.client(f.boxes[1].settings.PeersAddress).CloseIdle()
		for range 40 {
			status, _, err := f.boxes[0].get("/unsafe/")
			require.NoError(f.t, err)
			assert.Equal(f.t, http.StatusOK, status)
		}
		assert.LessOrEqual(f.t, dials, 1)
	})
}
