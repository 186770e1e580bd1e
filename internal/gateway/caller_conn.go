package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"dooryard.example/dooryard/internal/upstream"
)

// callerListener accepts at most a fixed number of connections at a time.
type callerListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	close  func() error
}

func newCallerListener(l net.Listener, maxConns int) *callerListener {
	closed := make(chan struct{})
	return &callerListener{
		Listener: l, slots: make(chan struct{}, maxConns), closed: closed,
		close: sync.OnceValue(func() error {
			close(closed)
			return l.Close()
		}),
	}
}

// Accept implements net.Listener. The connection is a *callerConn.
func (l *callerListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &callerConn{Conn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// Close implements net.Listener.
func (l *callerListener) Close() error { return l.close() }

// callerConn is a connection from a caller.
type callerConn struct {
	net.Conn
	release func()
	// broken makes Close reset the connection.
	broken atomic.Bool
}

// Close closes the connection, or resets it if a response on it was broken off.
func (c *callerConn) Close() error {
	defer c.release()
	if c.broken.Load() {
		upstream.ResetOnClose(c.Conn)
	}
	return c.Conn.Close()
}

type callerConnKey struct{}

// withCallerConn adds the connection to the contexts of its requests.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// resetCallerConn makes the server reset the connection of a request, instead of closing it in order.
func resetCallerConn(ctx context.Context) {
	if c, ok := ctx.Value(callerConnKey{}).(*callerConn); ok {
		c.broken.Store(true)
	}
}
