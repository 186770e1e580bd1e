package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/opaque"
)

// with returns the lines that contain a text.
func (l *logBuffer) with(text string) []string {
	found := []string{}
	for line := range strings.Lines(l.String()) {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

// TestStopReportsCutRequests guards against a stop that counts as failed because requests outlast the grace period.
func TestStopReportsCutRequests(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t := f.t
		out := &logBuffer{}
		f.out = out
		f.upstream("u1", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		b := f.box(1, withGrace(3))
		go func() { _, _, _ = b.get("/unsafe/") }()
		synctest.Wait()
		b.stop()
		advance(t, 4*time.Second)
		require.NoError(t, <-b.done)
		b.done <- nil
		for _, stage := range []string{"stopping", "listeners close", "requests cut"} {
			found := out.with(`"msg":"` + stage + `"`)
			require.Len(t, found, 1, stage)
			assert.Contains(t, found[0], `"in_flight":1`)
		}
	})
}

// connect opens a connection to a box's address.
func (r *running) connect(address string) *rawCaller {
	r.fleet.t.Helper()
	conn, err := r.fleet.network.Host("caller").Dial(r.fleet.t.Context(), "tcp", address)
	require.NoError(r.fleet.t, err)
	r.fleet.t.Cleanup(func() { _ = conn.Close() })
	return &rawCaller{t: r.fleet.t, conn: conn, reader: bufio.NewReader(conn)}
}

// rawCaller writes requests to a connection as bytes.
type rawCaller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func requestText(path, more string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Id: 1\r\nAuthorization: " + key + "\r\n" + more + "\r\n"
}

func (c *rawCaller) write(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, text)
	require.NoError(c.t, err)
}

// read reads a response.
func (c *rawCaller) read() (status int, body string) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	data, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	require.NoError(c.t, response.Body.Close())
	return response.StatusCode, string(data)
}

// response reads a response with its body.
func (c *rawCaller) response() *http.Response {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(c.t, err)
	require.NoError(c.t, response.Body.Close())
	return response
}

// assertServed checks that the response to a request is the upstream's.
func (c *rawCaller) assertServed() {
	c.t.Helper()
	status, body := c.read()
	assert.Equal(c.t, http.StatusOK, status)
	assert.Equal(c.t, "done", body)
}

// assertStopped checks that a box has stopped.
func (r *running) assertStopped() {
	r.fleet.t.Helper()
	select {
	case err := <-r.done:
		require.NoError(r.fleet.t, err)
		r.done <- nil
	default:
		assert.Fail(r.fleet.t, "the box still runs")
	}
}

// TestStopBesideOpenConnection guards against a connection without a request that keeps the listener for callers open
// until the end of the grace period, which then cuts the requests that came last.
func TestStopBesideOpenConnection(t *testing.T) {
	for _, name := range []string{"readiness", "callers", "peers"} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				t := f.t
				f.upstream("u1", func(w http.ResponseWriter, _ *http.Request) {
					advance(t, time.Second)
					_, _ = io.WriteString(w, "done")
				})
				b := f.box(1)
				address := map[string]string{
					"readiness": b.settings.ReadinessAddress, "callers": b.settings.CallersAddress, "peers": b.settings.PeersAddress,
				}[name]
				b.stop()
				advance(t, maxAnnounceMs.Duration()-100*time.Millisecond)
				b.connect(address)
				caller := b.connect(b.settings.CallersAddress)
				caller.write(requestText("/unsafe/", "Content-Length: 0\r\n"))
				advance(t, 200*time.Millisecond)
				_, err := f.network.Host("caller").Dial(t.Context(), "tcp", b.settings.CallersAddress)
				require.Error(t, err, "a box that no longer answers new callers refuses their connections")
				caller.assertServed()
				advance(t, time.Second)
				b.assertStopped()
			})
		})
	}
}

