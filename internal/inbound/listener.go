package inbound

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/socket"
)

// Listener accepts at most a fixed number of connections at a time. When it is full, a new connection takes the
// place of one that a caller keeps idle.
type Listener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	// unlimited is closed once connections need no slot, because the listener accepts the last ones.
	unlimited     chan struct{}
	unlimitedOnce sync.Once
	// refused is closed once Accept accepts nothing more.
	refused     chan struct{}
	refusedOnce sync.Once
	close       func() error
	// responses limits what is held for callers that don't read.
	responses *exchange.Memory
	clock     clock.Clock
	kernel    *socket.Kernel
	evictions *Evictions
	// onCut is set by WithCuts, or nil.
	onCut func(c Cut)
	// holdsEnds is set by WithHeldEnds.
	holdsEnds bool
	// timeouts is set by WithTimeouts, or nil.
	timeouts func() Timeouts
	// encrypted is set by WithEncryption.
	encrypted bool

	// evicting is held while idle connections are closed in favour of others, so that each new one closes one.
	evicting sync.Mutex

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// waiting is set while a new connection waits and none was idle.
	waiting bool
	// exhausted is set while no connection can be accepted for want of descriptors or memory.
	exhausted bool
	// draining is set once idle connections are closed because the box stops.
	draining        bool
	drainingSinceMs clock.Millis
	// removed receives a value after a connection was closed.
	removed chan struct{}
	// drained is closed when the listener drains and has no connection left for the first time.
	drained     chan struct{}
	drainedOnce sync.Once
}

// Evictions counts the connections that were to be closed because their callers seemed to keep them without a request.
type Evictions struct {
	// Closed counts those that were closed.
	Closed atomic.Int64
	// Unread counts those that stayed open, as a request waited to be read.
	Unread atomic.Int64
}

// Option configures a Listener.
type Option func(*Listener)

// WithEvictions sets where evictions are counted.
func WithEvictions(e *Evictions) Option { return func(l *Listener) { l.evictions = e } }

// WithEncryption tells that connections carry TLS records, in which the end of a request can't be seen.
func WithEncryption() Option { return func(l *Listener) { l.encrypted = true } }

// NewListener returns a listener that accepts at most maxConns connections at a time. Responses limits what it holds
// for callers that don't read. If it is nil, writes wait for their callers, until the deadline that the server sets.
func NewListener(
	inner net.Listener, maxConns int, responses *exchange.Memory, c clock.Clock, options ...Option,
) *Listener {
	closed := make(chan struct{})
	l := &Listener{
		Listener: inner, slots: make(chan struct{}, maxConns), closed: closed, conns: map[*Conn]struct{}{},
		responses: responses, clock: c, kernel: socket.System(), evictions: &Evictions{},
		drained: make(chan struct{}), removed: make(chan struct{}, 1),
		refused: make(chan struct{}), unlimited: make(chan struct{}),
		close: sync.OnceValue(func() error {
			close(closed)
			return inner.Close()
		}),
	}
	for _, option := range options {
		option(l)
	}
	if socket, ok := inner.(interface{ OnExhausted(makeRoom func()) }); ok {
		socket.OnExhausted(l.handleExhausted)
	}
	return l
}

// Accept implements net.Listener. The connection is a *Conn. It is accepted before there is a slot for it, so
// that no idle connection is closed without need.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, l.refuse(err)
	}
	select {
	case l.slots <- struct{}{}:
		return l.add(conn, true), nil
	default:
	}
	l.makeRoom()
	select {
	case l.slots <- struct{}{}:
		return l.add(conn, true), nil
	case <-l.unlimited:
		return l.add(conn, false), nil
	case <-l.closed:
		// The listener's error matters, not that of a connection that was never served.
		_ = conn.Close()
		return nil, l.refuse(net.ErrClosed)
	}
}

// refuse records that no connection is accepted any more, and returns the error of Accept.
func (l *Listener) refuse(err error) error {
	l.refusedOnce.Do(func() { close(l.refused) })
	if errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("%w: %w", http.ErrServerClosed, err)
	}
	return err
}

