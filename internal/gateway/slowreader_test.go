package gateway

import (
	"bufio"
	"bytes"
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

// handler sends the stream from the event after Last-Event-Id on. It sets when the request "slow" ended.
func (s eventStream) handler(f *fleet, endedMs *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Id") == "slow" {
			defer func() { endedMs.Store(int64(f.clock.Monotonic())) }()
		}
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

// slowStart starts two upstreams and a box, and sends a request on a connection that nobody reads.
func slowStart(f *fleet, path string, s eventStream, change ...func(g *config.Gateway)) (
	b *running, conn net.Conn, endedMs *atomic.Int64, arrivals *atomic.Int32,
) {
	state := content(1)
	for i := range state.Routes {
		state.Routes[i].TimeoutMs = 20 * clock.Second
	}
	f.store.setState(f.t, state)
	endedMs, arrivals = &atomic.Int64{}, &atomic.Int32{}
	for _, id := range []string{"u1", "u2"} {
		f.upstream(id, countRequests(arrivals, s.handler(f, endedMs)))
	}
	b = f.box(1, change...)
	advance(f.t, time.Second)
	return b, b.sendRaw(slowRequest(path, "slow")), endedMs, arrivals
}

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

// assertCutOff checks that the caller's response looks incomplete, and that nothing is left of it in the box.
func assertCutOff(f *fleet, b *running, conn net.Conn, log *logBuffer) {
	t := f.t
	t.Helper()
	_, err := readResponse(conn)
	require.Error(t, err, "a response that was cut off looks incomplete")
	lines := log.read(t)
	assert.Len(t, withMessage(lines, "caller cut off"), 1)
	for _, line := range withMessage(lines, "attempt failed") {
		assert.JSONEq(t, `"none: the caller did not read"`, string(line.Fields["next"]))
	}
	sizes := b.responses.Sizes()
	assert.Zero(t, sizes.UsedBytes)
	assert.Equal(t, 1, sizes.CutOff)
	assert.Zero(t, f.inFlightAt(b), "requests at the upstream")
}

// TestSlowReader guards against upstreams that wait for callers who don't read, and against responses that look complete
// to them or are sent twice.
func TestSlowReader(t *testing.T) {
	t.Run("a caller who reads nothing for 5 s is cut off beside others who get all", func(t *testing.T) {
		for _, path := range []string{"/stream/", "/resumable/"} {
			runWithFleet(t, func(f *fleet) {
				log := &logBuffer{}
				f.out = log
				s := eventStream{events: 30, eventBytes: 100, gap: 100}
				b, conn, endedMs, arrivals := slowStart(f, path, s)
				startMs := f.clock.Monotonic()
				var others sync.WaitGroup
				for i := range 8 {
					others.Go(func() {
						other := b.sendRaw(slowRequest(path, fmt.Sprint("other-", i)))
						defer func() { _ = other.Close() }()
						body, err := readResponse(other)
						assert.True(f.t, err == nil && body == s.all(), "%d bytes, %v", len(body), err)
					})
				}
				others.Wait()
				took := f.clock.Monotonic() - startMs
				assert.LessOrEqual(f.t, took, clock.Millis(s.events+2)*s.gap, "others are not delayed")
				advance(f.t, 3*time.Second)
				assert.LessOrEqual(f.t, clock.Millis(endedMs.Load())-startMs, clock.Millis(s.events+2)*s.gap, "nor is the upstream")
				assert.EqualValues(f.t, 9, arrivals.Load(), "the stream is not continued elsewhere")
				assertCutOff(f, b, conn, log)
			})
		}
	})
	t.Run("the upstream's request of a caller who was cut off is canceled", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			log := &logBuffer{}
			f.out = log
			b, conn, endedMs, arrivals := slowStart(f, "/resumable/", eventStream{events: 35, eventBytes: 100, gap: 290})
			startMs := f.clock.Monotonic()
			advance(f.t, 6*time.Second)
			assert.InDelta(f.t, 5000, endedMs.Load()-int64(startMs), 100)
			assert.EqualValues(f.t, 1, arrivals.Load())
			assertCutOff(f, b, conn, log)
		})
	})
	t.Run("a caller whose buffer stays full is cut off", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			log := &logBuffer{}
			f.out = log
			b, conn, endedMs, arrivals := slowStart(f, "/resumable/", eventStream{events: 200, eventBytes: 1000, gap: 1})
			startMs := f.clock.Monotonic()
			advance(f.t, 50*time.Millisecond)
			assert.Positive(f.t, b.responses.Sizes().StreamBytes)
			advance(f.t, time.Second)
			assert.Less(f.t, endedMs.Load()-int64(startMs), int64(700))
			assert.EqualValues(f.t, 1, arrivals.Load())
			assertCutOff(f, b, conn, log)
		})
	})
	t.Run("a caller who leaves while data is held frees it", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			b, conn, endedMs, arrivals := slowStart(f, "/resumable/", eventStream{events: 100, eventBytes: 1000, gap: 100})
			startMs := f.clock.Monotonic()
			advance(f.t, time.Second)
			assert.Positive(f.t, b.responses.Sizes().StreamBytes)
			require.NoError(f.t, conn.Close())
			advance(f.t, 100*time.Millisecond)
			assert.Zero(f.t, b.responses.Sizes().UsedBytes)
			assert.Zero(f.t, b.responses.Sizes().CutOff)
			assert.Less(f.t, endedMs.Load()-int64(startMs), int64(1200))
			assert.EqualValues(f.t, 1, arrivals.Load())
		})
	})
	t.Run("a caller with HTTP/1.0 who is cut off sees a reset", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			log := &logBuffer{}
			f.out = log
			b, conn, _, _ := slowStart(f, "/none/", eventStream{events: 30, eventBytes: 100, gap: 100})
			_ = conn.Close()
			conn = b.sendRaw(strings.Replace(slowRequest("/stream/", "old"), "HTTP/1.1", "HTTP/1.0", 1))
			advance(f.t, 10*time.Second)
			assertCutOff(f, b, conn, log)
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
				b, conn, _, arrivals := slowStart(f, c.path, c.stream)
				advance(f.t, c.pause)
				wantArrivals := 1
				if c.stream.breakAfter > 0 && c.whole {
					wantArrivals = 2
				}
				assert.EqualValues(f.t, wantArrivals, arrivals.Load())
				body, err := readResponse(conn)
				assert.Equal(f.t, c.whole, err == nil, "%v", err)
				assert.Equal(f.t, whole.all()[:c.events*len(whole.event(10))-min(c.events, 9)], body)
				assert.Zero(f.t, b.responses.Sizes().UsedBytes)
				assert.Zero(f.t, b.responses.Sizes().CutOff)
			})
		})
	}
}

