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

// smallBox is the memory of the smallest boxes in use.
func smallBox(g *config.Gateway) { g.Capacity.MemoryMb = 184 }

// TestManySlowReaders guards against a small box whose memory is used up by callers who don't read.
func TestManySlowReaders(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		const slowCallers = 700
		s := eventStream{events: 60, eventBytes: 1000, gap: 50}
		r := startSlowStream(f, "/stream/", s, smallBox)
		conns := []net.Conn{r.conn}
		for i := range slowCallers - 1 {
			conns = append(conns, r.sendRaw(slowRequest("/stream/", fmt.Sprint("slow-", i))))
		}
		advance(f.t, 2*time.Second)
		for i := range 10 {
			other := r.sendRaw(slowRequest("/stream/", fmt.Sprint("other-", i)))
			body, err := readResponse(other)
			require.NoError(f.t, err)
			assert.Equal(f.t, s.all(), body)
			require.NoError(f.t, other.Close())
		}
		sizes := r.responses.Sizes()
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
	// start starts a box with a number of requests, all of which are sent before any response begins.
	start := func(f *fleet, requests int) (r *slowReader, conns []net.Conn) {
		r = startSlowReader(f, "/safe/", func(w http.ResponseWriter, hr *http.Request) {
			_ = f.clock.Sleep(hr.Context(), 10)
			_, _ = w.Write(body)
		}, smallBox)
		conns = []net.Conn{r.conn}
		for i := range requests - 1 {
			conns = append(conns, r.sendRaw(slowRequest("/safe/", fmt.Sprint(i))))
		}
		return r, conns
	}
	t.Run("responses wait and requests are refused unsent until callers have read", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			r, conns := start(f, 12)
			advance(f.t, 200*time.Millisecond)
			sizes := r.responses.Sizes()
			f.t.Logf("%+v", sizes)
			assert.LessOrEqual(f.t, sizes.PeakBytes, sizes.LimitBytes)
			assert.Positive(f.t, sizes.Waiting)
			assert.NotEmpty(f.t, withMessage(r.log.read(f.t), "response delayed"))
			before := r.arrivals.Load()
			response, err := r.send(f.t.Context(), call{method: http.MethodGet, path: "/unsafe/", id: "new", key: key})
			require.NoError(f.t, err)
			assert.Equal(f.t, http.StatusServiceUnavailable, response.StatusCode)
			assert.NotEmpty(f.t, response.Header.Get("Retry-After"))
			_ = response.Body.Close()
			assert.Equal(f.t, before, r.arrivals.Load(), "a refused request is not sent")
			statuses := readAll(f, conns, body)
			assert.Equal(f.t, len(conns), statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable], "%v", statuses)
			assert.EqualValues(f.t, statuses[http.StatusOK], r.arrivals.Load())
			assert.Zero(f.t, r.responses.Sizes().UsedBytes)
			assert.LessOrEqual(f.t, r.responses.Sizes().PeakBytes, sizes.LimitBytes)
			assertStatus(f.t, r.running, "/unsafe/", http.StatusOK)
		})
	})
	for name, memoryMb := range map[string]int64{"raises": 1024, "lowers": 32} {
		t.Run("a reload "+name+" the limit under responses that wait", func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				r, conns := start(f, 12)
				advance(f.t, 200*time.Millisecond)
				assert.Positive(f.t, r.responses.Sizes().Waiting)
				r.settings.Capacity.MemoryMb = memoryMb
				r.Reload(r.settings)
				advance(f.t, 100*time.Millisecond)
				sizes := r.responses.Sizes()
				f.t.Logf("%+v", sizes)
				assert.Equal(f.t, memoryMb<<20/responseMemoryDivisor, sizes.LimitBytes)
				if name == "raises" {
					assert.Zero(f.t, sizes.Waiting)
					assertStatus(f.t, r.running, "/unsafe/", http.StatusOK)
				}
				statuses := readAll(f, conns, body)
				assert.Equal(f.t, len(conns), statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable], "%v", statuses)
				assert.Zero(f.t, r.responses.Sizes().UsedBytes)
				assertStatus(f.t, r.running, "/unsafe/", http.StatusOK)
				assert.Equal(f.t, name == "lowers", r.responses.Sizes().Unbuffered > 0)
			})
		})
	}
	t.Run("callers who don't read are cut off", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			r, _ := start(f, 1)
			advance(f.t, 4900*time.Millisecond)
			assert.Positive(f.t, r.responses.Sizes().UsedBytes)
			advance(f.t, 200*time.Millisecond)
			r.assertCutOff(exchange.Stalled, 1)
		})
	})
	t.Run("responses that wait for longer than their requests may take are given up", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			r, conns := start(f, 12)
			advance(f.t, (timeoutMs+100)*time.Millisecond)
			assert.Zero(f.t, r.responses.Sizes().Waiting)
			statuses := readAll(f, conns, body)
			assert.Positive(f.t, statuses[http.StatusGatewayTimeout])
			assert.EqualValues(f.t, statuses[http.StatusOK]+statuses[http.StatusGatewayTimeout], r.arrivals.Load(), "%v", statuses)
			assert.Zero(f.t, r.responses.Sizes().UsedBytes)
		})
	})
}

