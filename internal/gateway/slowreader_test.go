package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/pkg/config"
)

// eventStream is what the upstreams of these tests send.
type eventStream struct {
	events, eventBytes int
	gap                clock.Millis
	// breakAfter is the event after which the connection breaks, or 0.
	breakAfter int
}

func (s eventStream) event(i int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", s.eventBytes))
}

// all returns the whole stream.
func (s eventStream) all() string {
	var all strings.Builder
	for i := range s.events {
		all.WriteString(s.event(i + 1))
	}
	return all.String()
}

// handler sends the stream from the event after Last-Event-Id on.
func (s eventStream) handler(f *fleet) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for i := after + 1; i <= s.events; i++ {
			_, _ = io.WriteString(w, s.event(i))
			if http.NewResponseController(w).Flush() != nil {
				return
			}
			if i == s.breakAfter {
				panic(http.ErrAbortHandler)
			}
			if f.clock.Sleep(r.Context(), s.gap) != nil {
				return
			}
		}
	}
}

// slowReader is a box with two upstreams, and a connection with a request whose response nobody reads.
type slowReader struct {
	*running
	log     *logBuffer
	conn    net.Conn
	startMs clock.Millis
	// endedMs is when the request ended at an upstream, and arrivals is the number of all requests there.
	endedMs  atomic.Int64
	arrivals atomic.Int32
}

// startSlowReader starts a box and sends the request. The upstreams respond with the handler.
func startSlowReader(f *fleet, path string, handler http.HandlerFunc, change ...func(g *config.Gateway)) *slowReader {
	r := &slowReader{log: &logBuffer{}}
	f.out = r.log
	for _, id := range []string{"u1", "u2"} {
		f.upstream(id, countRequests(&r.arrivals, func(w http.ResponseWriter, hr *http.Request) {
			if hr.Header.Get("X-Id") == "slow" {
				defer func() { r.endedMs.Store(int64(f.clock.Monotonic())) }()
			}
			handler(w, hr)
		}))
	}
	r.running = f.box(1, change...)
	advance(f.t, time.Second)
	r.startMs = f.clock.Monotonic()
	r.conn = r.sendRaw(slowRequest(path, "slow"))
	return r
}

// startSlowStream starts a slow reader of a stream, whose requests may take 20 s.
func startSlowStream(f *fleet, path string, s eventStream, change ...func(g *config.Gateway)) *slowReader {
	state := content(1)
	for i := range state.Routes {
		state.Routes[i].TimeoutMs = 20 * clock.Second
	}
	f.store.setState(f.t, state)
	return startSlowReader(f, path, s.handler(f), change...)
}

// upstreamMs returns how long the request took at its upstream.
func (r *slowReader) upstreamMs() clock.Millis { return clock.Millis(r.endedMs.Load()) - r.startMs }

func slowRequest(path, id string) string {
	return strings.Replace(requestHead(id, "Content-Length: 0"), "/unsafe/", path, 1)
}

// readResponse reads a response to its end.
func readResponse(conn net.Conn) (body string, err error) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

// assertCutOff checks that the caller's response looks incomplete and was cut off for a reason, after a number of requests
// to upstreams, and that nothing is left of it in the box.
func (r *slowReader) assertCutOff(reason exchange.CutReason, arrivals int) {
	t := r.fleet.t
	t.Helper()
	_, err := readResponse(r.conn)
	require.Error(t, err, "a response that was cut off looks incomplete")
	lines := r.log.read(t)
	cutOff := withMessage(lines, "caller cut off")
	if assert.Len(t, cutOff, 1) {
		assert.Equal(t, strconv.Quote(string(reason)), string(cutOff[0].Fields["reason"]))
	}
	for _, line := range withMessage(lines, "attempt failed") {
		assert.JSONEq(t, `"none: the caller did not read"`, string(line.Fields["next"]))
	}
	sizes := r.responses.Sizes()
	assert.Zero(t, sizes.UsedBytes)
	assert.Equal(t, map[exchange.CutReason]int{reason: 1}, sizes.CutOffReasons)
	assert.Equal(t, 1, sizes.CutOff)
	assert.Zero(t, r.fleet.inFlightAt(r.running), "requests at the upstream")
	assert.EqualValues(t, arrivals, r.arrivals.Load(), "the response is not continued elsewhere")
}