// smallBox is the memory of the smallest boxes in use.
func smallBox(g *config.Gateway) { g.Capacity.MemoryMb = 184 }

// TestManySlowReaders guards against a small box whose memory is used up by callers who don't read.
func TestManySlowReaders(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		const slowCallers = 700
		s := eventStream{events: 60, eventBytes: 1000, gap: 50}
		b, conn, _, _ := slowStart(f, "/stream/", s, smallBox)
		conns := []net.Conn{conn}
		for i := range slowCallers - 1 {
			conns = append(conns, b.sendRaw(slowRequest("/stream/", fmt.Sprint("slow-", i))))
		}
		advance(f.t, 2*time.Second)
		for i := range 10 {
			other := b.sendRaw(slowRequest("/stream/", fmt.Sprint("other-", i)))
			body, err := readResponse(other)
			require.NoError(f.t, err)
			assert.Equal(f.t, s.all(), body)
			require.NoError(f.t, other.Close())
		}
		sizes := b.responses.Sizes()
		f.t.Logf("%+v", sizes)
		assert.LessOrEqual(f.t, sizes.PeakBytes, sizes.LimitBytes/2)
		assert.Equal(f.t, slowCallers, sizes.CutOff)
		assert.Zero(f.t, sizes.UsedBytes)
		for _, conn := range conns {
			_ = conn.Close()
		}
	})
}

