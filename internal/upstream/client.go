// Package upstream sends opaque requests to upstreams over HTTP/1.1, one at a
// time on a connection, and knows of each failed one whether any byte of it may
// have left. Nothing is ever sent twice by this package.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"dooryard.example/dooryard/internal/clock"
)

// Errors of an attempt, beside those of the connection.
var (
	// ErrUnreachable means that no connection opened: nothing was sent.
	ErrUnreachable = errors.New("upstream unreachable")
	// ErrNotSent means that nothing of the request was written.
	ErrNotSent = errors.New("request not sent")
	// ErrBroken means that the connection broke after something of the request
	// may have left and before a whole answer came.
	ErrBroken = errors.New("connection broke")
	// ErrForeignAnswer means that only answers to other requests came.
	ErrForeignAnswer = errors.New("answer belongs to another request")
)

// NothingSent reports whether an error of Do proves that no byte of the request
// reached the upstream.
func NothingSent(err error) bool {
	return errors.Is(err, ErrUnreachable) || errors.Is(err, ErrNotSent)
}

// Defaults of the settings.
const (
	// defaultConnectMs is fifty times a round trip between failure domains, and
	// less than what callers notice.
	defaultConnectMs = 200
	// defaultUnackedMs is how long sent bytes may stay without an
	// acknowledgement: long enough for two lost packets in a row.
	defaultUnackedMs = 700
	// defaultIdleMs is how long an idle connection is kept when the upstream
	// promises nothing.
	defaultIdleMs = 4000
	// idleMarginMs is taken off the upstream's promise: a request must arrive
	// before the upstream's own timer ends.
	idleMarginMs = 300
	// maxIdle is how many idle connections are kept to one upstream.
	maxIdle = 16
	// maxForeign is how many answers to other requests are passed over.
	maxForeign = 2
	// maxForeignBytes is the longest of those.
	maxForeignBytes = 1 << 20
)

// Dial opens a connection; tests replace it.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client keeps the connections to one upstream. It is safe for concurrent use.
type Client struct {
	address string
	steady  func() clock.Millis
	dial    Dial

	mu     sync.Mutex
	idle   []*conn
	closed bool
	onDial func()
}

// Option changes a Client under construction.
type Option func(*Client)

// WithDial replaces the opening of connections.
func WithDial(dial Dial) Option { return func(c *Client) { c.dial = dial } }

// WithOnDial sets a function that is called for each connection that opened.
func WithOnDial(call func()) Option { return func(c *Client) { c.onDial = call } }

// New returns a client of the upstream at an address.
func New(address string, steady func() clock.Millis, options ...Option) *Client {
	c := &Client{address: address, steady: steady, dial: systemDial, onDial: func() {}}
	for _, option := range options {
		option(c)
	}
	return c
}

// systemDial opens connections that end by themselves when the other side stops
// to acknowledge: a box without power or behind a cut says nothing.
func systemDial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: defaultConnectMs * time.Millisecond,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
		},
		Control: setUserTimeout,
	}
	return dialer.DialContext(ctx, network, address)
}

// Close ends the idle connections; running requests finish on theirs.
func (c *Client) Close() {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.closed = true
	c.mu.Unlock()
	closeAll(idle)
}

// CloseIdle ends the idle connections, as when they are likely dead.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.mu.Unlock()
	closeAll(idle)
}

// CloseExpired ends idle connections that the upstream is about to close.
func (c *Client) CloseExpired() {
	now := c.steady()
	c.mu.Lock()
	kept := c.idle[:0]
	var expired []*conn
	for _, one := range c.idle {
		if now < one.idleUntilMs {
			kept = append(kept, one)
			continue
		}
		expired = append(expired, one)
	}
	c.idle = kept
	c.mu.Unlock()
	closeAll(expired)
}

func closeAll(conns []*conn) {
	for _, one := range conns {
		// Nothing is in flight on an idle connection.
		_ = one.Close()
	}
}