// TestStopServesOpenConnections guards against a stop that closes the connection of a request that it has begun to
// read, or that arrives on a new connection.
func TestStopServesOpenConnections(t *testing.T) {
	text := requestText("/unsafe/", "Content-Length: 0\r\n")
	for _, c := range []struct {
		name string
		kept bool
		// before and after are what the caller sends before and after the listeners close.
		before, after string
	}{
		{"a new connection", false, "", text},
		{"a new connection, the head in two parts", false, text[:9], text[9:]},
		{"a kept connection, the head in two parts", true, text[:9], text[9:]},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				t := f.t
				f.upstream("u1", respondWith("done"))
				b := f.box(1)
				caller := b.connect(b.settings.CallersAddress)
				if c.kept {
					caller.write(text)
					caller.assertServed()
				}
				b.stop()
				advance(t, maxAnnounceMs.Duration()-100*time.Millisecond)
				if c.before != "" {
					caller.write(c.before)
				}
				advance(t, 200*time.Millisecond)
				caller.write(c.after)
				caller.assertServed()
				advance(t, 100*time.Millisecond)
				b.assertStopped()
			})
		})
	}
}

// TestStopClosesConnectionOfRunningRequest guards against a caller that sends its next request on a connection which the
// box is about to close, because the response before didn't say so.
func TestStopClosesConnectionOfRunningRequest(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t := f.t
		f.upstream("u1", func(w http.ResponseWriter, _ *http.Request) {
			advance(t, time.Second)
			_, _ = io.WriteString(w, "done")
		})
		b := f.box(1)
		caller := b.connect(b.settings.CallersAddress)
		caller.write(requestText("/unsafe/", "Content-Length: 0\r\n"))
		synctest.Wait()
		b.stop()
		response, err := http.ReadResponse(caller.reader, nil)
		require.NoError(t, err)
		assert.True(t, response.Close, "the response tells the caller to close the connection")
		require.NoError(t, response.Body.Close())
	})
}

// forwardedText returns the head of a request without a body that another box forwards.
func forwardedText(path string) string {
	header, text := http.Header{}, strings.Builder{}
	opaque.Hop{Box: "box-2"}.SetHeader(header)
	_ = header.Write(&text)
	return requestText(path, text.String()+"Content-Length: 0\r\n")
}

// TestStopServesNextRequests guards against a caller whose next request is closed unread because the box stops, although
// no response told the caller to change its connection.
func TestStopServesNextRequests(t *testing.T) {
	first := func(path string) string { return requestText(path, "Content-Length: 0\r\n") }
	for _, c := range []struct {
		name, path string
		peers      bool
		text       func(path string) string
		// idle is how long the connection has no request before the stop.
		idle time.Duration
	}{
		{"a stream that began before the stop", "/stream/", false, first, 0},
		{"an idle connection", "/unsafe/", false, first, 5 * time.Second},
		{"an idle connection of another box", "/unsafe/", true, forwardedText, 5 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				t := f.t
				stream := eventStream{events: 28, eventBytes: 1, gap: 100}.handler(f)
				f.upstream("u1", func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/stream/" {
						stream(w, r)
					}
				})
				b := f.box(1)
				address := b.settings.CallersAddress
				if c.peers {
					address = b.settings.PeersAddress
				}
				caller := b.connect(address)
				caller.write(c.text(c.path))
				advance(t, c.idle)
				synctest.Wait()
				stopped := time.Now()
				b.stop()
				assert.False(t, caller.response().Close, "the caller may send its next request here")
				advance(t, time.Until(stopped.Add(maxAnnounceMs.Duration()+600*time.Millisecond)))
				caller.write(c.text("/safe/"))
				response := caller.response()
				assert.Equal(t, http.StatusOK, response.StatusCode)
				assert.True(t, response.Close, "the response tells the caller to close the connection")
				advance(t, 2*time.Second)
				b.assertStopped()
			})
		})
	}
}

// TestStopRefusesWhatOutlastsGrace guards against requests without a response at the end of the grace period.
func TestStopRefusesWhatOutlastsGrace(t *testing.T) {
	for _, c := range []struct {
		name, more string
		status     int
	}{
		{"a request that may have run", "Content-Length: 0\r\n", http.StatusBadGateway},
		{"a request whose body has not arrived", "Content-Length: 9\r\n", http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				t := f.t
				f.upstream("u1", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
				b := f.box(1, withGrace(3))
				caller := b.connect(b.settings.CallersAddress)
				caller.write(requestText("/unsafe/", c.more))
				synctest.Wait()
				b.stop()
				status, _ := caller.read()
				assert.Equal(t, c.status, status)
				advance(t, time.Second)
				b.assertStopped()
			})
		})
	}
}

