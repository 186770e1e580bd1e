// Package upstream sends opaque requests to upstreams over HTTP/1.1, one at a time on each
// connection. For each failed request it reports whether any byte of it may have been sent. The
// package never retries a request.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"dooryard.example/dooryard/internal/clock"
)

// Errors of an attempt, in addition to those of the connection.
var (
	// ErrUnreachable means that no connection could be opened, so nothing was sent.
	ErrUnreachable = errors.New("upstream unreachable")
	// ErrNotSent means that no byte of the request was written.
	ErrNotSent = errors.New("request not sent")
	// ErrBroken means that the connection broke after a part of the request may have been sent and
	// before the complete response was received.
	ErrBroken = errors.New("connection broke")
	// ErrResponseMismatch means that only responses to other requests were received.
	ErrResponseMismatch = errors.New("response belongs to another request")
)

// NothingSent reports whether an error of Do proves that no byte of the request reached the
// upstream.
func NothingSent(err error) bool {
	return errors.Is(err, ErrUnreachable) || errors.Is(err, ErrNotSent)
}

// Timeouts and limits of a client.
const (
	// connectTimeoutMs is the timeout for opening a connection. It lasts about fifty round trips
	// between failure domains, and is too short for callers to notice.
	connectTimeoutMs clock.Millis = 200
	// unackedTimeoutMs is how long sent bytes, or keep-alive probes, may remain unacknowledged. A sound
	// upstream may be silent for a second or so.
	unackedTimeoutMs = 2500
	// defaultIdleTimeoutMs is how long an idle connection is kept if the upstream announces no
	// timeout.
	defaultIdleTimeoutMs = 4000
	// idleMarginMs is subtracted from the announced timeout, because a request must arrive before
	// the upstream's own timer expires.
	idleMarginMs = 300
	// maxIdleConns is the maximum number of idle connections to one upstream.
	maxIdleConns = 16
	// maxMismatched is the maximum number of responses to other requests that are skipped.
	maxMismatched = 2
	// maxMismatchedBytes is the maximum body size of a skipped response.
	maxMismatchedBytes = 1 << 20
)

// Dial opens a connection. Tests replace it.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client manages the connections to one upstream. It is safe for concurrent use.
type Client struct {
	address   string
	monotonic func() clock.Millis
	dial      Dial
	witness   *Witness

	mu   sync.Mutex
	idle []*conn
	// busy are the connections that carry a request.
	busy   map[*conn]struct{}
	closed bool
	// brokenMs is the monotonic time at which the upstream last broke off a response, or closed a new connection
	// without one, or 0.
	brokenMs clock.Millis
	// dials are the outcomes of the latest dials.
	dials  Dials
	onDial func()
}

// Option configures a Client.
type Option func(*Client)

// WithDial replaces the function that opens connections.
func WithDial(dial Dial) Option { return func(c *Client) { c.dial = dial } }

// WithUnreadBytes limits what the kernel holds of a connection that was not read; otherwise it may hold megabytes. It
// replaces the function that opens connections.
func WithUnreadBytes(unreadBytes int) Option {
	return WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialBuffered(ctx, network, address, unreadBytes)
	})
}

// WithOnDial sets a function that is called for each connection that was opened.
func WithOnDial(call func()) Option { return func(c *Client) { c.onDial = call } }

// New returns a client for the upstream at an address.
func New(address string, monotonic func() clock.Millis, options ...Option) *Client {
	c := &Client{address: address, monotonic: monotonic, dial: systemDial, onDial: func() {}, busy: map[*conn]struct{}{}}
	for _, option := range options {
		option(c)
	}
	c.witness = newWitness(c.dialWitness, monotonic)
	return c
}

// dialWitness opens a connection on which nothing is sent. Its outcome says little of the upstream.
func (c *Client) dialWitness(ctx context.Context) (net.Conn, error) {
	raw, err := dialWithin(ctx, c.dial, c.address, connectTimeoutMs)
	if err == nil {
		c.onDial()
	}
	return raw, err
}