// TestFailedResponseMemory guards against failed responses that keep memory while their requests are sent again, so that
// other requests are refused.
func TestFailedResponseMemory(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		failure := make([]byte, 6<<20)
		sent := sync.Map{}
		r := startSlowReader(f, "/safe/", func(w http.ResponseWriter, hr *http.Request) {
			if _, again := sent.LoadOrStore(hr.Header.Get("X-Id"), true); !again {
				_ = f.clock.Sleep(hr.Context(), 10)
				w.WriteHeader(http.StatusInternalServerError)
				_, _ = w.Write(failure)
				return
			}
			_ = f.clock.Sleep(hr.Context(), 900)
			_, _ = io.WriteString(w, "done")
		}, smallBox)
		conns := []net.Conn{r.conn}
		for i := range 5 {
			conns = append(conns, r.sendRaw(slowRequest("/safe/", fmt.Sprint(i))))
		}
		advance(f.t, 500*time.Millisecond)
		sizes := r.responses.Sizes()
		f.t.Logf("%+v", sizes)
		assert.EqualValues(f.t, 2*len(conns), r.arrivals.Load(), "all are sent again")
		assert.Greater(f.t, sizes.PeakBytes, int64(len(failure)))
		assert.Zero(f.t, sizes.UsedBytes)
		assert.Equal(f.t, map[int]int{http.StatusOK: len(conns)}, readAll(f, conns, []byte("done")))
	})
}

// readSlowly reads some bytes from a connection at each interval, until an error.
func readSlowly(f *fleet, conn io.Reader, bytes int, interval clock.Millis) (data []byte, err error) {
	buffer := make([]byte, bytes)
	for err == nil {
		var n int
		n, err = io.ReadFull(conn, buffer)
		data = append(data, buffer[:n]...)
		if err == nil {
			err = f.clock.Sleep(f.t.Context(), interval)
		}
	}
	return data, err
}

// TestMinReadRate guards against callers who keep the memory of buffered responses by reading a few bytes now and then, and
// against cutting off those who read at the minimum rate.
func TestMinReadRate(t *testing.T) {
	for _, c := range []struct {
		name         string
		bodyBytes    int
		readBytes    int
		interval     clock.Millis
		reason       exchange.CutReason
		minMs, maxMs clock.Millis
	}{
		{"16 bytes every 4 s", 6 << 20, 16, 4000, exchange.BelowMinRate, 0, 1100},
		{"15 KiB/s", 6 << 20, 3 << 10, 200, exchange.BelowMinRate, 1000, 7000},
		{"the time limit and 5 s are over", 6 << 20, 20 << 10, 1000, exchange.Overdue, 8900, 9200},
		{"all after the time limit at 20 KiB/s", 160 << 10, 4 << 10, 200, "", 7000, 9000},
		{"all after pauses of 4.5 s", 1 << 20, 512 << 10, 4500, "", 4500, 9100},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				body := bytes.Repeat([]byte("x"), c.bodyBytes)
				r := startSlowReader(f, "/safe/", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }, smallBox)
				read := make(chan []byte, 1)
				go func() {
					data, _ := readSlowly(f, r.conn, c.readBytes, c.interval)
					read <- data
				}()
				for r.responses.Sizes().UsedBytes == 0 {
					advance(f.t, time.Millisecond)
				}
				took := clock.Millis(0)
				for r.responses.Sizes().UsedBytes > 0 && took < 30*clock.Second {
					advance(f.t, 10*time.Millisecond)
					took = f.clock.Monotonic() - r.startMs
				}
				assert.GreaterOrEqual(f.t, took, c.minMs)
				assert.LessOrEqual(f.t, took, c.maxMs)
				if c.reason == "" {
					advance(f.t, 5*time.Second)
					require.NoError(f.t, r.conn.Close())
					data := <-read
					assert.True(f.t, bytes.HasSuffix(data, append([]byte("\r\n\r\n"), body...)), "%d bytes", len(data))
					assert.Zero(f.t, r.responses.Sizes().CutOff)
					return
				}
				<-read
				r.assertCutOff(c.reason, 1)
			})
		})
	}
	t.Run("a box whose memory such callers have filled serves others again", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			body := bytes.Repeat([]byte("x"), 4<<20)
			r := startSlowReader(f, "/safe/", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }, smallBox)
			conns := []net.Conn{r.conn}
			for i := range 40 {
				if i == 3 {
					// The first callers hold memory before the others, who read nothing.
					advance(f.t, 50*time.Millisecond)
				}
				conns = append(conns, r.sendRaw(slowRequest("/safe/", fmt.Sprint(i))))
			}
			for _, conn := range conns[:4] {
				go func() { _, _ = readSlowly(f, conn, 16, 2000) }()
			}
			advance(f.t, 500*time.Millisecond)
			assertStatus(f.t, r.running, "/safe/", http.StatusServiceUnavailable)
			advance(f.t, (timeoutMs+6000)*time.Millisecond)
			sizes := r.responses.Sizes()
			f.t.Logf("%+v", sizes)
			assert.Zero(f.t, sizes.UsedBytes)
			assert.LessOrEqual(f.t, sizes.PeakBytes, sizes.LimitBytes)
			assert.Equal(f.t, 4, sizes.CutOffReasons[exchange.BelowMinRate])
			assert.Positive(f.t, sizes.CutOffReasons[exchange.Stalled])
			assertStatus(f.t, r.running, "/safe/", http.StatusOK)
			for _, conn := range conns {
				_ = conn.Close()
			}
		})
	})
}

