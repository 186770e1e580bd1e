package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/pkg/config"
)

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
				synctest.Wait()
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
				synctest.Wait()
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
