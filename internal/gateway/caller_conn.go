package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/upstream"
)

// callerListener accepts at most a fixed number of connections at a time. When it is full, a new connection takes the
// place of one that a caller keeps idle.
type callerListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	close  func() error
	// responses limits what is held for callers that don't read.
	responses *exchange.Memory
	clock     clock.Clock

	mu    sync.Mutex
	conns map[*callerConn]struct{}
	// waiting is set while a new connection waits and none was idle.
	waiting bool
}

func newCallerListener(l net.Listener, maxConns int, responses *exchange.Memory, c clock.Clock) *callerListener {
	closed := make(chan struct{})
	return &callerListener{
		Listener: l, slots: make(chan struct{}, maxConns), closed: closed, conns: map[*callerConn]struct{}{},
		responses: responses, clock: c,
		close: sync.OnceValue(func() error {
			close(closed)
			return l.Close()
		}),
	}
}

// Accept implements net.Listener. The connection is a *callerConn. It is accepted before there is a slot for it, so
// that no idle connection is closed without need.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	select {
	case l.slots <- struct{}{}:
		return l.add(conn), nil
	default:
	}
	l.makeRoom()
	select {
	case l.slots <- struct{}{}:
		return l.add(conn), nil
	case <-l.closed:
		// The listener's error matters, not that of a connection that was never served.
		_ = conn.Close()
		return nil, net.ErrClosed
	}
}

func (l *callerListener) add(conn net.Conn) *callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = false
	c := &callerConn{Conn: conn, listener: l}
	c.release = sync.OnceFunc(func() { l.remove(c) })
	c.unread = exchange.NewUnread(conn, l.responses, l.clock, c.reset)
	l.conns[c] = struct{}{}
	return c
}

func (l *callerListener) remove(c *callerConn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	<-l.slots
}

// makeRoom closes the connection that has been idle for longest. If none is idle, the next one that becomes idle is
// closed.
func (l *callerListener) makeRoom() {
	for {
		longest := l.longestIdle()
		if longest == nil || longest.evict() {
			return
		}
	}
}

// longestIdle returns the connection that has been idle for longest. If it returns nil, a new connection counts as
// waiting.
func (l *callerListener) longestIdle() *callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var longest *callerConn
	for c := range l.conns {
		if c.state.Load() == connIdle && (longest == nil || c.idleSinceMs.Load() < longest.idleSinceMs.Load()) {
			longest = c
		}
	}
	l.waiting = longest == nil
	return longest
}

// takeWaiting reports whether a new connection waits for an idle one. It does so once for each.
func (l *callerListener) takeWaiting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	waiting := l.waiting
	l.waiting = false
	return waiting
}

// Close implements net.Listener.
func (l *callerListener) Close() error { return l.close() }

// States of a connection from a caller.
const (
	connActive int32 = iota
	// connIdle means that the caller keeps the connection and no request has begun on it.
	connIdle
	// connEvicted means that the connection is closed in favour of another one.
	connEvicted
)

// callerConn is a connection from a caller.
type callerConn struct {
	net.Conn
	listener    *callerListener
	release     func()
	unread      *exchange.Unread
	state       atomic.Int32
	idleSinceMs atomic.Int64
	// broken makes Close reset the connection.
	broken atomic.Bool
}

// Read implements net.Conn. Data ends the idle state, so that a connection is never evicted once a request on it was
// read.
func (c *callerConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 && !c.state.CompareAndSwap(connIdle, connActive) && c.state.Load() == connEvicted {
		return 0, net.ErrClosed
	}
	return n, err //nolint:wrapcheck // The server compares it.
}

// Write implements net.Conn. It holds what the caller of a stream doesn't read.
func (c *callerConn) Write(data []byte) (int, error) {
	return c.unread.Write(data) //nolint:wrapcheck // The server compares it.
}

// setIdle records that the caller keeps the connection without a request.
func (c *callerConn) setIdle(now clock.Millis) {
	c.idleSinceMs.Store(int64(now))
	c.state.Store(connIdle)
	if c.listener.takeWaiting() {
		c.evict()
	}
}

// evict closes the connection if it is idle, and reports whether it was.
func (c *callerConn) evict() bool {
	if !c.state.CompareAndSwap(connIdle, connEvicted) {
		return false
	}
	// The caller tries again on another connection, whatever the error.
	_ = c.Close()
	return true
}

// Close closes the connection, or resets it if a response on it was broken off.
func (c *callerConn) Close() error {
	defer c.release()
	if c.broken.Load() {
		upstream.ResetOnClose(c.Conn)
	}
	return c.Conn.Close()
}

// reset resets the connection.
func (c *callerConn) reset() {
	c.broken.Store(true)
	// The caller was given up, whatever the error.
	_ = c.Close()
}

// trackIdle returns a function that tells connections from callers when they become idle.
func trackIdle(monotonic func() clock.Millis) func(c net.Conn, state http.ConnState) {
	return func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*callerConn); ok && state == http.StateIdle {
			c.setIdle(monotonic())
		}
	}
}

type callerConnKey struct{}

// withCallerConn adds the connection to the contexts of its requests.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// resetCallerConn makes the server reset the connection of a request, instead of closing it in order.
func resetCallerConn(ctx context.Context) {
	if c := callerConnOf(ctx); c != nil {
		c.broken.Store(true)
	}
}

// callerConnOf returns the connection of a request, or nil if it has none.
func callerConnOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return c
}
