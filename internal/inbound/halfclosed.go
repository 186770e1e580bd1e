package inbound

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"dooryard.example/dooryard/internal/clock"
)

const (
	// readAheadBytes is how much the server reads while a handler runs, to learn that the caller has left.
	readAheadBytes = 1
	// holdMs is how long the response to a caller that has ended its side is awaited without a sign of the caller. It is
	// short, since most of them have left, and an upstream works in vain.
	holdMs clock.Millis = 250
	// maxHoldMs is how long it is awaited while bytes are under way to the caller, or the process gets so little
	// processor time that few checks were made. It leaves time to cancel a request within half a second.
	maxHoldMs clock.Millis = 400
	// askMs is how long after the end the caller is asked for a sign, and how long after that once more. A response that
	// is ready before is a sign itself. A proxy acknowledges the first question, and learns by it that its caller has
	// left.
	askMs clock.Millis = 100
	// askAgainMs is how long after other questions the next one follows. The kernel of a caller that reads and closes its
	// socket later sends nothing by itself, as it has sent the end before.
	askAgainMs clock.Millis = 300
	// holdCheckMs is the interval at which the kernel is asked for a sign, and minHoldChecks how often it is asked at
	// least. It is half of what a process with enough processor time makes in holdMs.
	holdCheckMs   clock.Millis = 25
	minHoldChecks              = int(holdMs / holdCheckMs / 2)
	// confirmMs is how long after a check another one confirms that the caller gives no sign. What was read from the
	// upstream right before may not have been written to the caller.
	confirmMs clock.Millis = 2
)

// WithHeldEnds makes connections hide from the server for a short time that a caller has ended its side while its
// request is processed. One that has only ended the writing side gets a response then.
func WithHeldEnds() Option { return func(l *Listener) { l.holdsEnds = true } }

// Commit makes the connection wait for the response to a request until the returned function is called, whether its
// caller reads it or not.
func (c *Conn) Commit() (done func()) {
	c.committed.Add(1)
	return func() { c.committed.Add(-1) }
}

// HoldWhile makes the connection wait for a sign of its caller while bytes of the response wait to be read, until the
// returned function is called. A process that gets little processor time reads them long after they have arrived.
func (c *Conn) HoldWhile(waits func() bool) (done func()) {
	c.waits.Store(&waits)
	return func() { c.waits.CompareAndSwap(&waits, nil) }
}

// responseWaits reports whether bytes of the response wait to be read.
func (c *Conn) responseWaits() bool {
	waits := c.waits.Load()
	return waits != nil && (*waits)()
}

// Unheard reports whether the caller has ended its side and gave no sign for so long that it has probably left. Nothing
// more should be done for it, though a response that is under way is awaited.
func (c *Conn) Unheard() bool {
	from := c.unheardFromMs.Load()
	if from == 0 || int64(c.listener.clock.Monotonic()) < from {
		return false
	}
	// The latest check may be long ago.
	now := signOf(c.listener.kernel, c.Conn)
	return !now.open || !c.hasAcknowledged(now)
}

// hasAcknowledged reports whether the caller's machine has acknowledged any of what was sent since the caller has ended
// its side. A kernel may tell only that something is not acknowledged, or not even that; a caller that has left then
// shows by a reset.
func (c *Conn) hasAcknowledged(now sign) bool {
	if now.acknowledgedBytes == 0 {
		return c.sentSinceEnd.Load() && !now.outstanding
	}
	return now.acknowledgedBytes > c.acknowledgedAtEnd.Load()
}

// setUnheardFrom sets from when on a caller that gives no sign is unheard.
func (c *Conn) setUnheardFrom(start clock.Millis, now sign, reads bool) {
	from := start + holdMs
	switch {
	case reads:
		from = 0
	case now.outstanding:
		from = start + maxHoldMs
	}
	c.unheardFromMs.Store(int64(from))
}

// holdEnd waits until the caller that has ended its side is known to have left, or the server ends the read. It returns
// the error of the read.
//
// A caller that has closed its socket looks the same as one that has only ended its writing side and reads. But its
// kernel resets the connection when data arrives, while that of a caller that reads acknowledges them. While there are
// none of the response, the caller is asked with an interim one, or with a byte of the response that is known. If there
// is nothing to ask with, the rest of the response is awaited.
func (c *Conn) holdEnd() error {
	atEnd := signOf(c.listener.kernel, c.Conn)
	ctx, cancel := context.WithCancel(context.Background())
	defer c.endHold()
	if !atEnd.open || !c.startHold(cancel) {
		cancel()
	}
	if c.awaitLeft(ctx, atEnd) {
		return io.EOF
	}
	return os.ErrDeadlineExceeded
}