// TestUnbufferedResponses guards against large responses that wait for each other in a small box, and against passed-on
// responses that look complete although they broke, or run twice.
func TestUnbufferedResponses(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), 14<<16)
	part := len(body) / 10 * 9
	verySmall := func(g *config.Gateway) { g.Capacity.MemoryMb = 64 }
	// sendPart sends a status and the larger part of the body, which the reserve can't hold.
	sendPart := func(w http.ResponseWriter, declared bool, status int) {
		if declared {
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		}
		w.WriteHeader(status)
		_, _ = w.Write(body[:part])
		_ = http.NewResponseController(w).Flush()
	}
	for name, declared := range map[string]bool{"declared": true, "unknown": false} {
		t.Run("half-read responses don't wait for each other, length "+name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				bothArrived := sync.WaitGroup{}
				bothArrived.Add(2)
				r := startSlowReader(f, "/safe/", func(w http.ResponseWriter, hr *http.Request) {
					bothArrived.Done()
					bothArrived.Wait()
					sendPart(w, declared, http.StatusOK)
					_ = f.clock.Sleep(hr.Context(), 500)
					_, _ = w.Write(body[part:])
				}, verySmall)
				conns := []net.Conn{r.conn, r.sendRaw(slowRequest("/safe/", "second"))}
				assert.Equal(f.t, map[int]int{http.StatusOK: 2}, readAll(f, conns, body))
				sizes := r.responses.Sizes()
				f.t.Logf("%+v, %d ms", sizes, f.clock.Monotonic()-r.startMs)
				assert.Equal(f.t, 2, sizes.Unbuffered)
				assert.LessOrEqual(f.t, sizes.PeakBytes, sizes.LimitBytes)
				assert.Zero(f.t, sizes.UsedBytes)
				assert.EqualValues(f.t, 2, r.arrivals.Load())
			})
		})
		t.Run("a break is not hidden and a failure is retried, length "+name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				failures := atomic.Int32{}
				r := startSlowReader(f, "/safe/", func(w http.ResponseWriter, hr *http.Request) {
					if hr.Header.Get("X-Id") == "slow" {
						sendPart(w, declared, http.StatusOK)
						panic(http.ErrAbortHandler)
					}
					if failures.Add(1) == 1 {
						sendPart(w, declared, http.StatusInternalServerError)
					}
					_, _ = w.Write(body[part:])
				}, verySmall)
				_, err := readResponse(r.conn)
				require.Error(f.t, err)
				assert.EqualValues(f.t, 1, r.arrivals.Load(), "a response that has begun is not sent again")
				assertStatus(f.t, r.running, "/safe/", http.StatusOK)
				assert.EqualValues(f.t, 3, r.arrivals.Load())
				assert.Zero(f.t, r.responses.Sizes().UsedBytes)
			})
		})
	}
	t.Run("a caller that reads too slowly is cut off", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			r := startSlowReader(f, "/safe/", func(w http.ResponseWriter, _ *http.Request) {
				sendPart(w, true, http.StatusOK)
				_, _ = w.Write(body[part:])
			}, verySmall)
			_, _ = readSlowly(f, r.conn, 1<<10, 100)
			advance(f.t, 50*time.Millisecond)
			r.assertCutOff(exchange.BelowMinRate, 1)
			assert.Less(f.t, r.upstreamMs(), 2*clock.Second)
		})
	})
}
