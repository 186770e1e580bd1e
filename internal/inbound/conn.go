// Package inbound holds the connections on which requests arrive: a listener that accepts a limited number of them, and
// closes those that their callers keep idle when it is full or stops.
package inbound

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/guard"
	"dooryard.example/dooryard/internal/upstream"
)

// States of a connection from a caller.
const (
	// connNew means that nothing was read from the connection.
	connNew int32 = iota
	connActive
	// connIdle means that the caller keeps the connection and no request has begun on it.
	connIdle
	// connEvicted means that the connection is closed without a request: the box stops, or another one takes its slot.
	connEvicted
)

// Conn is a connection from a caller.
type Conn struct {
	net.Conn
	listener *Listener
	release  func()
	// base ends when the server cancels the requests on the connection.
	base context.Context //nolint:containedctx // The server doesn't tell it to handlers.
	// unread is nil if writes wait for the caller.
	unread *exchange.Unread
	state  atomic.Int32
	// quietSinceMs is from when on the caller has sent nothing, while the connection is idle or lingers.
	quietSinceMs atomic.Int64
	// keptUnread is set once an eviction has found a request that waits to be read.
	keptUnread atomic.Bool
	// broken makes Close reset the connection. unframed is set while a response that ends with it is not complete; only
	// the handler uses it.
	broken   atomic.Bool
	unframed bool
	// reads is the number of calls of Read that have not returned.
	reads atomic.Int32
	// ended is set once the caller sends nothing more.
	ended atomic.Bool
	// responded is set once anything was written, and writes counts the calls of Write.
	responded atomic.Bool
	writes    atomic.Int64
	// lingering is set while the connection lingers.
	lingering atomic.Bool
	// committed is the number of attempts whose responses are awaited even if the caller seems to have left.
	committed atomic.Int32
	// unheardFromMs is from when on the caller is unheard if it gives no sign until then, or zero. acknowledgedAtEnd is
	// how much its machine had acknowledged when it ended its side.
	unheardFromMs     atomic.Int64
	acknowledgedAtEnd atomic.Uint64
	// sentSinceEnd is set once anything was sent after the caller has ended its side.
	sentSinceEnd atomic.Bool
	// waits reports whether bytes of the response wait to be read, or is nil.
	waits atomic.Pointer[func() bool]

	// writing is held while anything is written. It protects framing and torn.
	writing sync.Mutex
	framing framing
	// torn is set while bytes were sent ahead of a part of the response that was not written.
	torn bool

	// handling is set from the end of a request's head until the connection is idle or closed.
	handling atomic.Bool

	// raw is nil if the connection is no socket.
	raw syscall.RawConn
	// taking is held while bytes are taken from the socket, and while an eviction asks whether any wait.
	taking sync.Mutex
	taken  taken

	arrivals arrivals

	pending pending

	ahead readAhead
	// aheadBytes is how much ahead holds, and bodyBytes how much of the body of a request was not read.
	aheadBytes, bodyBytes atomic.Int64
	// headAhead is set while ahead may hold the whole head of a request.
	headAhead atomic.Bool

	mu sync.Mutex
	// readDeadline is the time after which reads fail, or zero, and readDeadlineSet is when it was set.
	readDeadline, readDeadlineSet time.Time
	// wake ends the wait of a held read. It is nil while none is held.
	wake context.CancelFunc
}

// errReadPanicked ends a connection.
var errReadPanicked = errors.New("panic while a connection was read")

// Read implements net.Conn. The server also reads in a goroutine of its own, in which a panic would end the process.
func (c *Conn) Read(data []byte) (n int, err error) {
	if !guard.Do("read of a connection", func() { n, err = c.readActive(data) }) {
		return 0, errReadPanicked
	}
	return n, err
}

// readActive reads from the connection. Data ends the idle state, so that a connection is not evicted once a request on
// it was read.
func (c *Conn) readActive(data []byte) (int, error) {
	c.reads.Add(1)
	defer c.reads.Add(-1)
	n, err := c.readRequest(data)
	if !areLineEnds(data[:n]) {
		c.arrivals.recordRead(c.listener.clock.Monotonic(), len(data), c.handling.Load(), c.listener.encrypted)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.ended.Store(true)
	}
	if n > 0 && !c.Activate() {
		return 0, net.ErrClosed
	}
	if errors.Is(err, io.EOF) && len(data) == readAheadBytes && c.listener.holdsEnds {
		return 0, c.holdEnd()
	}
	return n, err //nolint:wrapcheck // The server compares it.
}

// readSocket reads from the socket until the caller has used up its time.
func (c *Conn) readSocket(data []byte) (int, error) {
	n, err := c.take(data)
	for errors.Is(err, os.ErrDeadlineExceeded) && (c.extendRead() || len(data) == readAheadBytes && c.dropDeadline()) {
		n, err = c.take(data)
	}
	return n, err
}

// SetReadDeadline implements net.Conn. A deadline that has passed also ends a held read.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	c.readDeadline, c.readDeadlineSet = deadline, time.Now()
	if c.wake != nil && c.readPassed() {
		c.wake()
	}
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(deadline) //nolint:wrapcheck // The server compares it.
}

// readPassed reports whether the read deadline has passed. The mutex must be held.
func (c *Conn) readPassed() bool {
	return !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline)
}

