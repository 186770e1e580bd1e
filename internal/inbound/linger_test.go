package inbound

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
)

// TestRefusedBody guards against callers that are reset while they send a long body that is refused.
func TestRefusedBody(t *testing.T) {
	const bodyBytes = 16 << 20
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := NewListener(inner, 1, exchange.NewMemory(1<<20), clock.New())
	server := http.Server{
		Handler: http.NotFoundHandler(), ConnContext: WithConn, ConnState: TrackIdle(clock.New().Monotonic),
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	for range 3 {
		caller, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(caller, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 16777216\r\n\r\n")
		require.NoError(t, err)
		_, err = caller.Write(make([]byte, bodyBytes))
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(caller), nil)
		require.NoError(t, err)
		assert.Equal(t, http.StatusNotFound, response.StatusCode)
		_, err = io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.NoError(t, caller.Close())
	}
}

// pipeListener accepts connections without sockets.
type pipeListener struct {
	net.Listener
	conns chan net.Conn
}

func (l pipeListener) Accept() (net.Conn, error) { return <-l.conns, nil }

func (pipeListener) Close() error { return nil }

type pipeConn struct{ net.Conn }

func (pipeConn) CloseWrite() error { return nil }

// newFullListener returns a listener with one connection, on which a response was sent, and a function that begins
// another one.
func newFullListener(t *testing.T) (l *Listener, conn, caller net.Conn, connect func() net.Conn) {
	t.Helper()
	inner := pipeListener{conns: make(chan net.Conn, 1)}
	l = NewListener(inner, 1, exchange.NewMemory(1<<20), clock.New())
	connect = func() net.Conn {
		near, far := net.Pipe()
		inner.conns <- pipeConn{near}
		return far
	}
	caller = connect()
	conn, err := l.Accept()
	require.NoError(t, err)
	go func() { _, _ = io.WriteString(caller, "request") }()
	_, err = conn.Read(make([]byte, len("request")))
	require.NoError(t, err)
	go func() { _, _ = conn.Write([]byte("response")) }()
	_, err = io.ReadFull(caller, make([]byte, len("response")))
	require.NoError(t, err)
	synctest.Wait()
	return l, conn, caller, connect
}

// lingering returns a full listener whose only connection lingers, and the end of its caller.
func lingering(t *testing.T) (l *Listener, caller net.Conn, connect func() net.Conn) {
	t.Helper()
	l, conn, caller, connect := newFullListener(t)
	require.NoError(t, conn.Close())
	assert.Len(t, l.slots, 1, "the connection lingers")
	return l, caller, connect
}

// assertClosedAfter asserts when a box closes a connection.
func assertClosedAfter(t *testing.T, caller net.Conn, span clock.Millis) {
	t.Helper()
	began := time.Now()
	_, err := caller.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	assert.Equal(t, span.Duration(), time.Since(began))
}

// TestLinger guards against connections that linger for ever, or that keep others out of a full box.
func TestLinger(t *testing.T) {
	t.Run("a caller that sends nothing", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			_, caller, _ := lingering(t)
			assertClosedAfter(t, caller, lingerSilenceMs)
		})
	})
	t.Run("a caller that goes on sending", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			_, caller, _ := lingering(t)
			var sending sync.WaitGroup
			sending.Go(func() {
				for err := error(nil); err == nil; _, err = caller.Write([]byte("more")) {
					<-time.After(lingerSilenceMs.Duration() / 2)
				}
			})
			assertClosedAfter(t, caller, lingerMs)
			sending.Wait()
		})
	})
	t.Run("a caller that sends much", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			_, caller, _ := lingering(t)
			n, err := caller.Write(make([]byte, 2*maxLingerBytes))
			require.Error(t, err)
			assert.Equal(t, maxLingerBytes, n)
		})
	})
	t.Run("a caller that closes the connection", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			l, caller, _ := lingering(t)
			require.NoError(t, caller.Close())
			synctest.Wait()
			assert.Empty(t, l.slots)
		})
	})
	t.Run("a new connection takes the place of one that lingers", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			l, _, connect := lingering(t)
			began := time.Now()
			second := connect()
			accepted, err := l.Accept()
			require.NoError(t, err)
			assert.Zero(t, time.Since(began))
			require.NoError(t, second.Close())
			require.NoError(t, accepted.Close())
		})
	})
	t.Run("without descriptors a connection lingers until its caller has sent nothing for some time", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			l, caller, _ := lingering(t)
			for range 3 {
				<-time.After(minQuietMs.Duration() - time.Millisecond)
				l.handleExhausted()
				_, err := caller.Write([]byte("more"))
				require.NoError(t, err)
				synctest.Wait()
			}
			<-time.After(minQuietMs.Duration())
			l.handleExhausted()
			assert.Empty(t, l.slots)
		})
	})
	t.Run("a box that is stopped at once", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			l, conn, _, _ := newFullListener(t)
			go func() { _, _ = io.Copy(io.Discard, conn) }()
			synctest.Wait()
			require.NoError(t, conn.Close())
			assert.Empty(t, l.slots)
		})
	})
}
