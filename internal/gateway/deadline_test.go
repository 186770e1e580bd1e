package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/pkg/config"
)

// deadlineCaller is a caller that waits exactly as long as it says.
type deadlineCaller struct {
	fleet *fleet
	box   *running
	conn  net.Conn
	in    *bufio.Reader
	// oneWay is how long data takes between the caller and the box.
	oneWay time.Duration
	// headTakes is how long the caller takes to send the head of a request.
	headTakes time.Duration
	sent      int
}

func (f *fleet) pass(span time.Duration) {
	f.t.Helper()
	require.NoError(f.t, f.clock.Sleep(f.t.Context(), clock.FromDuration(span)))
}

// send sends a request, and returns the status of the response and how long the caller waited for it.
func (c *deadlineCaller) send(path string, header string) (status int, took time.Duration) {
	t := c.fleet.t
	t.Helper()
	began := time.Now()
	if c.conn == nil {
		c.fleet.pass(2 * c.oneWay)
		conn, err := c.fleet.network.Host("caller").Dial(t.Context(), "tcp", c.box.settings.CallersAddress)
		require.NoError(t, err)
		c.conn, c.in = conn, bufio.NewReader(conn)
		t.Cleanup(func() { _ = conn.Close() })
	}
	c.sent++
	c.fleet.pass(c.oneWay)
	c.write(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n", path, host))
	c.fleet.pass(c.headTakes)
	c.write(fmt.Sprintf("X-Id: %d\r\nAuthorization: %s\r\n%s\r\n", c.sent, key, header))
	response, err := http.ReadResponse(c.in, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	c.fleet.pass(c.oneWay)
	return response.StatusCode, time.Since(began)
}

func (c *deadlineCaller) write(data string) {
	_, err := io.WriteString(c.conn, data)
	require.NoError(c.fleet.t, err)
}

const (
	silentAfterMs = 1500
	deadlineLine  = "X-Deadline: 1500\r\n"
)

func silentUpstream(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// assertInTime checks that a caller got a response before its deadline, which did not come needlessly early.
func assertInTime(t *testing.T, took time.Duration, deadlineMs int) {
	t.Helper()
	limit := time.Duration(deadlineMs) * time.Millisecond
	assert.Less(t, took, limit)
	assert.GreaterOrEqual(t, took, limit-limit*defaultMaxLeadPercent/percent)
}

// TestLastResponseArrivesInTime guards against last responses that arrive after their callers' deadlines.
func TestLastResponseArrivesInTime(t *testing.T) {
	for _, c := range []struct {
		name, path        string
		oneWay, headTakes time.Duration
		header            string
		deadlineMs        int
	}{
		{"a near caller", "/unsafe/", 0, 0, deadlineLine, silentAfterMs},
		{"one that sends no deadline", "/unsafe/", 0, 0, "", timeoutMs},
		{"a far one", "/unsafe/", 4 * time.Millisecond, 0, deadlineLine, silentAfterMs},
		{"a head that takes long", "/unsafe/", time.Millisecond, 800 * time.Millisecond, deadlineLine, silentAfterMs},
		{"a route that is retried", "/safe/", 0, 0, deadlineLine, silentAfterMs},
		{"a stream that does not begin", "/stream/", 0, 0, deadlineLine, silentAfterMs},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				f.upstream("u1", silentUpstream)
				caller := &deadlineCaller{fleet: f, box: f.box(1), oneWay: c.oneWay, headTakes: c.headTakes}
				for range 2 {
					status, took := caller.send(c.path, c.header)
					assert.Equal(f.t, http.StatusGatewayTimeout, status)
					assertInTime(f.t, took, c.deadlineMs)
				}
			})
		})
	}
	t.Run("a request that another box serves", func(t *testing.T) {
		runForwarding(t, 2, func(f *forwardingFleet) {
			f.respond(silentUpstream)
			caller := &deadlineCaller{fleet: f.fleet, box: f.boxes[0]}
			status, took := caller.send("/unsafe/", deadlineLine)
			assert.Equal(f.t, http.StatusGatewayTimeout, status)
			assertInTime(f.t, took, silentAfterMs)
		})
	})
	t.Run("a box without a routing state", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			f.store.setUnavailable("box-1", true)
			caller := &deadlineCaller{fleet: f, box: f.box(1)}
			status, took := caller.send("/unsafe/", "X-Deadline: 300\r\n")
			assert.Equal(f.t, http.StatusServiceUnavailable, status)
			assertInTime(f.t, took, 300)
		})
	})
	t.Run("a response that stalls", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			f.upstream("u1", func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Length", "10")
				_, _ = io.WriteString(w, "half")
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
			})
			status, took := (&deadlineCaller{fleet: f, box: f.box(1)}).send("/unsafe/", deadlineLine)
			assert.Equal(f.t, http.StatusGatewayTimeout, status)
			assertInTime(f.t, took, silentAfterMs)
		})
	})
	t.Run("a box that is late", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			const lateMs = 60
			f.upstream("u1", silentUpstream)
			b := f.box(1)
			b.lateness.Observe(f.clock.Monotonic(), lateMs)
			status, took := (&deadlineCaller{fleet: f, box: b}).send("/unsafe/", deadlineLine)
			assert.Equal(f.t, http.StatusGatewayTimeout, status)
			assertInTime(f.t, took+lateMs*time.Millisecond, silentAfterMs)
		})
	})
	t.Run("a request that is read once its time is over", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			var arrivals atomic.Int32
			f.upstream("u1", countRequests(&arrivals, respondWith("done")))
			caller := &deadlineCaller{fleet: f, box: f.box(1), headTakes: silentAfterMs * time.Millisecond}
			status, took := caller.send("/unsafe/", deadlineLine)
			assert.Equal(f.t, http.StatusServiceUnavailable, status)
			assert.Equal(f.t, caller.headTakes, took, "refused at once")
			assert.Zero(f.t, arrivals.Load())
		})
	})
}

