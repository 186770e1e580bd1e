package inbound

import (
	"bytes"
	"cmp"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/socket"
	"dooryard.example/dooryard/internal/testlib"
)

// halfClosedConn is the connection of a caller that has ended its writing side after its requests.
type halfClosedConn struct {
	net.Conn
	requests *bytes.Reader
	mu       sync.Mutex
	sent     bytes.Buffer
	reads    bool
	left     atomic.Bool
	// closesAt is when the caller closes its socket, so that later data resets the connection. It is zero if it never does.
	closesAt time.Time
	// proxied is set if it is behind a proxy, which learns by the first data that it has closed, and passes it on with the
	// second.
	proxied bool
	// untold is set if the kernel tells nothing of the caller. Only writes then fail after a reset.
	untold bool
	// holdsNothing makes writes wait for the caller.
	holdsNothing bool
	// endsAfter is how long after its requests the caller ends its side.
	endsAfter time.Duration
	// version is that of the request. If it is empty, the connection is not told of the request.
	version string
	// acksAfter is how long the caller's kernel takes to acknowledge what was written last, at wroteAt, to it.
	acksAfter time.Duration
	wroteAt   time.Time
	acked     int
	// closed is closed by Close, which the server may call twice.
	closed chan struct{}
	once   sync.Once
}

func (c *halfClosedConn) Read(data []byte) (int, error) {
	n, err := c.requests.Read(data)
	if err != nil {
		time.Sleep(c.endsAfter)
	}
	return n, err
}

func (c *halfClosedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.untold && c.left.Load() && string(data) == interimResponse {
		return 0, syscall.EPIPE
	}
	closed := !c.closesAt.IsZero() && !time.Now().Before(c.closesAt)
	c.left.Store(c.left.Load() || closed && !c.proxied)
	c.proxied = c.proxied && !closed
	c.wroteAt, c.acked = time.Now(), c.sent.Len()
	return c.sent.Write(data)
}

func (c *halfClosedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

func (c *halfClosedConn) Sign() sign {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.untold {
		return sign{open: true}
	}
	if !c.reads {
		return sign{outstanding: c.sent.Len() > 0, open: !c.left.Load()}
	}
	if time.Since(c.wroteAt) < c.acksAfter {
		return sign{acknowledgedBytes: uint64(c.acked), outstanding: true, open: !c.left.Load()}
	}
	return sign{acknowledgedBytes: uint64(c.sent.Len()), open: !c.left.Load()}
}

func (*halfClosedConn) SetReadDeadline(time.Time) error { return nil }

func (*halfClosedConn) SetWriteDeadline(time.Time) error { return nil }

func (*halfClosedConn) RemoteAddr() net.Addr { return nil }

func (*halfClosedConn) LocalAddr() net.Addr { return nil }

// serveHalfClosed serves a request whose handler takes a time unless it is canceled, and returns for how long it ran.
func serveHalfClosed(
	t *testing.T, caller *halfClosedConn, takes time.Duration, start func(w http.ResponseWriter, c *Conn),
) (ran time.Duration) {
	t.Helper()
	caller.requests = bytes.NewReader([]byte("GET / " + cmp.Or(caller.version, "HTTP/1.1") + "\r\nHost: h\r\n\r\n"))
	caller.closed = make(chan struct{})
	inner := pipeListener{conns: make(chan net.Conn, 1)}
	inner.conns <- caller
	responses := exchange.NewMemory(1 << 20)
	if caller.holdsNothing {
		responses = nil
	}
	l := NewListener(inner, 1, responses, clock.New(), WithHeldEnds())
	accepted, err := l.Accept()
	require.NoError(t, err)
	once := make(chan net.Conn, 1)
	once <- accepted
	handler := http.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began := time.Now()
		start(w, ConnOf(r.Context()))
		select {
		case <-r.Context().Done():
		case <-time.After(takes):
		}
		ran = time.Since(began)
		_, _ = io.WriteString(w, "response")
	}))
	if caller.version != "" {
		handler = TrackRequests(handler)
	}
	server := http.Server{
		ConnContext: WithConn, ConnState: TrackIdle(clock.New().Monotonic), ReadHeaderTimeout: time.Minute, Handler: handler,
	}
	go func() { _ = server.Serve(onceListener{conns: once}) }()
	<-caller.closed
	require.NoError(t, server.Close())
	assert.Contains(t, caller.sent.String(), "response")
	assert.Empty(t, l.slots)
	return ran
}

// onceListener accepts the connections of a channel until it is empty.
type onceListener struct {
	net.Listener
	conns chan net.Conn
}

func (l onceListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	default:
		return nil, net.ErrClosed
	}
}

func (onceListener) Close() error { return nil }

