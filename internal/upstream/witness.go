package upstream

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/guard"
	"dooryard.example/dooryard/internal/socket"
)

const (
	// maxWitnessMs is how long a witness connection is kept. Later, the upstream may close it because it is unused.
	maxWitnessMs clock.Millis = defaultIdleTimeoutMs
	// minWitnessMs is how long it must have been open: an upstream without room, or a proxy that can't reach it, may
	// accept a connection only to close it.
	minWitnessMs clock.Millis = 20
	// jointEndMs is how far apart connections are seen to end that the kernel closes for a process that is gone.
	jointEndMs clock.Millis = 50
	// staggerMs is the time between the openings of two connections. No upstream closes an unused one as early, and
	// one that does so after the same time for each closes two of them further apart than jointEndMs.
	staggerMs clock.Millis = 200
	// maxAloneMs is until when the first connection counts alone, since a process with little processor time opens the
	// second one late.
	maxAloneMs = 2 * staggerMs
)

// Witness shows whether the process of an upstream has gone when a response ends with its connection. It keeps two
// other connections open on which nothing is sent, for all such responses, each for maxWitnessMs, and then another one
// if some are under way: the kernel closes them with theirs. That they stay open proves little, since a proxy may have
// accepted them. They are closed once no response is under way, because a process that serves one connection after the
// other would wait for them. A Witness is safe for concurrent use.
type Witness struct {
	dial      func(ctx context.Context) (net.Conn, error)
	monotonic func() clock.Millis

	// ctx ends when the Witness is closed.
	ctx   context.Context
	close context.CancelFunc

	mu    sync.Mutex
	conns [2]witnessConn
	// underWay is the number of responses under way, and expected that of requests whose response may become one. The
	// latest of them began at begunMs.
	underWay, expected int
	begunMs            clock.Millis
	// aloneMs is the shortest time after which the upstream ended one connection alone, or 0.
	aloneMs clock.Millis
}

// witnessConn is one of the connections of a Witness, or a series of them.
type witnessConn struct {
	// stop ends the watch of a connection that is open or to be opened. It is nil if there is none.
	stop context.CancelFunc
	conn net.Conn
	// openMs is since when a connection is open, or 0.
	openMs clock.Millis
	// endedMs is when the upstream ended the latest one that it has ended, or 0. It was open since fromMs.
	endedMs, fromMs clock.Millis
	inOrder         bool
}

func newWitness(dial func(ctx context.Context) (net.Conn, error), monotonic func() clock.Millis) *Witness {
	ctx, cancel := context.WithCancel(context.Background())
	return &Witness{dial: dial, monotonic: monotonic, ctx: ctx, close: cancel}
}

// endsWith reports whether the upstream has ended a connection in order together with a response.
func (c *witnessConn) endsWith(endedMs clock.Millis) bool {
	return c.inOrder && c.endedMs-c.fromMs >= minWitnessMs && near(c.endedMs, endedMs)
}

// outlives reports whether a connection that was open at a time did not end then.
func (c *witnessConn) outlives(ms clock.Millis) bool {
	return c.openMs > 0 && c.openMs <= ms || c.fromMs <= ms && c.endedMs > ms+jointEndMs
}

// near reports whether two times are those of connections that have ended together.
func near(one, other clock.Millis) bool {
	return one > 0 && max(one, other)-min(one, other) <= jointEndMs
}

// Begin counts a response that ends with its connection, and opens connections unless they are open.
func (w *Witness) Begin() { w.open(&w.underWay) }

// Expect counts a request whose response may end with its connection, and opens connections unless they are open.
func (w *Witness) Expect() { w.open(&w.expected) }

func (w *Witness) open(count *int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*count++
	w.begunMs = w.monotonic()
	w.learn(w.begunMs)
	for i := range w.conns {
		c := &w.conns[i]
		if c.stop != nil || !w.isDue(c, w.begunMs) {
			continue
		}
		ctx := w.startLocked(c)
		guard.Go("witness of responses", func() { w.watch(ctx, c, clock.Millis(i)*staggerMs) })
	}
}

// Finish ends what Begin has begun. After the last response the connections are closed. For requests that wait others
// are opened, behind theirs.
func (w *Witness) Finish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.underWay--; w.underWay == 0 {
		w.stopLocked()
	}
}

// Unexpect ends what Expect has begun.
func (w *Witness) Unexpect() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.expected--; w.underWay == 0 {
		w.stopLocked()
	}
}

// startLocked returns the context of a watch.
func (w *Witness) startLocked(c *witnessConn) (ctx context.Context) {
	ctx, c.stop = context.WithCancel(w.ctx)
	return ctx
}