// readAll reads the responses on some connections at once, and returns how many have which status. Those with status 200
// must have a whole body.
func readAll(f *fleet, conns []net.Conn, body []byte) map[int]int {
	f.t.Helper()
	var mu sync.Mutex
	statuses := map[int]int{}
	var reading sync.WaitGroup
	for _, conn := range conns {
		reading.Go(func() {
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			status, got := 0, []byte{}
			if err == nil {
				status = response.StatusCode
				got, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
			}
			whole := status != http.StatusOK || bytes.Equal(body, got)
			assert.True(f.t, err == nil && whole, "status %d, %d bytes, %v", status, len(got), err)
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
	}
	reading.Wait()
	return statuses
}

// TestResponseMemory guards against buffered responses that together use more memory than a box has.
func TestResponseMemory(t *testing.T) {
	const bodyBytes = 6 << 20
	body := bytes.Repeat([]byte("0123456789abcdef"), bodyBytes/16)
	start := func(f *fleet, arrivals *atomic.Int32) *running {
		f.upstream("u1", countRequests(arrivals, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
		b := f.box(1, smallBox)
		advance(f.t, time.Second)
		return b
	}
	t.Run("responses wait and requests are refused unsent until callers have read", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			log := &logBuffer{}
			f.out = log
			var arrivals atomic.Int32
			b := start(f, &arrivals)
			conns := []net.Conn{}
			for i := range 12 {
				conns = append(conns, b.sendRaw(slowRequest("/safe/", fmt.Sprint(i))))
			}
			advance(f.t, 200*time.Millisecond)
			sizes := b.responses.Sizes()
			f.t.Logf("%+v", sizes)
			assert.LessOrEqual(f.t, sizes.PeakBytes, sizes.LimitBytes)
			assert.Positive(f.t, sizes.Waiting)
			assert.NotEmpty(f.t, withMessage(log.read(f.t), "response delayed"))
			before := arrivals.Load()
			response, err := b.send(f.t.Context(), call{method: http.MethodGet, path: "/unsafe/", id: "new", key: key})
			require.NoError(f.t, err)
			assert.Equal(f.t, http.StatusServiceUnavailable, response.StatusCode)
			assert.NotEmpty(f.t, response.Header.Get("Retry-After"))
			_ = response.Body.Close()
			assert.Equal(f.t, before, arrivals.Load(), "a refused request is not sent")
			statuses := readAll(f, conns, body)
			assert.Equal(f.t, len(conns), statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable], "%v", statuses)
			assert.EqualValues(f.t, statuses[http.StatusOK], arrivals.Load())
			assert.Zero(f.t, b.responses.Sizes().UsedBytes)
			assert.LessOrEqual(f.t, b.responses.Sizes().PeakBytes, sizes.LimitBytes)
			assertStatus(f.t, b, "/unsafe/", http.StatusOK)
		})
	})
	t.Run("callers who don't read are cut off", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			log := &logBuffer{}
			f.out = log
			var arrivals atomic.Int32
			b := start(f, &arrivals)
			conn := b.sendRaw(slowRequest("/safe/", "slow"))
			advance(f.t, 4900*time.Millisecond)
			assert.Positive(f.t, b.responses.Sizes().UsedBytes)
			advance(f.t, 200*time.Millisecond)
			assertCutOff(f, b, conn, log)
			assert.EqualValues(f.t, 1, arrivals.Load())
		})
	})
	t.Run("responses that wait for longer than their requests may take are given up", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			var arrivals atomic.Int32
			b := start(f, &arrivals)
			conns := []net.Conn{}
			for i := range 12 {
				conns = append(conns, b.sendRaw(slowRequest("/safe/", fmt.Sprint(i))))
			}
			advance(f.t, (timeoutMs+100)*time.Millisecond)
			assert.Zero(f.t, b.responses.Sizes().Waiting)
			statuses := readAll(f, conns, body)
			assert.Positive(f.t, statuses[http.StatusGatewayTimeout])
			assert.EqualValues(f.t, statuses[http.StatusOK]+statuses[http.StatusGatewayTimeout], arrivals.Load(), "%v", statuses)
			assert.Zero(f.t, b.responses.Sizes().UsedBytes)
		})
	})
}