// TestSlowReader guards against upstreams that wait for callers who don't read, and against responses that look complete
// to them or are sent twice.
func TestSlowReader(t *testing.T) {
	t.Run("a caller who reads nothing for 5 s is cut off beside others who get all", func(t *testing.T) {
		for _, path := range []string{"/stream/", "/resumable/"} {
			runWithFleet(t, func(f *fleet) {
				s := eventStream{events: 30, eventBytes: 100, gap: 100}
				r := startSlowStream(f, path, s)
				var others sync.WaitGroup
				for i := range 8 {
					others.Go(func() {
						other := r.sendRaw(slowRequest(path, fmt.Sprint("other-", i)))
						defer func() { _ = other.Close() }()
						body, err := readResponse(other)
						assert.True(f.t, err == nil && body == s.all(), "%d bytes, %v", len(body), err)
					})
				}
				others.Wait()
				took := f.clock.Monotonic() - r.startMs
				assert.LessOrEqual(f.t, took, clock.Millis(s.events+2)*s.gap, "others are not delayed")
				advance(f.t, 3*time.Second)
				assert.LessOrEqual(f.t, r.upstreamMs(), clock.Millis(s.events+2)*s.gap, "nor is the upstream")
				r.assertCutOff(exchange.Stalled, 9)
			})
		}
	})
	t.Run("the upstream's request of a caller who was cut off is canceled", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			r := startSlowStream(f, "/resumable/", eventStream{events: 35, eventBytes: 100, gap: 290})
			advance(f.t, 6*time.Second)
			assert.InDelta(f.t, 5000, int64(r.upstreamMs()), 100)
			r.assertCutOff(exchange.Stalled, 1)
		})
	})
	t.Run("a caller whose buffer stays full is cut off", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			r := startSlowStream(f, "/resumable/", eventStream{events: 200, eventBytes: 1000, gap: 1})
			advance(f.t, 50*time.Millisecond)
			assert.Positive(f.t, r.responses.Sizes().StreamBytes)
			advance(f.t, time.Second)
			assert.Less(f.t, r.upstreamMs(), clock.Millis(700))
			r.assertCutOff(exchange.BufferFull, 1)
		})
	})
	t.Run("a caller who leaves while data is held frees it", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			r := startSlowStream(f, "/resumable/", eventStream{events: 100, eventBytes: 1000, gap: 100})
			advance(f.t, time.Second)
			assert.Positive(f.t, r.responses.Sizes().StreamBytes)
			require.NoError(f.t, r.conn.Close())
			advance(f.t, 100*time.Millisecond)
			assert.Zero(f.t, r.responses.Sizes().UsedBytes)
			assert.Zero(f.t, r.responses.Sizes().CutOff)
			assert.Less(f.t, r.upstreamMs(), clock.Millis(1200))
			assert.EqualValues(f.t, 1, r.arrivals.Load())
		})
	})
	t.Run("a caller with HTTP/1.0 who is cut off sees a reset", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			r := startSlowStream(f, "/none/", eventStream{events: 30, eventBytes: 100, gap: 100})
			_ = r.conn.Close()
			r.conn = r.sendRaw(strings.Replace(slowRequest("/stream/", "old"), "HTTP/1.1", "HTTP/1.0", 1))
			advance(f.t, 10*time.Second)
			r.assertCutOff(exchange.Stalled, 1)
		})
	})
}

// TestSlowReaderCatchesUp guards against events that are lost, repeated or in another order for a caller who stops
// reading for a while.
func TestSlowReaderCatchesUp(t *testing.T) {
	whole := eventStream{events: 40, eventBytes: 500, gap: 100}
	broken := whole
	broken.breakAfter = 15
	for _, c := range []struct {
		name, path string
		stream     eventStream
		// pause is how long the caller doesn't read. The upstream ends after 4 s, unless it breaks.
		pause time.Duration
		// events is how many the caller gets, and whole is set if the response is complete.
		events int
		whole  bool
	}{
		{"while the upstream sends", "/stream/", whole, 2 * time.Second, 40, true},
		{"while the upstream of a resumable stream sends", "/resumable/", whole, 2 * time.Second, 40, true},
		{"after the upstream has ended", "/stream/", whole, 4500 * time.Millisecond, 40, true},
		{"after the upstream of a resumable stream has ended", "/resumable/", whole, 4500 * time.Millisecond, 40, true},
		{"after the upstream broke", "/stream/", broken, 3 * time.Second, 15, false},
		{"after another upstream continued", "/resumable/", broken, 3 * time.Second, 40, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				// The upstream that continues a stream sends the rest after the event that it broke after.
				r := startSlowStream(f, c.path, c.stream)
				advance(f.t, c.pause)
				wantArrivals := 1
				if c.stream.breakAfter > 0 && c.whole {
					wantArrivals = 2
				}
				assert.EqualValues(f.t, wantArrivals, r.arrivals.Load())
				body, err := readResponse(r.conn)
				assert.Equal(f.t, c.whole, err == nil, "%v", err)
				assert.Equal(f.t, whole.all()[:c.events*len(whole.event(10))-min(c.events, 9)], body)
				assert.Zero(f.t, r.responses.Sizes().UsedBytes)
				assert.Zero(f.t, r.responses.Sizes().CutOff)
			})
		})
	}
}
