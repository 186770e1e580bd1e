package inbound

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"

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
	return from != 0 && int64(c.listener.clock.Monotonic()) >= from
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
// kernel resets the connection when data arrives, while that of a caller that reads acknowledges them.
func (c *Conn) holdEnd() error {
	atEnd := signOf(c.Conn)
	ctx, cancel := context.WithCancel(context.Background())
	defer c.endHold()
	if !atEnd.open || !c.startHold(cancel) {
		cancel()
	}
	h := &hold{conn: c, atEnd: atEnd, startMs: c.listener.clock.Monotonic(), writes: c.writes.Load()}
	c.setUnheardFrom(h.startMs, atEnd, false)
	for span := holdCheckMs; atEnd.open; {
		if c.listener.clock.Sleep(ctx, span) != nil {
			return os.ErrDeadlineExceeded
		}
		confirms := span == confirmMs
		now := signOf(c.Conn)
		seemsLeft := h.check(now, !confirms)
		if !now.open || confirms && seemsLeft {
			break
		}
		span = holdCheckMs
		if seemsLeft {
			span = confirmMs
		}
	}
	return io.EOF
}

// hold is the wait for a sign of a caller that has ended its side.
type hold struct {
	conn    *Conn
	atEnd   sign
	startMs clock.Millis
	// checks is how often the kernel was asked, and writes how often the response was written to until the last time.
	checks int
	writes int64
	reads  bool
}

// check reports whether the caller seems to have left. Only counted checks tell how much processor time the process
// gets.
func (h *hold) check(now sign, counts bool) bool {
	c := h.conn
	if counts {
		h.checks++
	}
	h.reads = h.reads || now.acknowledgedBytes > h.atEnd.acknowledgedBytes
	c.setUnheardFrom(h.startMs, now, h.reads)
	before := h.writes
	h.writes = c.writes.Load()
	elapsed := c.listener.clock.Monotonic() - h.startMs
	over := elapsed >= holdMs && h.checks >= minHoldChecks && !now.outstanding || elapsed >= maxHoldMs
	return over && !h.reads && h.writes == before && c.committed.Load() == 0 && !c.responseWaits()
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

// sign is what the kernel knows of a caller.
type sign struct {
	// acknowledgedBytes is how much the caller's machine has acknowledged, and outstanding whether there is more.
	acknowledgedBytes uint64
	outstanding       bool
	// open is set unless the connection is closed, was reset or has no socket.
	open bool
}

// signOf asks the kernel. A connection without a socket may have a method Sign.
func signOf(c net.Conn) sign {
	if known, ok := c.(interface{ Sign() sign }); ok {
		return known.Sign()
	}
	socket, ok := c.(syscall.Conn)
	if !ok {
		return sign{}
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return sign{}
	}
	var info *unix.TCPInfo
	err = raw.Control(func(fd uintptr) {
		// Without information, the connection counts as closed.
		info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || info == nil || info.State == unix.BPF_TCP_CLOSE {
		return sign{}
	}
	return sign{acknowledgedBytes: info.Bytes_acked, outstanding: info.Unacked > 0 || info.Notsent_bytes > 0, open: true}
}
