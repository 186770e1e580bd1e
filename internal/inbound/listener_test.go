package inbound

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
)

// fixture is a listener on a real socket whose connections nobody reads unless the test does.
type fixture struct {
	t         *testing.T
	listener  *Listener
	evictions Evictions
	trackIdle func(c net.Conn, state http.ConnState)
}

func newFixture(t *testing.T, maxConns int) *fixture {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fixture{t: t}
	f.listener = NewListener(inner, maxConns, exchange.NewMemory(1<<20), clock.New(), WithEvictions(&f.evictions))
	f.trackIdle = TrackIdle(clock.New().Monotonic)
	t.Cleanup(func() { _ = f.listener.Close() })
	return f
}

// connect returns both ends of a connection.
func (f *fixture) connect() (caller net.Conn, conn *Conn) {
	f.t.Helper()
	caller = f.dial()
	accepted, err := f.listener.Accept()
	require.NoError(f.t, err)
	conn, ok := accepted.(*Conn)
	require.True(f.t, ok)
	return caller, conn
}

func (f *fixture) dial() net.Conn {
	f.t.Helper()
	caller, err := net.Dial("tcp", f.listener.Addr().String())
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = caller.Close() })
	return caller
}

// connectIdle returns both ends of a connection that its caller keeps idle.
func (f *fixture) connectIdle() (caller net.Conn, conn *Conn) {
	f.t.Helper()
	caller, conn = f.connect()
	f.trackIdle(conn, http.StateIdle)
	return caller, conn
}

const request = "GET / HTTP/1.1\r\n\r\n"

func send(t *testing.T, caller net.Conn) {
	t.Helper()
	_, err := io.WriteString(caller, request)
	require.NoError(t, err)
}

// assertReadable checks that a request which waits on a connection can be read.
func assertReadable(t *testing.T, conn net.Conn) {
	t.Helper()
	text := make([]byte, len(request))
	_, err := io.ReadFull(conn, text)
	require.NoError(t, err)
	assert.Equal(t, request, string(text))
}

func assertClosed(t *testing.T, caller net.Conn) {
	t.Helper()
	_, err := caller.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// TestEvictionLeavesUnreadRequests guards against a connection that is closed as idle while a request waits on it that
// the box had no processor time to read.
func TestEvictionLeavesUnreadRequests(t *testing.T) {
	for state, connect := range map[int32]func(f *fixture) (net.Conn, *Conn){
		connIdle: (*fixture).connectIdle, connNew: (*fixture).connect,
	} {
		f := newFixture(t, 1)
		caller, conn := connect(f)
		send(t, caller)
		assert.False(t, conn.evict(state))
		assert.False(t, conn.evict(state))
		assertReadable(t, conn)
		assert.EqualValues(t, 1, f.evictions.Unread.Load(), "connections left open")
		f.trackIdle(conn, http.StateIdle)
		assert.True(t, conn.evict(connIdle))
		assertClosed(t, caller)
		assert.EqualValues(t, 1, f.evictions.Closed.Load(), "connections closed")
	}
}

// TestFullListenerClosesOnlyIdleConnections guards against a full box that closes the connection that was idle for
// longest although a request waits on it.
func TestFullListenerClosesOnlyIdleConnections(t *testing.T) {
	f := newFixture(t, 2)
	asking, askingConn := f.connectIdle()
	silent, _ := f.connectIdle()
	send(t, asking)
	f.connect()
	assertReadable(t, askingConn)
	assertClosed(t, silent)
}

// TestConnectionAfterDrain guards against a process that panics since a connection is accepted when a stop is over.
func TestConnectionAfterDrain(t *testing.T) {
	inner := pipeListener{conns: make(chan net.Conn, 1)}
	l := NewListener(inner, 1, exchange.NewMemory(1<<20), clock.New())
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, l.Drain(ended))
	l.CloseIdle(ended)
	near, _ := net.Pipe()
	inner.conns <- pipeConn{near}
	conn, err := l.Accept()
	require.NoError(t, err)
	assert.NotPanics(t, func() { _ = conn.Close() })
}

// TestDrainWakesRarely guards against a box that needs its few slices of processor time to look in vain for connections
// without a request.
func TestDrainWakesRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system, readings := clock.New(), atomic.Int64{}
		monotonic := func() clock.Millis {
			readings.Add(1)
			return system.Monotonic()
		}
		inner := pipeListener{conns: make(chan net.Conn, 2)}
		l := NewListener(inner, 2, exchange.NewMemory(1<<20), clock.New(clock.WithMonotonic(monotonic)))
		conns := [2]*Conn{}
		for i := range conns {
			near, _ := net.Pipe()
			inner.conns <- pipeConn{near}
			accepted, err := l.Accept()
			require.NoError(t, err)
			conns[i], _ = accepted.(*Conn)
			require.True(t, conns[i].Activate())
		}
		require.ErrorIs(t, l.refuse(net.ErrClosed), http.ErrServerClosed)
		drained := make(chan error, 1)
		go func() { drained <- l.Drain(t.Context()) }()
		const seconds, readingsOfWake = 10, 5
		time.Sleep(seconds * time.Second)
		synctest.Wait()
		assert.LessOrEqual(t, readings.Load(), int64((seconds+1)*readingsOfWake), "a wake a second")
		conns[0].setIdle(system.Monotonic())
		time.Sleep(2 * keepIdleMs.Duration())
		synctest.Wait()
		assert.Equal(t, connIdle, conns[0].state.Load(), "another one has a request")
		require.NoError(t, conns[1].Close())
		synctest.Wait()
		assert.Equal(t, connEvicted, conns[0].state.Load(), "closed with the last request")
		require.NoError(t, <-drained)
	})
}