// Witness shows whether the upstream's process has gone, by responses for which it was asked.
func (c *Client) Witness() *Witness { return c.witness }

// Address returns the address of the upstream.
func (c *Client) Address() string { return c.address }

// Close closes the connections that carry no request. Requests in flight finish on their own connections.
func (c *Client) Close() {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.closed = true
	c.mu.Unlock()
	closeAll(idle)
	c.witness.Close()
}

// CloseIdle closes the idle connections, for example when they are probably dead.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.mu.Unlock()
	closeAll(idle)
}

// CloseExpired closes the idle connections that the upstream is about to close.
func (c *Client) CloseExpired() {
	now := c.monotonic()
	c.mu.Lock()
	remaining := c.idle[:0]
	var expired []*conn
	for _, cn := range c.idle {
		if now < cn.idleUntilMs {
			remaining = append(remaining, cn)
			continue
		}
		expired = append(expired, cn)
	}
	c.idle = remaining
	c.mu.Unlock()
	closeAll(expired)
}

func closeAll(conns []*conn) {
	for _, cn := range conns {
		// The error is ignored because nothing is in flight on an idle connection.
		_ = cn.Close()
	}
}

// popIdle returns the usable idle connection that was added last, or nil.
func (c *Client) popIdle() *conn {
	for {
		c.mu.Lock()
		if len(c.idle) == 0 {
			c.mu.Unlock()
			return nil
		}
		last := len(c.idle) - 1
		cn := c.idle[last]
		c.idle = c.idle[:last]
		c.mu.Unlock()
		if c.monotonic() < cn.idleUntilMs && cn.reusable() {
			return cn
		}
		_ = cn.Close()
	}
}

// putIdle keeps a connection for the next request after a response.
func (c *Client) putIdle(cn *conn, header http.Header) {
	timeout, announced := keepAliveTimeout(header)
	if !announced {
		timeout = defaultIdleTimeoutMs + idleMarginMs
	}
	c.keepIdle(cn, timeout-idleMarginMs)
}

// putUnused keeps a connection that was not used, without extending its idle timeout.
func (c *Client) putUnused(cn *conn) {
	if cn.idleUntilMs == 0 {
		c.keepIdle(cn, defaultIdleTimeoutMs)
		return
	}
	c.keepIdle(cn, cn.idleUntilMs-c.monotonic())
}

// keepIdle adds a connection to the idle connections for the given duration. It closes the connection
// instead if the client is closed, the duration has passed or there are maxIdleConns already.
func (c *Client) keepIdle(cn *conn, timeout clock.Millis) {
	cn.idleUntilMs = c.monotonic() + timeout
	c.mu.Lock()
	keepIdle := !c.closed && timeout > 0 && len(c.idle) < maxIdleConns
	if keepIdle {
		c.idle = append(c.idle, cn)
	}
	c.mu.Unlock()
	if !keepIdle {
		_ = cn.Close()
	}
}

// newConn returns a connection that has just been opened.
func (c *Client) newConn(raw net.Conn) *conn {
	cn := newConn(raw)
	cn.openedMs = c.monotonic()
	return cn
}

// KeepsConnection reports whether a connection is open that was opened before a monotonic time. Its process runs on,
// since the kernel closes all connections of a process that is gone.
func (c *Client) KeepsConnection(ctx context.Context, beforeMs clock.Millis) bool {
	for cn := c.takeOlder(beforeMs); cn != nil; cn = c.takeOlder(beforeMs) {
		if cn.staysOpen(ctx, time.Millisecond) {
			c.putUnused(cn)
			return true
		}
		// Nothing is in flight on it.
		_ = cn.Close()
	}
	return slices.ContainsFunc(c.busyOlder(beforeMs), (*conn).staysInUse)
}

