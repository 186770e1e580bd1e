package inbound_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
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
	"dooryard.example/dooryard/internal/inbound"
	"dooryard.example/dooryard/internal/server"
)

// TestDrainAcceptsConnectionsThatWait guards against callers whose new connections are reset when a box stops, also a
// full one.
func TestDrainAcceptsConnectionsThatWait(t *testing.T) {
	const connections = 50
	ended, end := context.WithCancel(t.Context())
	end()
	t.Run("room for all", func(t *testing.T) { testDrainAccepts(t.Context(), t, connections, connections) })
	t.Run("a full box", func(t *testing.T) { testDrainAccepts(t.Context(), t, connections, 1) })
	t.Run("a box that ran too late", func(t *testing.T) { testDrainAccepts(ended, t, connections, connections) })
}

func testDrainAccepts(ctx context.Context, t *testing.T, connections, maxConns int) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := inbound.NewListener(
		server.NewListener(inner, clock.New(), nil, nil), maxConns, exchange.NewMemory(1<<20), clock.New())
	for range connections {
		caller, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = caller.Close() })
	}
	accepted := []net.Conn{}
	all, ended := make(chan struct{}), make(chan struct{})
	accepting := sync.WaitGroup{}
	accepting.Go(func() {
		defer close(ended)
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			accepted = append(accepted, conn)
			if len(accepted) == connections {
				close(all)
			}
		}
	})
	accepting.Go(func() {
		select {
		case <-all:
		case <-ended:
		}
		for _, conn := range accepted {
			assert.NoError(t, conn.Close())
		}
	})
	require.NoError(t, listener.Drain(ctx))
	accepting.Wait()
	assert.Len(t, accepted, connections)
}

// scarceListener has descriptors for a few connections.
type scarceListener struct {
	conns       chan net.Conn
	descriptors atomic.Int32
}

func (l *scarceListener) Accept() (net.Conn, error) {
	if l.descriptors.Load() == 0 {
		return nil, syscall.EMFILE
	}
	conn, open := <-l.conns
	if !open {
		return nil, net.ErrClosed
	}
	l.descriptors.Add(-1)
	return &scarceConn{Conn: conn, listener: l}, nil
}

func (l *scarceListener) Close() error {
	close(l.conns)
	return nil
}

func (*scarceListener) Addr() net.Addr { return &net.TCPAddr{} }

type scarceConn struct {
	net.Conn
	listener *scarceListener
	once     sync.Once
}

func (c *scarceConn) Close() error {
	c.once.Do(func() { c.listener.descriptors.Add(1) })
	return c.Conn.Close()
}

// newScarceCallers serves callers with one descriptor. It returns a function that connects one, and one that sends a
// request.
func newScarceCallers(t *testing.T) (connect func() net.Conn, request func(caller net.Conn)) {
	t.Helper()
	scarce := &scarceListener{conns: make(chan net.Conn, 2)}
	scarce.descriptors.Store(1)
	listener := inbound.NewListener(
		server.NewListener(scarce, clock.New(), nil, func(error) {}), 10, exchange.NewMemory(1<<20), clock.New())
	s := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	inbound.Attach(s, clock.New().Monotonic)
	t.Cleanup(func() { assert.NoError(t, s.Close()) })
	go func() { _ = s.Serve(listener) }()
	connect = func() net.Conn {
		caller, box := net.Pipe()
		t.Cleanup(func() { _ = caller.Close() })
		require.NoError(t, caller.SetDeadline(time.Now().Add(time.Second)))
		scarce.conns <- box
		return caller
	}
	return connect, func(caller net.Conn) {
		t.Helper()
		_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(caller), nil)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
}

// TestExhaustedDescriptors guards against callers that are not served because others keep idle connections open.
func TestExhaustedDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		connect, request := newScarceCallers(t)
		request(connect())
		request(connect())
	})
}

// TestExhaustedDescriptorsBetweenRequests guards against requests that are lost because their connection is closed in
// favour of a new one.
func TestExhaustedDescriptorsBetweenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		connect, request := newScarceCallers(t)
		first := connect()
		request(first)
		second := connect()
		<-time.After(100 * time.Millisecond)
		request(first)
		request(second)
	})
}