// TestStopRefusesWhatArrivesLast guards against a request that is whole only at the end of the grace period, and whose
// connection is closed without a response since no other request runs.
func TestStopRefusesWhatArrivesLast(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t := f.t
		f.upstream("u1", respondWith("done"))
		b := f.box(1, withGrace(3))
		caller := b.connect(b.settings.CallersAddress)
		text := requestText("/unsafe/", "Content-Length: 0\r\n")
		caller.write(text[:9])
		synctest.Wait()
		b.stop()
		advance(t, (3*clock.Second - exitReserveMs + exitReserveMs*lastResponsesPercent/percent/2).Duration())
		caller.write(text[9:])
		response := caller.response()
		assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		assert.True(t, response.Close, "the response tells the caller to close the connection")
		assert.NotEmpty(t, response.Header.Get("Retry-After"))
		advance(t, time.Second)
		b.assertStopped()
	})
}

// TestStopRefusesWhatComesLate guards against requests that begin late in a stop and are cut at its end.
func TestStopRefusesWhatComesLate(t *testing.T) {
	for _, c := range []struct {
		name, path, more string
		// afterMs is when the request is sent, counted from the signal, which the process handles late.
		afterMs, handledLateMs clock.Millis
		want                   int
	}{
		{"a stream in time", "/stream/", "", 2500, 90, http.StatusOK},
		{"a late stream", "/stream/", "", 3010, 90, http.StatusServiceUnavailable},
		{"a late stream whose deadline passes within the grace period", "/stream/", "X-Deadline: 2000\r\n", 3010, 90, http.StatusOK},
		{"another late request", "/unsafe/", "", 5600, 90, http.StatusServiceUnavailable},
		{"another request in time", "/unsafe/", "", 4000, 90, http.StatusOK},
		{"a late stream after a stall", "/stream/", "", 3010, 1500, http.StatusServiceUnavailable},
		{"another late request after a stall", "/unsafe/", "", 5600, 1500, http.StatusServiceUnavailable},
		{"another request in time after a stall", "/unsafe/", "", 4000, 1500, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				f.upstream("u1", eventStream{events: 3, eventBytes: 1, gap: 10}.handler(f))
				b := f.box(1, withGrace(6.5))
				b.connect(b.settings.CallersAddress).write("POST /a-part-keeps-the-box-waiting")
				caller := b.connect(b.settings.CallersAddress)
				caller.write(requestText("/safe/", "Content-Length: 0\r\n"))
				caller.response()
				f.advanceMonotonic(c.handledLateMs)
				b.stop()
				advance(f.t, (c.afterMs - c.handledLateMs).Duration())
				caller.write(requestText(c.path, c.more+"Content-Length: 0\r\n"))
				response := caller.response()
				assert.Equal(f.t, c.want, response.StatusCode)
				assert.Equal(f.t, c.want != http.StatusOK, response.Header.Get("Retry-After") != "")
				assert.True(f.t, response.Close, "the response tells the caller to close the connection")
			})
		})
	}
}

// TestStopClosesListenersBySignal guards against a process that handles its signal late, and accepts connections in the
// part of the grace period in which it can't answer them any more.
func TestStopClosesListenersBySignal(t *testing.T) {
	for _, c := range []struct {
		name          string
		handledLateMs clock.Millis
		// observed is set if the stall was seen before the signal was handled.
		observed bool
		closedMs clock.Millis
	}{
		{"in time", 0, false, maxAnnounceMs},
		{"late", 1000, false, maxAnnounceMs + usualSignalDelayMs},
		{"late, after the stall was seen", 1000, true, maxAnnounceMs + usualSignalDelayMs},
		{"very late", 3000, false, 3000 + maxAnnounceMs/2},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				b := f.box(1)
				// At no instant at which the box itself may detect the stall.
				const offTicksMs = 37
				advance(f.t, (10*housekeepingIntervalMs + offTicksMs).Duration())
				f.advanceMonotonic(c.handledLateMs)
				if c.observed {
					b.stalls.observe(b.clock.Monotonic())
				}
				b.stop()
				const slackMs = 2 * housekeepingIntervalMs
				advance(f.t, (c.closedMs - c.handledLateMs - slackMs).Duration())
				accepted, err := f.network.Host("caller").Dial(f.t.Context(), "tcp", b.settings.CallersAddress)
				require.NoError(f.t, err)
				require.NoError(f.t, accepted.Close())
				advance(f.t, (2 * slackMs).Duration())
				_, err = f.network.Host("caller").Dial(f.t.Context(), "tcp", b.settings.CallersAddress)
				require.Error(f.t, err)
			})
		})
	}
}