// busyOlder returns the connections in use that were opened before a monotonic time.
func (c *Client) busyOlder(beforeMs clock.Millis) (older []*conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for cn := range c.busy {
		if cn.openedMs < beforeMs {
			older = append(older, cn)
		}
	}
	return older
}

// HasBroken reports whether the upstream has broken off a response since a monotonic time.
func (c *Client) HasBroken(sinceMs clock.Millis) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.brokenMs > 0 && c.brokenMs >= sinceMs
}

// BrokeWith reports whether the upstream has broken off a response since a monotonic time, which may have to do with
// the end of another one. If the Witness shows that a process has run on since then, only a break with that end counts:
// the process may be a proxy, or one of several.
func (c *Client) BrokeWith(sinceMs, endedMs clock.Millis) bool {
	c.mu.Lock()
	brokenMs := c.brokenMs
	c.mu.Unlock()
	return c.HasBroken(sinceMs) && (near(brokenMs, endedMs) || !c.witness.isOpenSince(brokenMs))
}

// recordBroken records that the upstream has broken off a response.
func (c *Client) recordBroken() {
	now := c.monotonic()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.brokenMs = now
}

// setBusy records whether a connection carries a request.
func (c *Client) setBusy(cn *conn, busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if busy {
		c.busy[cn] = struct{}{}
		return
	}
	delete(c.busy, cn)
}

// takeOlder takes an idle connection that was opened before a monotonic time, or returns nil.
func (c *Client) takeOlder(beforeMs clock.Millis) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.idle, func(cn *conn) bool { return cn.openedMs < beforeMs })
	if i < 0 {
		return nil
	}
	cn := c.idle[i]
	c.idle = slices.Delete(c.idle, i, i+1)
	return cn
}

func (c *Client) connect(ctx context.Context) (*conn, error) {
	if cn := c.popIdle(); cn != nil {
		return cn, nil
	}
	raw, err := c.dialUpstream(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return c.newConn(raw), nil
}

// Dials are the monotonic times of the latest dials to an upstream that opened a connection and that
// failed, or 0 if there was none. Those of HostReachable and ProbeLiveness don't count if they opened one, since
// that may not stay open.
type Dials struct {
	OpenedMs clock.Millis
	FailedMs clock.Millis
	// Unresponsive is set if the latest failed dial got no response from the host.
	Unresponsive bool
}

// Failing reports whether the latest dial failed.
func (d Dials) Failing() bool { return d.FailedMs > d.OpenedMs }

// Dials returns the outcomes of the latest dials.
func (c *Client) Dials() Dials {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dials
}

// dialUpstream opens a connection and records the outcome, unless the caller gave up.
func (c *Client) dialUpstream(ctx context.Context) (net.Conn, error) {
	raw, err := dialWithin(ctx, c.dial, c.address, connectTimeoutMs)
	c.recordDial(err)
	if err == nil {
		c.onDial()
	}
	return raw, err
}

func (c *Client) recordDial(err error) {
	now := c.monotonic()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.dials.OpenedMs = now
	case !errors.Is(err, context.Canceled):
		// A failure within the same millisecond is later than the connection that was opened.
		c.dials.FailedMs = max(now, c.dials.OpenedMs+1)
		c.dials.Unresponsive = noResponse(err)
	}
}

// HostReachableTimeoutMs is how long HostReachable waits for a connection, about thirty round trips
// between failure domains.
const HostReachableTimeoutMs clock.Millis = 100

// HostReachable reports whether the upstream's host responds. If a connection opens, it is kept for
// the next request. A refused connection also shows that the host is up.
func (c *Client) HostReachable(ctx context.Context) bool {
	raw, err := dialWithin(ctx, c.dial, c.address, HostReachableTimeoutMs)
	if err != nil {
		c.recordDial(err)
		return !noResponse(err)
	}
	c.onDial()
	c.keepIdle(c.newConn(raw), defaultIdleTimeoutMs)
	return true
}

// Liveness is the state of an upstream's process as seen by a connection attempt.
type Liveness int