// TestResponsesUntilTheDeadline guards against sound responses that are ended so that a last one arrives in time.
func TestResponsesUntilTheDeadline(t *testing.T) {
	// The response begins before the last one would leave, and ends after.
	const beginsMs, endsMs = silentAfterMs - 50, silentAfterMs - 5
	parts := func(contentType string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			began := time.Now()
			until := func(ms int) {
				_ = clock.New().Sleep(context.Background(), clock.FromDuration(time.Duration(ms)*time.Millisecond-time.Since(began)))
			}
			until(beginsMs)
			w.Header().Set("Content-Type", contentType)
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			until(endsMs)
			_, _ = io.WriteString(w, "data: 1\n\n")
		}
	}
	for path, contentType := range map[string]string{"/unsafe/": "text/plain", "/stream/": "text/event-stream"} {
		t.Run(path, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				f.upstream("u1", parts(contentType))
				status, took := (&deadlineCaller{fleet: f, box: f.box(1)}).send(path, deadlineLine)
				assert.Equal(f.t, http.StatusOK, status)
				assert.Equal(f.t, endsMs*time.Millisecond, took)
			})
		})
	}
	t.Run("on a connection that was opened some time before", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			const oneWay = 10 * time.Millisecond
			f.upstream("u1", parts("text/event-stream"))
			status, took := (&deadlineCaller{fleet: f, box: f.box(1), oneWay: oneWay}).send("/stream/", deadlineLine)
			assert.Equal(f.t, http.StatusOK, status)
			assert.Equal(f.t, 4*oneWay+endsMs*time.Millisecond, took)
		})
	})
	t.Run("streaming upstreams have the time until the deadline", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			var told atomic.Value
			f.upstream("u1", func(_ http.ResponseWriter, r *http.Request) { told.Store(r.Header.Get("X-Deadline")) })
			(&deadlineCaller{fleet: f, box: f.box(1)}).send("/stream/", deadlineLine)
			assert.Equal(f.t, fmt.Sprint(silentAfterMs), told.Load())
		})
	})
}