func (l *Listener) add(accepted net.Conn, hasSlot bool) *Conn {
	conn := socket.Direct(accepted)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting, l.exhausted = false, false
	c := &Conn{Conn: conn, listener: l}
	c.arrivals.acceptedMs = l.clock.Monotonic()
	c.prepareTake()
	c.release = sync.OnceFunc(func() { l.remove(c, hasSlot) })
	if l.responses != nil {
		c.unread = exchange.NewUnread(conn, l.responses, l.clock, c.reset)
	}
	l.conns[c] = struct{}{}
	return c
}

func (l *Listener) remove(c *Conn, hasSlot bool) {
	l.mu.Lock()
	delete(l.conns, c)
	l.closeIfDrained()
	l.mu.Unlock()
	select {
	case l.removed <- struct{}{}:
	default:
	}
	if hasSlot {
		<-l.slots
	}
}

// makeRoom closes a connection that carries no request. If there is none, the next one that becomes idle is closed.
func (l *Listener) makeRoom() {
	l.evicting.Lock()
	defer l.evicting.Unlock()
	if !l.evictOne(0) {
		l.setWaiting(true)
	}
}

// minQuietMs is for how long a connection must have been idle or have lingered to be closed in favour of one that waits
// to be accepted: callers who send one request after the other begin the next one within that time, and others read
// their response.
const minQuietMs clock.Millis = 200

// handleExhausted closes a connection that has been quiet, since the process has no descriptor or memory for another
// one. Until a connection can be accepted, responses tell callers to close theirs.
func (l *Listener) handleExhausted() {
	l.evicting.Lock()
	defer l.evicting.Unlock()
	l.mu.Lock()
	l.exhausted = true
	l.mu.Unlock()
	l.evictOne(minQuietMs)
}

// evictOne closes the connection that has been idle for longest, or else one that lingers, if its caller sent nothing
// for a time at least. It reports whether there was any. A caller whose connection lingers may not have read its
// response yet. The mutex evicting must be held.
func (l *Listener) evictOne(quietMs clock.Millis) bool {
	sinceMs := int64(l.clock.Monotonic() - quietMs)
	return slices.ContainsFunc(l.idleConns(), func(c *Conn) bool {
		return c.quietSinceMs.Load() <= sinceMs && c.evict(connIdle)
	}) || l.endLingering(sinceMs)
}

// reserveDivisor is the divisor of the limit of a listener that gives the connections kept free for new ones. A small
// listener reserves none.
const reserveDivisor = 8

// needsRoom reports whether a new connection waits for another one to be closed, or soon might: one that is closed
// while its caller keeps it may have a request on its way.
func (l *Listener) needsRoom() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting || l.exhausted || len(l.slots) > cap(l.slots)-cap(l.slots)/reserveDivisor
}

// handleIdle closes a connection that has become idle in favour of a new connection that waits.
func (l *Listener) handleIdle(c *Conn) {
	l.evicting.Lock()
	defer l.evicting.Unlock()
	if l.isWaiting() && c.evict(connIdle) {
		l.setWaiting(false)
	}
}

// idleConns returns the idle connections, first the one that has been idle for longest.
func (l *Listener) idleConns() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	idle := []*Conn{}
	for c := range l.conns {
		if c.state.Load() == connIdle {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b *Conn) int { return cmp.Compare(a.quietSinceMs.Load(), b.quietSinceMs.Load()) })
	return idle
}

// isWaiting reports whether a new connection waits for a slot.
func (l *Listener) isWaiting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting
}

func (l *Listener) setWaiting(waiting bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = waiting
}

const (
	// keepIdleMs is how long a listener that drains keeps a connection without a request, since its caller may not know
	// that the next request belongs on another connection.
	keepIdleMs clock.Millis = 1000
	// drainPollMs is how often it tries to close connections that may be closed.
	drainPollMs clock.Millis = 20
)

// lastAcceptMs is for how long connections that wait are accepted at least. A process that got no processor until the
// time of its stop was over has accepted none.
const lastAcceptMs clock.Millis = 100