// awaitLeft waits until a caller that gave a sign at its end is known to have left, or the context ends, which it
// returns false for.
func (c *Conn) awaitLeft(ctx context.Context, atEnd sign) bool {
	now := c.listener.clock.Monotonic()
	h := &hold{conn: c, startMs: now, nextAskMs: now + askMs, writes: c.writes.Load()}
	c.acknowledgedAtEnd.Store(atEnd.acknowledgedBytes)
	c.sentSinceEnd.Store(false)
	c.setUnheardFrom(h.startMs, atEnd, false)
	for span := holdCheckMs; atEnd.open; {
		if c.listener.clock.Sleep(ctx, span) != nil {
			return false
		}
		confirms := span == confirmMs
		now := signOf(c.listener.kernel, c.Conn)
		seemsLeft := h.check(now, !confirms)
		if !now.open || h.failed || confirms && seemsLeft {
			break
		}
		span = holdCheckMs
		if seemsLeft {
			span = confirmMs
		}
	}
	return true
}

// hold is the wait for a sign of a caller that has ended its side.
type hold struct {
	conn *Conn
	// startMs is when the end was read, or later if the caller could not be asked in time.
	startMs clock.Millis
	// nextAskMs is when the caller is asked next, and asked is set once it was asked.
	nextAskMs clock.Millis
	asked     bool
	// checks is how often the kernel was asked, and writes how often the response was written to until the last time.
	checks int
	writes int64
	reads  bool
	// awaited is set if the caller could not be asked at the last check.
	awaited bool
	// failed is set once nothing can be sent to the caller.
	failed bool
}

// check reports whether the caller seems to have left. Only counted checks tell how much processor time the process
// gets.
func (h *hold) check(now sign, counts bool) bool {
	c := h.conn
	if counts {
		h.checks++
	}
	if c.listener.encrypted && !now.ended {
		// A caller that leaves ends its side of the socket as well.
		h.startMs, h.checks = c.listener.clock.Monotonic(), 0
	}
	h.reads = h.reads || c.hasAcknowledged(now)
	now.outstanding = h.ask(now) || now.outstanding
	// The next bytes of the response tell whether it reads.
	awaited := !now.outstanding && c.isMute()
	c.setUnheardFrom(h.startMs, now, h.reads)
	before := h.writes
	h.writes = c.writes.Load()
	if h.writes != before {
		// What was written is a question itself.
		h.nextAskMs = max(h.nextAskMs, c.listener.clock.Monotonic()+askMs)
		if h.awaited {
			h.startMs, h.checks = c.listener.clock.Monotonic(), 0
		}
	}
	h.awaited = awaited
	elapsed := c.listener.clock.Monotonic() - h.startMs
	over := elapsed >= holdMs && h.checks >= minHoldChecks && !now.outstanding || elapsed >= maxHoldMs
	return over && !h.reads && !awaited && h.writes == before && c.committed.Load() == 0 && !c.responseWaits()
}

// ask asks the caller for a sign if it is time to, and reports whether it did. One that is asked late has as long to
// give it. One whose response is awaited in any case is not asked, since its kernel could reset the connection.
func (h *hold) ask(now sign) bool {
	c := h.conn
	atMs := c.listener.clock.Monotonic()
	if atMs < h.nextAskMs || now.outstanding || !now.open || c.committed.Load() > 0 {
		return false
	}
	sent, err := c.ask()
	h.failed = isClosed(err)
	if !sent {
		return false
	}
	c.sentSinceEnd.Store(true)
	h.nextAskMs = atMs + askMs
	if h.asked {
		h.nextAskMs = atMs + askAgainMs
	}
	h.asked = true
	h.startMs = max(h.startMs, atMs-askMs)
	return true
}

// isClosed reports whether an error of a write tells that the connection is closed. Others may pass.
func isClosed(err error) bool {
	for _, closed := range []error{syscall.EPIPE, syscall.ECONNRESET, syscall.ETIMEDOUT, net.ErrClosed} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}

// startHold makes SetReadDeadline and Close call a function, and returns false if the deadline has passed.
func (c *Conn) startHold(wake context.CancelFunc) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wake = wake
	return !c.readPassed()
}

// endHold ends the wait of a held read.
func (c *Conn) endHold() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wake != nil {
		c.wake()
		c.wake = nil
	}
}