func (w *Witness) stopLocked() {
	for i := range w.conns {
		if stop := w.conns[i].stop; stop != nil {
			stop()
		}
	}
}

// ShowsGone reports whether the process has gone, if a response ended at about a monotonic time.
func (w *Witness) ShowsGone(endedMs clock.Millis) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	first, second := &w.conns[0], &w.conns[1]
	switch {
	case first.endsWith(endedMs) && second.endsWith(endedMs):
		return !near(first.fromMs, second.fromMs)
	case first.endsWith(endedMs):
		return first.endedMs-first.fromMs <= maxAloneMs && !second.outlives(first.endedMs)
	default:
		return false
	}
}

// isOpenSince reports whether a connection is open that was open at a monotonic time.
func (w *Witness) isOpenSince(ms clock.Millis) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		if c.openMs > 0 && c.openMs < ms {
			return true
		}
	}
	return false
}

// Close closes the connections. No other ones are opened.
func (w *Witness) Close() { w.close() }

// lifeMs returns how long a connection may be kept before the upstream closes it as unused.
func (w *Witness) lifeMs() clock.Millis {
	if w.aloneMs == 0 {
		return maxWitnessMs
	}
	return min(maxWitnessMs, w.aloneMs/2) //nolint:mnd // Half of it.
}

// isDue reports whether a connection is to be open.
func (w *Witness) isDue(c *witnessConn, now clock.Millis) bool {
	return w.ctx.Err() == nil && w.underWay+w.expected > 0 && w.lifeMs() > minWitnessMs && !near(c.endedMs, now)
}

// learn adjusts how long connections are kept, if the upstream has ended one of them alone, or too soon.
func (w *Witness) learn(now clock.Millis) {
	for i := range w.conns {
		c, other := &w.conns[i], &w.conns[1-i]
		if c.endedMs == 0 || near(c.endedMs, now) || near(c.endedMs, other.endedMs) && c.endedMs-c.fromMs >= minWitnessMs {
			continue
		}
		aloneMs := max(1, c.endedMs-c.fromMs)
		w.aloneMs = min(cmp.Or(w.aloneMs, aloneMs), aloneMs)
	}
}

// watch opens one connection after the other, the first one after a delay, until the upstream ends one or none is due.
func (w *Witness) watch(ctx context.Context, c *witnessConn, delayMs clock.Millis) {
	for ctx != nil {
		select {
		case <-ctx.Done():
		case <-time.After(delayMs.Duration()):
			for w.watchOnce(ctx, c) {
			}
		}
		ctx = w.endWatch(ctx, c)
	}
}

// endWatch ends a watch. It returns the context of another one if this one was stopped and a connection is due, or nil.
func (w *Witness) endWatch(ctx context.Context, c *witnessConn) context.Context {
	w.mu.Lock()
	defer w.mu.Unlock()
	stopped := ctx.Err() != nil
	c.stop()
	c.stop = nil
	if stopped && w.isDue(c, w.monotonic()) {
		return w.startLocked(c)
	}
	return nil
}

// watchOnce opens a connection and closes it once it ends. It reports whether another one is due.
func (w *Witness) watchOnce(ctx context.Context, c *witnessConn) bool {
	conn, err := w.dial(ctx)
	if err != nil {
		return false
	}
	openMs, until := w.add(c, conn)
	if openMs == 0 {
		_ = conn.Close()
		return false
	}
	err = awaitEnd(ctx, conn, until)
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.monotonic()
	c.openMs = 0
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return w.isDue(c, now)
	case ctx.Err() == nil:
		c.fromMs, c.endedMs, c.inOrder = openMs, now, errors.Is(err, io.EOF)
	}
	return false
}

// add adds a connection that has been opened, and returns when it was open and until when it may be kept. It returns 0
// if the upstream had ended the other one by then, which this process may not have noticed: the next process may have
// accepted this one.
func (w *Witness) add(c *witnessConn, conn net.Conn) (openMs clock.Millis, until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, other := range w.conns {
		if other.openMs > 0 && socket.System().State(other.conn).Ended {
			return 0, time.Time{}
		}
	}
	c.conn, c.openMs = conn, w.monotonic()
	return c.openMs, time.Now().Add(w.lifeMs().Duration())
}

// awaitEnd closes a connection on which nothing was sent once it ends, and returns the error with which it did: that of
// its deadline if it is open until then, or nil if the other side sends something, as some do before they close an
// unused connection.
func awaitEnd(ctx context.Context, c net.Conn, until time.Time) error {
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	if err := c.SetReadDeadline(until); err != nil {
		return err
	}
	var one [1]byte
	_, err := c.Read(one[:])
	return err
}