// TestCallersThatWaitLongerThanTheRoute guards against responses that are ended early although their callers wait on.
func TestCallersThatWaitLongerThanTheRoute(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		f.upstream("u1", silentUpstream)
		status, took := (&deadlineCaller{fleet: f, box: f.box(1)}).send("/unsafe/", fmt.Sprintf("X-Deadline: %d\r\n", 2*timeoutMs))
		assert.Equal(f.t, http.StatusGatewayTimeout, status)
		assert.Equal(f.t, timeoutMs*time.Millisecond, took)
	})
}

// TestNoRetryThatComesTooLate guards against retries that begin with less time than upstreams need, so that their callers
// wait for nothing.
func TestNoRetryThatComesTooLate(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		const takesMs = 400
		var arrivals atomic.Int32
		for _, id := range []string{"u1", "u2"} {
			f.upstream(id, countRequests(&arrivals, func(w http.ResponseWriter, r *http.Request) {
				_ = clock.New().Sleep(r.Context(), takesMs)
				if r.URL.Path == "/safe/fails" {
					w.WriteHeader(http.StatusInternalServerError)
				}
			}))
		}
		b := f.box(1, func(g *config.Gateway) { g.Budget.Slack = 100 })
		caller := &deadlineCaller{fleet: f, box: b}
		for range 40 {
			status, _ := caller.send("/safe/", "")
			require.Equal(f.t, http.StatusOK, status)
		}
		for deadlineMs, attempts := range map[int]int32{700: 1, 1000: 2} {
			arrivals.Store(0)
			status, took := caller.send("/safe/fails", fmt.Sprintf("X-Deadline: %d\r\n", deadlineMs))
			assert.Equal(f.t, http.StatusInternalServerError, status)
			assert.Equal(f.t, attempts, arrivals.Load())
			assert.Equal(f.t, time.Duration(attempts)*takesMs*time.Millisecond, took)
		}
	})
}

// TestRetriesInPoolsWithSomeSlowResponses guards against callers that get no retry, which would be in time, since a few
// responses of the pool took long.
func TestRetriesInPoolsWithSomeSlowResponses(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		const slowMs, deadlineMs = 1500, 150
		var failed atomic.Bool
		for _, id := range []string{"u1", "u2"} {
			f.upstream(id, func(w http.ResponseWriter, r *http.Request) {
				switch r.URL.Path {
				case "/safe/slow":
					_ = clock.New().Sleep(r.Context(), slowMs)
				case "/safe/fails":
					if failed.CompareAndSwap(false, true) {
						w.WriteHeader(http.StatusInternalServerError)
					}
				}
			})
		}
		caller := &deadlineCaller{fleet: f, box: f.box(1, func(g *config.Gateway) { g.Budget.Slack = 100 })}
		for _, path := range []string{"/safe/slow", "/safe/slow", "/safe/slow", "/safe/", "/safe/", "/safe/"} {
			status, _ := caller.send(path, "")
			require.Equal(f.t, http.StatusOK, status)
		}
		status, _ := caller.send("/safe/fails", fmt.Sprintf("X-Deadline: %d\r\n", deadlineMs))
		assert.Equal(f.t, http.StatusOK, status)
	})
}

// TestStreamsResumeUntilTheDeadline guards against streams that break shortly before the deadline and don't go on,
// though another upstream has the rest.
func TestStreamsResumeUntilTheDeadline(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		const breaksMs, deadlineMs = 395, 400
		handler := func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Last-Event-Id") == "3" {
				writeEvents(4, 5, endStream)(w, r)
				return
			}
			writeEvents(1, 3, func(w http.ResponseWriter, r *http.Request) {
				_ = http.NewResponseController(w).Flush()
				_ = clock.New().Sleep(r.Context(), breaksMs)
				abortMidEvent(w, r)
			})(w, r)
		}
		f.upstream("u1", handler)
		f.upstream("u2", handler)
		status, _ := (&deadlineCaller{fleet: f, box: f.box(1)}).send("/resumable/", fmt.Sprintf("X-Deadline: %d\r\n", deadlineMs))
		assert.Equal(f.t, http.StatusOK, status)
	})
}
