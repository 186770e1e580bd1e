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

// Unheard reports whether the caller has ended its side and gave no sign for so long that it has probably left. Nothing
// more should be done for it, though a response that is under way is awaited.
func (c *Conn) Unheard() bool { return c.unheard.Load() }

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
	start, reads := c.listener.clock.Monotonic(), false
	for now, checks := atEnd, 0; now.open; checks++ {
		if c.listener.clock.Sleep(ctx, holdCheckMs) != nil {
			return os.ErrDeadlineExceeded
		}
		now = signOf(c.Conn)
		reads = reads || now.acknowledgedBytes > atEnd.acknowledgedBytes
		elapsed := c.listener.clock.Monotonic() - start
		waited := elapsed >= holdMs && checks+1 >= minHoldChecks && !now.outstanding || elapsed >= maxHoldMs
		c.unheard.Store(waited && !reads)
		if c.Unheard() && c.committed.Load() == 0 {
			break
		}
	}
	return io.EOF
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
