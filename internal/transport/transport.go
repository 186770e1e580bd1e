// Package transport provides the HTTP transports to upstreams and tracks for each
// attempt whether any byte of it may have been sent.
package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/guard"
	"dooryard.example/dooryard/internal/headcheck"
	"dooryard.example/dooryard/internal/socket"
)

// errAborted is returned by writes to a connection whose attempt was aborted or
// whose deadline for writes has passed.
var errAborted = errors.New("attempt aborted")

// errPanicked ends a connection whose read has panicked.
var errPanicked = errors.New("read panicked")

// Dial opens a connection. Tests replace it.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Settings configures the connections to upstreams.
type Settings struct {
	ConnectTimeoutMs   clock.Millis
	FirstByteTimeoutMs clock.Millis
	IdleTimeoutMs      clock.Millis
	// MaxIdlePerHost is the maximum number of idle connections to one upstream.
	MaxIdlePerHost int
	MaxHeaderBytes int64
	// Dial replaces the standard dialer if it is not nil.
	Dial Dial
	// TLS is used for https URLs.
	TLS *tls.Config
}

// New returns a transport whose attempts an AttemptTracker can track. It uses HTTP/1.1,
// where abandoning a response closes its connection, so that no later request can read
// the rest of that response. Its requests fail if the head of their response is malformed.
func New(settings Settings) http.RoundTripper {
	dial := settings.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: settings.ConnectTimeoutMs.Duration()}).DialContext
	}
	return checkedTransport{&http.Transport{
		DialContext:            trackedDial(dial),
		ResponseHeaderTimeout:  settings.FirstByteTimeoutMs.Duration(),
		IdleConnTimeout:        settings.IdleTimeoutMs.Duration(),
		MaxIdleConnsPerHost:    settings.MaxIdlePerHost,
		MaxResponseHeaderBytes: settings.MaxHeaderBytes,
		DisableCompression:     true,
		TLSClientConfig:        settings.TLS,
	}}
}

func trackedDial(dial Dial) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn}, nil
	}
}

// trackedConn counts bytes right before they are written to the connection, and
// rejects writes after its attempt was aborted.
type trackedConn struct {
	net.Conn
	// failure makes reads fail after a reset that a write was told.
	failure socket.WriteFailure

	mu      sync.Mutex
	started int64
	aborted bool
	// attempt tracks the request that uses the connection, or is nil.
	attempt *AttemptTracker
	// head checks the response to the latest request, once there is one.
	head       headcheck.Scanner
	checksHead bool
}

// Write implements net.Conn.
func (c *trackedConn) Write(data []byte) (int, error) {
	if err := c.startWrite(len(data)); err != nil {
		return 0, err
	}
	return c.failure.Write(c.Conn, data)
}

// Read implements net.Conn. It returns io.EOF only after an orderly end, and an error that wraps headcheck.ErrMalformed
// instead of bytes by which the head of a response is malformed.
func (c *trackedConn) Read(data []byte) (int, error) {
	n, err := 0, errPanicked
	// It is called by a goroutine of net/http.
	guard.Do("read of an upstream's connection", func() { n, err = c.read(data) })
	return n, err
}

func (c *trackedConn) read(data []byte) (int, error) {
	n, err := c.failure.Read(c.Conn, data)
	if malformed := c.scan(data[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

// startWrite counts bytes that are about to be written, unless the write is no
// longer allowed.
func (c *trackedConn) startWrite(count int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted || c.attempt.isExpired() {
		return errAborted
	}
	c.started += int64(count)
	return nil
}

func (c *trackedConn) startedBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started
}

func (c *trackedConn) setAttempt(attempt *AttemptTracker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempt = attempt
}

// abort closes the connection, and makes further writes fail. It does nothing if another attempt than the given one
// uses it.
func (c *trackedConn) abort(attempt *AttemptTracker) {
	c.mu.Lock()
	uses := c.attempt == attempt
	c.aborted = c.aborted || uses
	c.mu.Unlock()
	if uses {
		_ = c.Close()
	}
}

// AttemptTracker tracks the connections that one attempt uses.
type AttemptTracker struct {
	// Expired is called right before each write, which fails if Expired returns true.
	// It may be nil.
	Expired func() bool

	mu    sync.Mutex
	conns []attemptConn
	// untracked is set if the attempt got a connection that cannot be tracked.
	untracked bool
}

// attemptConn is a connection of an attempt with the number of bytes that were
// written to it before the attempt.
type attemptConn struct {
	conn   *trackedConn
	before int64
}

// Context returns a context whose requests are tracked by the watch.
func (w *AttemptTracker) Context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: w.gotConn})
}

func (w *AttemptTracker) gotConn(info httptrace.GotConnInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	inner := info.Conn
	if tlsConn, isTLS := inner.(*tls.Conn); isTLS {
		inner = tlsConn.NetConn()
	}
	conn, ok := inner.(*trackedConn)
	if !ok {
		w.untracked = true
		return
	}
	conn.setAttempt(w)
	w.conns = append(w.conns, attemptConn{conn: conn, before: conn.startedBytes()})
}

func (w *AttemptTracker) isExpired() bool { return w != nil && w.Expired != nil && w.Expired() }

// Connected reports whether the attempt got a connection.
func (w *AttemptTracker) Connected() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.untracked || len(w.conns) > 0
}

// WithSendDeadline returns a context whose requests write nothing at or after the given
// instant. The clock is read right before each write, so that a process that was
// paused after all other checks sends nothing late.
func WithSendDeadline(ctx context.Context, c clock.Clock, instant clock.Millis) context.Context {
	// The time of day may be set back meanwhile.
	untilMs := c.Monotonic() + instant - c.Now()
	watch := &AttemptTracker{Expired: func() bool { return c.Monotonic() >= untilMs }}
	return watch.Context(ctx)
}

// Abort aborts a failed attempt and reports whether it is certain that no byte of
// it was sent. After the call, no more bytes can be sent. A connection that another
// request uses after a complete response stays open.
func (w *AttemptTracker) Abort() (nothingSent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	nothingSent = !w.untracked
	for _, attempt := range w.conns {
		attempt.conn.abort(w)
		if attempt.conn.startedBytes() != attempt.before {
			nothingSent = false
		}
	}
	return nothingSent
}