// awaitAccepted waits until no connection waits to be accepted or the context ends, but not before lastAcceptMs.
func (l *Listener) awaitAccepted(ctx context.Context) {
	socket, ok := l.Listener.(interface{ AwaitAccepted(ctx context.Context) })
	if !ok {
		return
	}
	least, end := l.clock.WithTimeout(context.WithoutCancel(ctx), lastAcceptMs)
	defer end()
	if ctx.Err() == nil {
		socket.AwaitAccepted(ctx)
	}
	if ctx.Err() != nil && least.Err() == nil {
		socket.AwaitAccepted(least)
	}
}

// Drain accepts the connections that wait, also beyond the limit, since the kernel would reset them. It closes the
// listener and waits until all connections are closed or the context ends. Unlike http.Server.Shutdown, it serves
// requests that arrive on open connections. It closes those that have no request for keepIdleMs, all of them once no
// other connection is left.
func (l *Listener) Drain(ctx context.Context) error {
	l.unlimitedOnce.Do(func() { close(l.unlimited) })
	l.awaitAccepted(ctx)
	err := l.Close()
	select {
	case <-l.refused:
	case <-ctx.Done():
		return err
	}
	l.startDraining()
	l.awaitDrained(ctx, l.closeAllIdle)
	return err
}

// CloseIdle closes connections that have no request, and those that will have none, until no connection is left or the
// context ends. The listener must be closed.
func (l *Listener) CloseIdle(ctx context.Context) {
	l.startDraining()
	l.awaitDrained(ctx, func() clock.Millis {
		l.closeIdle()
		return drainPollMs
	})
}

// HasRequests reports whether a request is processed or its response is being written.
func (l *Listener) HasRequests() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.handling.Load() && !c.lingering.Load() {
			return true
		}
	}
	return false
}

// awaitDrained waits until no connection is left or the context ends. It calls a function that returns when to call it
// again, and also does so after a connection was closed: a process with little processor time is not woken in vain.
func (l *Listener) awaitDrained(ctx context.Context, poll func() (next clock.Millis)) {
	for {
		passed := make(chan struct{})
		timer := l.clock.AfterFunc(poll(), func() { close(passed) })
		select {
		case <-l.drained:
			timer.Stop()
			return
		case <-ctx.Done():
			timer.Stop()
			return
		case <-l.removed:
			timer.Stop()
		case <-passed:
		}
	}
}

// closeAllIdle closes all connections once none has had a request for keepIdleMs. It returns when this may next be so,
// unless a connection is closed before.
func (l *Listener) closeAllIdle() (next clock.Millis) {
	if leftMs := l.busyLeftMs(); leftMs > 0 {
		return leftMs
	}
	l.closeIdle()
	return drainPollMs
}

// busyLeftMs returns how long it takes at least until no connection has had a request for keepIdleMs.
func (l *Listener) busyLeftMs() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Monotonic()
	lastMs := l.drainingSinceMs
	for c := range l.conns {
		switch c.state.Load() {
		case connNew:
		case connIdle:
			lastMs = max(lastMs, clock.Millis(c.quietSinceMs.Load()))
		default:
			return keepIdleMs
		}
	}
	return lastMs + keepIdleMs - now
}

// closeIdle closes the connections that have no request.
func (l *Listener) closeIdle() {
	l.mu.Lock()
	conns := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	for _, c := range conns {
		if !c.evict(connIdle) {
			c.evict(connNew)
		}
	}
}

func (l *Listener) startDraining() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.draining {
		l.draining = true
		l.drainingSinceMs = l.clock.Monotonic()
		l.closeIfDrained()
	}
}

// closeIfDrained closes drained if no connection is left. The mutex must be held. A connection that was accepted before
// the listener was closed may still be added afterwards.
func (l *Listener) closeIfDrained() {
	if l.draining && len(l.conns) == 0 {
		l.drainedOnce.Do(func() { close(l.drained) })
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error { return l.close() }
