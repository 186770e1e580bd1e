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
)

const (
	// maxWitnessMs is how long a witness connection is kept. Later, the upstream may close it because it is unused.
	maxWitnessMs clock.Millis = defaultIdleTimeoutMs
	// minWitnessMs is how long it must have been open: an upstream without room, or a proxy that can't reach it, may
	// accept a connection only to close it.
	minWitnessMs clock.Millis = 20
	// jointEndMs is how far apart connections are seen to end that the kernel closes for a process that is gone.
	jointEndMs clock.Millis = 50
)

// Witness shows whether the process of an upstream has gone when a response ends with its connection. It keeps another
// connection open on which nothing is sent, one for all such responses, for maxWitnessMs, and then another one if some
// are under way: the kernel closes it with theirs. That it stays open proves little, since a proxy may have accepted
// it. A Witness is safe for concurrent use.
type Witness struct {
	dial      func(ctx context.Context) (net.Conn, error)
	monotonic func() clock.Millis

	mu sync.Mutex
	// watching is set while a connection is open or being opened.
	watching bool
	conn     net.Conn
	closed   bool
	// openMs is since when a connection is open, or 0.
	openMs clock.Millis
	// underWay is the number of responses under way. The latest began at begunMs, and the latest that has ended in order
	// did so at endedMs.
	underWay         int
	begunMs, endedMs clock.Millis
	// last is the end of the latest connection that the upstream has ended.
	last witnessEnd
	// aloneMs is the shortest time after which the upstream ended a connection though no response ended, or 0.
	aloneMs clock.Millis
}

// witnessEnd is the end of a connection by the upstream, in order or not, at atMs, or 0, when it was open for openMs.
type witnessEnd struct {
	atMs, openMs clock.Millis
	inOrder      bool
	// isJoint is set if a response has ended with it.
	isJoint bool
	// isJudged is set once it is known whether a response has.
	isJudged bool
}

// near reports whether two times are those of connections that have ended together.
func near(one, other clock.Millis) bool {
	return one > 0 && max(one, other)-min(one, other) <= jointEndMs
}

// Begin counts a response that ends with its connection, and opens a connection unless there is one.
func (w *Witness) Begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.underWay++
	w.begunMs = w.monotonic()
	w.learn(w.begunMs)
	if w.watching || !w.isDue(w.begunMs) {
		return
	}
	w.watching = true
	guard.Go("witness of responses", w.watch)
}

// RecordEnd records that such a response has ended in order.
func (w *Witness) RecordEnd() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endedMs = w.monotonic()
	w.last.isJoint = w.last.isJoint || near(w.last.atMs, w.endedMs)
}

// Finish ends what Begin has begun.
func (w *Witness) Finish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.underWay--
}

// ShowsGone reports whether the process has gone, if a response ended at about a monotonic time.
func (w *Witness) ShowsGone(aroundMs clock.Millis) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last.inOrder && w.last.openMs >= minWitnessMs && near(w.last.atMs, aroundMs)
}

// isOpenSince reports whether a connection is open that was open at a monotonic time.
func (w *Witness) isOpenSince(ms clock.Millis) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.openMs > 0 && w.openMs < ms
}

// Close closes the connection. No other one is opened.
func (w *Witness) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	if w.conn != nil {
		// Nothing was sent on it.
		_ = w.conn.Close()
	}
}

// lifeMs returns how long a connection may be kept before the upstream closes it as unused.
func (w *Witness) lifeMs() clock.Millis {
	if w.aloneMs == 0 {
		return maxWitnessMs
	}
	return min(maxWitnessMs, w.aloneMs/2) //nolint:mnd // Half of it.
}

// isDue reports whether a connection is to be open.
func (w *Witness) isDue(now clock.Millis) bool {
	return !w.closed && w.underWay > 0 && w.lifeMs() > minWitnessMs && !near(w.last.atMs, now)
}

// learn adjusts how long connections are kept, if the upstream has ended the latest one though no response ended, or
// too soon.
func (w *Witness) learn(now clock.Millis) {
	end := &w.last
	if end.isJudged || end.atMs == 0 || near(end.atMs, now) {
		return
	}
	end.isJudged = true
	if !end.isJoint || end.openMs < minWitnessMs {
		w.aloneMs = max(1, min(cmp.Or(w.aloneMs, end.openMs), end.openMs))
	}
}

// watch opens one connection after the other until the upstream ends one, or none is due.
func (w *Witness) watch() {
	for w.watchOnce() {
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watching = false
}

// watchOnce opens a connection and closes it once it ends. It reports whether another one is due.
func (w *Witness) watchOnce() bool {
	conn, err := w.dial(context.Background())
	if err != nil {
		return false
	}
	// Nothing was sent on it.
	defer func() { _ = conn.Close() }()
	openedMs, lifeMs := w.add(conn)
	err = awaitEnd(conn, lifeMs)
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.monotonic()
	w.openMs = 0
	switch {
	case w.closed:
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return w.isDue(now)
	default:
		w.last = witnessEnd{
			atMs: now, openMs: now - openedMs, inOrder: errors.Is(err, io.EOF), isJoint: near(now, w.endedMs),
		}
		return false
	}
}

// add adds a connection that has been opened, and returns when it was open and for how long it may be kept.
func (w *Witness) add(conn net.Conn) (openedMs, lifeMs clock.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn, w.openMs = conn, w.monotonic()
	if w.closed {
		return w.openMs, 0
	}
	return w.openMs, w.lifeMs()
}

// awaitEnd returns the error with which a connection ends, that of its deadline if it is open after some time, or nil
// if the other side sends something, as some do before they close an unused connection.
func awaitEnd(c net.Conn, timeoutMs clock.Millis) error {
	if err := c.SetReadDeadline(time.Now().Add(timeoutMs.Duration())); err != nil {
		return err
	}
	var one [1]byte
	_, err := c.Read(one[:])
	return err
}