// States of an upstream's process.
const (
	// Alive means that the process accepts connections.
	Alive Liveness = iota
	// Dead means that the host is up and refuses connections.
	Dead
	// Unresponsive means that the connection attempt failed in any other way, such as by a timeout.
	Unresponsive
)

// ProbeLiveness determines whether the upstream's process is running. It always opens a connection,
// because idle ones look usable after the upstream's host lost power. If the connection opens, it is
// kept for the next request.
func (c *Client) ProbeLiveness(ctx context.Context) Liveness {
	raw, found := ProbeAddress(ctx, c.dial, c.address)
	if raw != nil {
		c.onDial()
		c.keepIdle(c.newConn(raw), defaultIdleTimeoutMs)
	}
	return found
}

// ProbeAddress determines whether a process accepts connections at an address. It returns the connection
// that it opened, or nil.
func ProbeAddress(ctx context.Context, dial Dial, address string) (net.Conn, Liveness) {
	raw, err := dialWithin(ctx, dial, address, HostReachableTimeoutMs)
	switch {
	case errors.Is(err, unix.ECONNREFUSED):
		return nil, Dead
	case err != nil:
		return nil, Unresponsive
	default:
		return raw, Alive
	}
}

// probeSettleMs is how long a probed connection must stay open: long enough for a proxy to find out that it can't
// reach the upstream.
const probeSettleMs = 80

// errNotKept means that a connection was closed as soon as it was open.
var errNotKept = errors.New("connection was closed as soon as it was open")

// ProbeReachable opens a connection and records whether it opened and stayed open for a moment. A proxy, or the
// kernel of a host whose process can't be reached, may accept connections only to reset them. If the connection
// stays open, it is kept for the next request. If the context ends before that is known, nothing is recorded.
func (c *Client) ProbeReachable(ctx context.Context) {
	raw, err := dialWithin(ctx, c.dial, c.address, HostReachableTimeoutMs)
	if err != nil {
		c.recordDial(err)
		return
	}
	c.onDial()
	cn := c.newConn(raw)
	switch {
	case cn.staysOpen(ctx, probeSettleMs*time.Millisecond):
		c.recordDial(nil)
		c.keepIdle(cn, defaultIdleTimeoutMs)
	case ctx.Err() == nil:
		c.recordDial(errNotKept)
		_ = cn.Close()
	}
}

// noResponse reports whether a dial error means that the host did not respond.
func noResponse(err error) bool {
	var netErr net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout() ||
		errors.Is(err, unix.EHOSTUNREACH) || errors.Is(err, unix.ENETUNREACH)
}

// Do sends a request and returns the header of its response. The context covers the whole exchange
// including the response body; when it is done, the connection is closed. The caller must close the
// response.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	cn, err := c.connect(ctx)
	if err != nil {
		return nil, err
	}
	if err := r.beforeSend(); err != nil {
		c.putUnused(cn)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if r.OnSend != nil {
		r.OnSend(cn.hasUnread)
	}
	c.setBusy(cn, true)
	rt := &roundTrip{client: c, conn: cn, request: r}
	rt.stopAfterFunc = context.AfterFunc(ctx, cn.abort)
	startMs := c.monotonic()
	answer, err := rt.run()
	if err != nil {
		// An upstream resets a connection that it has no room for, and closes an idle one.
		if cn.idleUntilMs == 0 && errors.Is(err, io.ErrUnexpectedEOF) {
			c.recordBroken()
		}
		if cn.idleUntilMs == 0 && ctx.Err() == nil && c.monotonic()-startMs < HostReachableTimeoutMs {
			c.recordDial(errNotKept)
		}
		rt.abort()
		return nil, err
	}
	return answer, nil
}

// discardBody reads and discards the rest of the body of a skipped response.
func discardBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxMismatchedBytes+1))
	if err == nil && n > maxMismatchedBytes {
		return ErrResponseMismatch
	}
	return err
}
