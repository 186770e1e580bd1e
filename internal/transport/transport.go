// Package transport makes the HTTP clients towards upstreams and knows of each
// attempt whether any byte of it may have left.
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
)

// errSealed is what a write gets on a connection whose attempt was given up.
var errSealed = errors.New("attempt given up")

// Dial opens a connection; tests replace it.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Settings bound the connections to upstreams.
type Settings struct {
	ConnectTimeoutMs   clock.Millis
	FirstByteTimeoutMs clock.Millis
	IdleTimeoutMs      clock.Millis
	// MaxIdlePerHost is how many idle connections to one upstream are kept.
	MaxIdlePerHost int
	MaxHeaderBytes int64
	// Dial is the standard dialer when nil.
	Dial Dial
	// TLS is used for https URLs.
	TLS *tls.Config
}

// New returns a transport whose attempts Watch can follow. It speaks HTTP/1.1,
// where an answer that is given up closes its connection, so that no later
// request can meet the rest of it.
func New(settings Settings) *http.Transport {
	dial := settings.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: settings.ConnectTimeoutMs.Duration()}).DialContext
	}
	return &http.Transport{
		DialContext:            watchedDial(dial),
		ResponseHeaderTimeout:  settings.FirstByteTimeoutMs.Duration(),
		IdleConnTimeout:        settings.IdleTimeoutMs.Duration(),
		MaxIdleConnsPerHost:    settings.MaxIdlePerHost,
		MaxResponseHeaderBytes: settings.MaxHeaderBytes,
		DisableCompression:     true,
		TLSClientConfig:        settings.TLS,
	}
}

func watchedDial(dial Dial) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &watchedConn{Conn: conn}, nil
	}
}

// watchedConn counts what was handed to the connection, before it is written,
// and refuses writes once its attempt was given up.
type watchedConn struct {
	net.Conn

	mu     sync.Mutex
	handed int64
	sealed bool
	// late tells, if set, that nothing may be written any more.
	late func() bool
}

// Write implements net.Conn.
func (c *watchedConn) Write(data []byte) (int, error) {
	if err := c.hand(len(data)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

func (c *watchedConn) hand(count int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed || c.late != nil && c.late() {
		return errSealed
	}
	c.handed += int64(count)
	return nil
}

func (c *watchedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handed
}

func (c *watchedConn) setLate(late func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late = late
}

// seal refuses further writes and returns the final count.
func (c *watchedConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.handed
}

// Watch follows the connections that one attempt uses.
type Watch struct {
	// Late is looked at right before each write; when it returns true the write
	// fails. It may be nil.
	Late func() bool

	mu    sync.Mutex
	used  []usedConn
	blind bool
}

type usedConn struct {
	conn   *watchedConn
	before int64
}

// Context returns a context whose requests are followed by the watch.
func (w *Watch) Context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: w.gotConn})
}

func (w *Watch) gotConn(info httptrace.GotConnInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	below := info.Conn
	if secured, isTLS := below.(*tls.Conn); isTLS {
		below = secured.NetConn()
	}
	conn, ok := below.(*watchedConn)
	if !ok {
		w.blind = true
		return
	}
	conn.setLate(w.Late)
	w.used = append(w.used, usedConn{conn: conn, before: conn.count()})
}

// Connected reports whether the attempt got a connection.
func (w *Watch) Connected() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.blind || len(w.used) > 0
}

// SendBefore returns a context whose requests write nothing from an instant on.
// The clock is looked at right before each write, so that a process which was
// paused after all other checks sends nothing late.
func SendBefore(ctx context.Context, c clock.Clock, instant clock.Millis) context.Context {
	watch := &Watch{Late: func() bool { return c.Now() >= instant }}
	return watch.Context(ctx)
}

// GiveUp ends an attempt that failed and reports whether it is proved that no
// byte of it left. After the call none can leave any more. Only an attempt that
// got no answer may be given up.
func (w *Watch) GiveUp() (nothingSent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	nothingSent = !w.blind
	for _, used := range w.used {
		if used.conn.seal() != used.before {
			nothingSent = false
		}
		_ = used.conn.Close()
	}
	return nothingSent
}