// TestHalfClosed guards against callers that end only their writing side and get no response, and against upstreams
// that work on for callers that have left.
func TestHalfClosed(t *testing.T) {
	send := func(w http.ResponseWriter, _ *Conn) {
		<-time.After(time.Millisecond)
		assert.NoError(t, http.NewResponseController(w).Flush())
	}
	for _, c := range []struct {
		name        string
		takes, runs clock.Millis
		caller      *halfClosedConn
		start       func(w http.ResponseWriter, c *Conn)
	}{
		{
			"a response that is soon ready", holdMs - holdCheckMs, holdMs - holdCheckMs, &halfClosedConn{},
			func(http.ResponseWriter, *Conn) {},
		},
		{
			"a response that takes long", clock.Second, holdMs, &halfClosedConn{},
			func(http.ResponseWriter, *Conn) {},
		},
		{"a stream that the caller reads", clock.Second, clock.Second, &halfClosedConn{reads: true}, send},
		{"a stream that the caller doesn't read", clock.Second, maxHoldMs, &halfClosedConn{}, send},
		{
			"a response that is awaited in any case", clock.Second, clock.Second, &halfClosedConn{},
			func(_ http.ResponseWriter, c *Conn) { c.Commit() },
		},
		{
			"a request that failed and is no longer awaited", clock.Second, holdMs, &halfClosedConn{},
			func(_ http.ResponseWriter, c *Conn) { c.Commit()() },
		},
		{
			"a response that waits to be read", clock.Second, clock.Second, &halfClosedConn{},
			func(_ http.ResponseWriter, c *Conn) { c.HoldWhile(func() bool { return true }) },
		},
		{
			"a response that waited to be read until the end of the hold", clock.Second, holdMs + holdCheckMs,
			&halfClosedConn{}, func(_ http.ResponseWriter, c *Conn) {
				waits := atomic.Bool{}
				waits.Store(true)
				time.AfterFunc((holdMs + holdCheckMs/2).Duration(), func() { waits.Store(false) })
				c.HoldWhile(waits.Load)
			},
		},
		{
			"a response that nothing waits for any more", clock.Second, holdMs, &halfClosedConn{},
			func(_ http.ResponseWriter, c *Conn) { c.HoldWhile(func() bool { return true })() },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ran := serveHalfClosed(t, c.caller, c.takes.Duration(), c.start)
				assert.Equal(t, c.runs.Duration(), ran.Round(holdCheckMs.Duration()))
			})
		})
	}
	t.Run("a caller that gives no sign while a response is awaited", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			conn := atomic.Pointer[Conn]{}
			var early, late atomic.Bool
			time.AfterFunc((holdMs - 2*holdCheckMs).Duration(), func() { early.Store(conn.Load().Unheard()) })
			time.AfterFunc((holdMs + 2*holdCheckMs).Duration(), func() { late.Store(conn.Load().Unheard()) })
			serveHalfClosed(t, &halfClosedConn{}, time.Second, func(_ http.ResponseWriter, c *Conn) {
				c.Commit()
				conn.Store(c)
			})
			assert.False(t, early.Load())
			assert.True(t, late.Load())
		})
	})
	t.Run("a caller that resets the connection", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			caller := &halfClosedConn{}
			ran := serveHalfClosed(t, caller, time.Second, func(_ http.ResponseWriter, c *Conn) {
				c.Commit()
				caller.left.Store(true)
			})
			assert.LessOrEqual(t, ran, holdCheckMs.Duration())
		})
	})
}

// TestHalfClosedWritesDuringTheLastCheck guards against a response that is cut because it was read right before the last
// check and written right after it.
func TestHalfClosedWritesDuringTheLastCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := &halfClosedConn{reads: true}
		ran := serveHalfClosed(t, caller, time.Second, func(w http.ResponseWriter, _ *Conn) {
			<-time.After(holdMs.Duration() + time.Millisecond)
			assert.NoError(t, http.NewResponseController(w).Flush())
		})
		assert.Equal(t, (holdMs + 1 + clock.Second).Duration(), ran)
	})
}

// TestUnheard guards against requests that a process with little processor time sends on for callers that have probably
// left, and cuts right afterwards.
func TestUnheard(t *testing.T) {
	now := clock.Millis(1000)
	c := &Conn{listener: &Listener{clock: clock.New(clock.WithMonotonic(func() clock.Millis { return now }))}}
	unheardAfter := func(span clock.Millis, at sign, reads bool) bool {
		start := now
		defer func() { now = start }()
		c.setUnheardFrom(start, at, reads)
		now += span
		return c.Unheard()
	}
	assert.False(t, c.Unheard(), "before the end")
	assert.False(t, unheardAfter(holdMs-1, sign{}, false))
	assert.True(t, unheardAfter(holdMs, sign{}, false), "however often the kernel was asked")
	assert.False(t, unheardAfter(holdMs, sign{outstanding: true}, false), "while bytes are under way")
	assert.True(t, unheardAfter(maxHoldMs, sign{outstanding: true}, false))
	assert.False(t, unheardAfter(maxHoldMs, sign{}, true), "a caller that reads")
	reading := &halfClosedConn{reads: true}
	c.Conn = reading
	assert.True(t, unheardAfter(holdMs, sign{}, false), "no data to acknowledge")
	_, err := reading.Write([]byte("data"))
	require.NoError(t, err)
	assert.False(t, unheardAfter(holdMs, sign{}, false), "acknowledged since the latest check")
}

// TestSignOf guards against a caller that has left and counts as reading on real sockets, and the reverse.
func TestSignOf(t *testing.T) {
	for name, left := range map[string]bool{"has ended its writing side": false, "has closed the connection": true} {
		t.Run(name, func(t *testing.T) {
			caller, conn := testlib.Connect(t)
			tcp, ok := caller.(*net.TCPConn)
			require.True(t, ok)
			require.NoError(t, tcp.CloseWrite())
			if left {
				require.NoError(t, tcp.Close())
			}
			_, err := conn.Read(make([]byte, 1))
			require.ErrorIs(t, err, io.EOF)
			before := signOf(socket.System(), conn)
			require.True(t, before.open)
			_, err = conn.Write([]byte("event"))
			require.NoError(t, err)
			now := before
			for now.open && now.acknowledgedBytes == before.acknowledgedBytes {
				runtime.Gosched()
				now = signOf(socket.System(), conn)
			}
			assert.Equal(t, !left, now.open)
			if !left {
				assert.Equal(t, before.acknowledgedBytes+uint64(len("event")), now.acknowledgedBytes)
				assert.False(t, now.outstanding)
			}
		})
	}
}