// Activate records that a request has begun, and returns false if the connection was evicted.
func (c *Conn) Activate() bool {
	return c.state.CompareAndSwap(connIdle, connActive) || c.state.CompareAndSwap(connNew, connActive) ||
		c.state.Load() == connActive
}

// GivesWay reports whether new connections need the room of this one, and no request that was read waits on it. A
// response should then tell its caller to close the connection, so that it sends no request that is not read.
func (c *Conn) GivesWay() bool { return c.listener.needsRoom() && !c.IsAhead() }

// Unread returns the writing side of the connection, or nil if writes wait for the caller.
func (c *Conn) Unread() *exchange.Unread { return c.unread }

// Write implements net.Conn. It holds what the caller of a stream doesn't read.
func (c *Conn) Write(data []byte) (int, error) {
	c.responded.Store(true)
	c.writes.Add(1)
	defer c.sentSinceEnd.Store(true)
	c.writing.Lock()
	defer c.writing.Unlock()
	sent, fits := c.framing.follow(data)
	if !fits {
		c.reset()
		return 0, net.ErrClosed
	}
	n, err := c.write(data[sent:])
	c.pending.sentBytes.Add(int64(sent + n))
	if err != nil {
		c.framing = framing{stage: unknownPart}
		return sent + n, err
	}
	c.mend()
	return sent + n, nil
}

func (c *Conn) write(data []byte) (int, error) {
	if c.unread == nil {
		return c.Conn.Write(data) //nolint:wrapcheck // The server compares it.
	}
	return c.unread.Write(data) //nolint:wrapcheck // The server compares it.
}

// setIdle records that the caller keeps the connection without a request.
func (c *Conn) setIdle(now clock.Millis) {
	c.quietSinceMs.Store(int64(now))
	c.keptUnread.Store(false)
	c.arrivals.recordIdle()
	c.pending.sentBytes.Store(0)
	c.pending.handled.Store(false)
	c.state.Store(connIdle)
	c.listener.handleIdle(c)
}

// evict closes the connection if it is in a state and no request waits to be read, and reports whether it did.
func (c *Conn) evict(state int32) bool {
	if !c.endState(state) {
		return false
	}
	c.listener.evictions.Closed.Add(1)
	if s, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		// A close takes effect only once the blocked reader has returned. Its caller is told at once.
		_ = s.CloseWrite()
	}
	// The caller tries again on another connection, whatever the error.
	_ = c.closeNow()
	return true
}

// endState records that the connection is evicted if it is in a state and no request waits to be read.
func (c *Conn) endState(state int32) bool {
	c.taking.Lock()
	defer c.taking.Unlock()
	if c.state.Load() != state {
		return false
	}
	if c.aheadBytes.Load() > 0 || c.listener.kernel.HasUnread(c.Conn) {
		if c.keptUnread.CompareAndSwap(false, true) {
			c.listener.evictions.Unread.Add(1)
		}
		return false
	}
	return c.state.CompareAndSwap(state, connEvicted)
}

// Close closes the connection, at once or after it has lingered, or resets it if a response on it was broken off.
func (c *Conn) Close() error {
	c.reportCut()
	if !c.broken.Load() && c.linger() {
		return nil
	}
	return c.closeNow()
}

func (c *Conn) closeNow() error {
	defer c.release()
	c.reportCut()
	c.endHold()
	if c.broken.Load() {
		upstream.ResetOnClose(c.Conn)
	}
	return c.Conn.Close()
}

// reset resets the connection.
func (c *Conn) reset() {
	c.broken.Store(true)
	// The caller was given up, whatever the error.
	_ = c.Close()
}

// Attach makes a server tell the connections of a Listener what happens on them. The clock is monotonic.
func Attach(s *http.Server, monotonic func() clock.Millis) {
	s.Handler, s.ConnContext, s.ConnState = TrackRequests(s.Handler), WithConn, TrackIdle(monotonic)
}

// TrackIdle returns a hook for http.Server.ConnState that tells connections when they become idle, and when a request
// on them is handled.
func TrackIdle(monotonic func() clock.Millis) func(c net.Conn, state http.ConnState) {
	return func(conn net.Conn, state http.ConnState) {
		c, ok := belowTLS(conn).(*Conn)
		if !ok {
			return
		}
		c.handling.Store(state == http.StateActive)
		if state == http.StateIdle {
			c.setIdle(monotonic())
		}
	}
}

// belowTLS returns the connection that carries the records of a TLS connection, or the connection itself.
func belowTLS(conn net.Conn) net.Conn {
	if secured, ok := conn.(interface{ NetConn() net.Conn }); ok {
		return secured.NetConn()
	}
	return conn
}

type connKey struct{}

// WithConn is a hook for http.Server.ConnContext. It adds the connection to the contexts of its requests.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	below := belowTLS(c)
	if conn, ok := below.(*Conn); ok {
		conn.base = ctx
	}
	return context.WithValue(ctx, connKey{}, below)
}

// ResetOnClose makes the server reset the connection of a request, instead of closing it in order.
func ResetOnClose(ctx context.Context) {
	if c := ConnOf(ctx); c != nil {
		c.broken.Store(true)
	}
}

// ConnOf returns the connection of a request, or nil if it has none.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}
