package inbound

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
)

// Time limits of the server in tests.
const (
	testHeaderTimeout = 15 * time.Second
	testIdleTimeout   = 60 * time.Second
)

// pausedConn is the connection of a process that is paused once, until a read deadline of a span has passed. Its caller
// sends meanwhile.
type pausedConn struct {
	net.Conn
	span           time.Duration
	pauses, paused atomic.Bool
}

func (c *pausedConn) Read(data []byte) (int, error) {
	if c.pauses.CompareAndSwap(true, false) {
		<-time.After(c.span)
		c.paused.Store(true)
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(data)
}

func (c *pausedConn) SetReadDeadline(deadline time.Time) error {
	c.pauses.Store(!c.paused.Load() && time.Until(deadline) == c.span)
	return c.Conn.SetReadDeadline(deadline)
}

// Buffered returns 1 if the caller is known to be sending.
func (c *pausedConn) Buffered() int {
	if c.paused.Load() {
		return 1
	}
	return 0
}

// serveTimeouts serves the connection of a caller, in a process that is paused for deadlines of a span.
func serveTimeouts(t *testing.T, timeouts func() Timeouts, pausesFor time.Duration) (caller net.Conn) {
	t.Helper()
	near, far := net.Pipe()
	inner := pipeListener{conns: make(chan net.Conn, 1)}
	inner.conns <- &pausedConn{Conn: near, span: pausesFor}
	l := NewListener(inner, 1, exchange.NewMemory(1<<20), clock.New(), WithTimeouts(timeouts))
	accepted, err := l.Accept()
	require.NoError(t, err)
	once := make(chan net.Conn, 1)
	once <- accepted
	server := http.Server{
		ConnState: TrackIdle(clock.New().Monotonic), Handler: http.NotFoundHandler(),
		ReadHeaderTimeout: testHeaderTimeout, IdleTimeout: testIdleTimeout,
	}
	go func() { _ = server.Serve(onceListener{conns: once}) }()
	t.Cleanup(func() { _ = far.Close() })
	return far
}

// assertResponse sends a text and asserts that it is answered.
func assertResponse(t *testing.T, caller net.Conn, text string) {
	t.Helper()
	go func() { _, _ = io.WriteString(caller, text) }()
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
}

// TestTimeouts guards against requests that arrive in time and whose connections are closed.
func TestTimeouts(t *testing.T) {
	const head, end = "GET / HTTP/1.1\r\nHost: h\r\n", "\r\n"
	longer := func() Timeouts { return Timeouts{HeaderMs: 20 * clock.Second, IdleMs: 120 * clock.Second} }
	shorter := func() Timeouts { return Timeouts{HeaderMs: clock.Second, IdleMs: clock.Second} }
	for _, c := range []struct {
		name         string
		timeouts     func() Timeouts
		header, idle time.Duration
	}{
		{"operators allow less", shorter, testHeaderTimeout, testIdleTimeout},
		{"operators allow more", longer, 20 * time.Second, 120 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller := serveTimeouts(t, c.timeouts, 0)
				assertResponse(t, caller, head+end)
				<-time.After(c.idle - time.Second)
				_, err := io.WriteString(caller, head)
				require.NoError(t, err)
				<-time.After(c.header - time.Second)
				assertResponse(t, caller, end)
				assertClosedAfter(t, caller, clock.Millis(c.idle.Milliseconds()))
			})
		})
	}
	for name, pausesFor := range map[string]time.Duration{
		"a process that was paused while a connection was idle": testIdleTimeout,
		"a process that was paused while a head arrived":        testHeaderTimeout,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller := serveTimeouts(t, shorter, pausesFor)
				for range 2 {
					assertResponse(t, caller, head+end)
				}
			})
		})
	}
	t.Run("a head that doesn't arrive", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			caller := serveTimeouts(t, shorter, 0)
			_, err := io.WriteString(caller, head)
			require.NoError(t, err)
			assertClosedAfter(t, caller, clock.Millis(testHeaderTimeout.Milliseconds()))
		})
	})
}

// TestHandlerOutlastsReadDeadline guards against a caller that is taken for one that has left, with all requests on its
// connection, since the time limit of a body ends while a handler runs that has read it.
func TestHandlerOutlastsReadDeadline(t *testing.T) {
	for name, text := range map[string]string{
		"without a body": "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"with a body":    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				inner := pipeListener{conns: make(chan net.Conn, 1)}
				inner.conns <- near
				accepted, err := NewListener(inner, 1, exchange.NewMemory(1<<20), clock.New()).Accept()
				require.NoError(t, err)
				once := make(chan net.Conn, 1)
				once <- accepted
				server := http.Server{
					ReadHeaderTimeout: testHeaderTimeout,
					Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						deadline := time.Now().Add(time.Second)
						assert.NoError(t, http.NewResponseController(w).SetReadDeadline(deadline))
						_, _ = io.Copy(io.Discard, r.Body)
						<-time.After(2 * time.Second)
						if r.Context().Err() != nil {
							w.WriteHeader(http.StatusInternalServerError)
						}
					}),
				}
				Attach(&server, clock.New().Monotonic)
				go func() { _ = server.Serve(onceListener{conns: once}) }()
				reader := bufio.NewReader(far)
				for range 2 {
					_, err = io.WriteString(far, text)
					require.NoError(t, err)
					response, err := http.ReadResponse(reader, nil)
					require.NoError(t, err)
					require.NoError(t, response.Body.Close())
					assert.Equal(t, http.StatusOK, response.StatusCode)
				}
				require.NoError(t, far.Close())
			})
		})
	}
}