// take returns a usable idle connection, newest first, or nil.
func (c *Client) take() *conn {
	for {
		c.mu.Lock()
		if len(c.idle) == 0 {
			c.mu.Unlock()
			return nil
		}
		last := len(c.idle) - 1
		one := c.idle[last]
		c.idle = c.idle[:last]
		c.mu.Unlock()
		if c.steady() < one.idleUntilMs && one.clean() {
			return one
		}
		_ = one.Close()
	}
}

// give keeps a connection for the next request.
func (c *Client) give(one *conn, header http.Header) {
	span, promised := idleSpan(header)
	if !promised {
		span = defaultIdleMs + idleMarginMs
	}
	c.keep(one, span-idleMarginMs)
}

// giveBack keeps a connection that was not used as long as it would have been kept.
func (c *Client) giveBack(one *conn) {
	if one.idleUntilMs == 0 {
		c.keep(one, defaultIdleMs)
		return
	}
	c.keep(one, one.idleUntilMs-c.steady())
}

// keep keeps a connection for a span.
func (c *Client) keep(one *conn, span clock.Millis) {
	one.idleUntilMs = c.steady() + span
	c.mu.Lock()
	keep := !c.closed && span > 0 && len(c.idle) < maxIdle
	if keep {
		c.idle = append(c.idle, one)
	}
	c.mu.Unlock()
	if !keep {
		_ = one.Close()
	}
}

func (c *Client) connect(ctx context.Context) (*conn, error) {
	if one := c.take(); one != nil {
		return one, nil
	}
	raw, err := c.dial(ctx, "tcp", c.address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	c.onDial()
	return newConn(raw), nil
}

// ReachMs is how long Reach waits for a connection: some thirty round trips between
// failure domains.
const ReachMs clock.Millis = 100

// Reach reports whether the upstream's host answers. A connection that opens is kept for
// the next request; one that is refused shows that the host is there.
func (c *Client) Reach(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, ReachMs.Duration())
	defer cancel()
	raw, err := c.dial(ctx, "tcp", c.address)
	if err != nil {
		return !silence(err)
	}
	c.onDial()
	c.keep(newConn(raw), defaultIdleMs)
	return true
}

// Liveness is what a connection shows of an upstream's process.
type Liveness int

// Findings on an upstream's process.
const (
	// Alive takes connections.
	Alive Liveness = iota
	// Ended has a host that refuses them.
	Ended
	// Silent says nothing.
	Silent
)

// Liveness finds out whether the upstream's process is there. A connection that opens is kept
// for the next request, and none is opened while an idle one is well.
func (c *Client) Liveness(ctx context.Context) Liveness {
	if one := c.take(); one != nil {
		c.giveBack(one)
		return Alive
	}
	ctx, cancel := context.WithTimeout(ctx, ReachMs.Duration())
	defer cancel()
	raw, err := c.dial(ctx, "tcp", c.address)
	switch {
	case errors.Is(err, unix.ECONNREFUSED):
		return Ended
	case err != nil:
		return Silent
	}
	c.onDial()
	c.keep(newConn(raw), defaultIdleMs)
	return Alive
}

// silence reports whether an error of a dial is that nobody answered.
func silence(err error) bool {
	var netErr net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout() ||
		errors.Is(err, unix.EHOSTUNREACH) || errors.Is(err, unix.ENETUNREACH)
}

// Do sends a request and returns the head of its answer. The context bounds the
// whole, the answer's body included; when it ends, the connection closes. The
// caller closes the answer.
func (c *Client) Do(ctx context.Context, r *Request) (*Answer, error) {
	one, err := c.connect(ctx)
	if err != nil {
		return nil, err
	}
	if err := r.maySend(); err != nil {
		c.giveBack(one)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	x := &flight{client: c, conn: one, request: r}
	x.unwatch = context.AfterFunc(ctx, func() { _ = one.Close() })
	answer, err := x.run()
	if err != nil {
		x.drop()
		return nil, err
	}
	return answer, nil
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged.
func setUserTimeout(_, _ string, raw rawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, defaultUnackedMs)
	})
	return errors.Join(err, setErr)
}

// drain reads the rest of a body that nobody wants.
func drain(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxForeignBytes+1))
	if err == nil && n > maxForeignBytes {
		return ErrForeignAnswer
	}
	return err
}
