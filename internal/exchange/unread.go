package exchange

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/guard"
	"dooryard.example/dooryard/internal/socket"
)

const (
	// unreadTimeoutMs is how long data may stay unread. Upstreams cut off responses that stay unread for some seconds.
	unreadTimeoutMs clock.Millis = 5000
	// promptMs is how long a write may take before the rest of its data is held, on connections whose kernel buffer can't
	// be written to without waiting. It is longer than a busy machine leaves a ready process waiting.
	promptMs clock.Millis = 20
	// fullMs is how long an upstream waits for a caller that takes nothing from a full buffer. A caller that reads
	// steadily, but more slowly than the upstream sends, is not cut off.
	fullMs clock.Millis = 500
	// blockBytes is the unit in which unread data is held, and maxBlocks the number of units for a caller.
	blockBytes = 4 << 10
	maxBlocks  = 16
	// throughBytes is how much is written at once while nothing is held.
	throughBytes = 64 << 10
)

// Unread is the writing side of a connection to a caller. While it holds, a Write doesn't wait for a caller that has
// stopped reading: it keeps the data that the caller has not taken, up to 64 KiB, and returns. A goroutine writes
// it once the caller reads again. While the caller reads at once, nothing is copied and no goroutine runs.
//
// A caller that takes no data for some seconds is cut off: its connection is reset, so that the response doesn't look
// complete.
//
// Only one goroutine may call Write, Start, Await and the methods for buffered responses at a time.
type Unread struct {
	conn   net.Conn
	memory *Memory
	clock  clock.Clock
	kernel *socket.Kernel
	reset  func()
	// raw is nil if the connection is no socket. tryOnce writes data to it and sets written and writeErr. They are
	// fields, since a closure would be allocated for each write.
	raw      syscall.RawConn
	tryOnce  func(fd uintptr) bool
	data     []byte
	written  int
	writeErr error
	// hasDeadline is set if the connection has a write deadline.
	hasDeadline bool
	// rate is how the caller reads the buffered response that is being written, or nil.
	rate *readRate

	mu sync.Mutex
	// holding is set between Start and Await.
	holding bool
	onCut   func()
	blocks  []*unreadBlock
	// writing is the block that drain is writing.
	writing *unreadBlock
	// drained is closed when drain ends. It is nil while drain doesn't run.
	drained chan struct{}
	// taken receives a value when drain has written a block.
	taken chan struct{}
	err   error
	// cutBytes is how much was held when the caller was cut off.
	cutBytes int
}

type unreadBlock struct {
	data    []byte
	sinceMs clock.Millis
}

// NewUnread returns the writing side of a connection. The reset function resets and closes the connection.
func NewUnread(conn net.Conn, memory *Memory, c clock.Clock, reset func()) *Unread {
	u := &Unread{conn: conn, memory: memory, clock: c, kernel: socket.System(), reset: reset}
	if withDescriptor, ok := conn.(syscall.Conn); ok {
		// Without raw access, writes have deadlines.
		u.raw, _ = withDescriptor.SyscallConn()
		u.tryOnce = u.writeOnce
	}
	return u
}

// Start makes Write hold unread data, until Await. The onCut function is called if the caller is cut off or has
// disconnected.
func (u *Unread) Start(onCut func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.holding, u.onCut = true, onCut
}

// Await waits until the caller has taken all data, and then writes directly again. It returns an error if the caller
// doesn't.
func (u *Unread) Await() error {
	u.awaitDrain()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.holding, u.onCut = false, nil
	return u.err
}

// StartBuffered makes Write cut off a caller that reads a buffered response more slowly than at the minimum rate, or
// that has not read it some seconds after the request's time limit, until EndBuffered.
func (u *Unread) StartBuffered(remainingMs clock.Millis) {
	u.rate = newReadRate(u.clock.Monotonic() + max(0, remainingMs) + overdueMs)
}

// EndBuffered ends what StartBuffered began.
func (u *Unread) EndBuffered() { u.rate = nil }

func (u *Unread) awaitDrain() {
	u.mu.Lock()
	drained := u.drained
	u.mu.Unlock()
	if drained != nil {
		<-drained
	}
}

// Lost returns the error with which the caller was lost, or nil, and how many bytes were held for it then.
func (u *Unread) Lost() (heldBytes int, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.cutBytes, u.err
}

// Write writes data, or holds what the caller doesn't take.
func (u *Unread) Write(data []byte) (int, error) {
	u.mu.Lock()
	holding, draining, err := u.holding, u.drained != nil, u.err
	u.mu.Unlock()
	switch {
	case err != nil:
		return 0, err
	case !holding:
		u.awaitDrain()
		return u.writeThrough(data)
	}
	n := 0
	if !draining {
		n, err = u.writeNow(data)
	}
	if err != nil {
		return n, u.fail(err)
	}
	if err := u.hold(data[n:]); err != nil {
		return n, err
	}
	return len(data), nil
}

// WriteWhole writes data that the kernel takes at once, for a caller that has all that was written before. It may be
// called beside all methods but Write.
func (u *Unread) WriteWhole(data []byte) error {
	n, err := u.writeNow(data)
	if err == nil && n < len(data) {
		err = io.ErrShortWrite
	}
	if n > 0 && err != nil {
		// What is written next would be taken for the rest.
		return u.fail(err)
	}
	return err
}

// Holds reports whether anything is held that the caller has not taken.
func (u *Unread) Holds() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.drained != nil || len(u.blocks) > 0
}

// writeThrough writes data to a caller that takes some of it in time.
func (u *Unread) writeThrough(data []byte) (int, error) {
	written, err := u.writeAtRate(data, func(data []byte, _ clock.Millis) (int, error) { return u.writeNow(data) })
	for err == nil && written < len(data) {
		var n int
		n, err = u.writeAtRate(data[written:min(len(data), written+throughBytes)], u.writeWithin)
		written += n
	}
	if err != nil {
		return written, u.fail(err)
	}
	return written, nil
}

// writeAtRate writes data with a function, and returns an error if the caller is too slow.
func (u *Unread) writeAtRate(
	data []byte, write func(data []byte, span clock.Millis) (int, error),
) (int, error) {
	if u.rate == nil {
		n, err := write(data, unreadTimeoutMs)
		if n > 0 && isTimeout(err) {
			err = nil
		}
		return n, err
	}
	start := u.clock.Monotonic()
	n, err := write(data, u.rate.waitMs(start))
	now := u.clock.Monotonic()
	u.rate.record(n, now-start)
	if isTimeout(err) {
		queued, known := u.queuedBytes()
		if !known {
			u.rate.recordUnknown()
		}
		err = u.rate.check(now, queued)
	}
	return n, err
}

// queuedBytes returns how much data the kernel holds that the caller's machine has not acknowledged, or that it doesn't
// tell.
func (u *Unread) queuedBytes() (queued int64, known bool) {
	if u.raw == nil {
		return 0, true
	}
	// A connection that has failed has none; the next write reports it.
	_ = u.raw.Control(func(fd uintptr) {
		n, err := u.kernel.Queued(int(fd))
		queued, known = int64(n), err == nil
	})
	return queued, known
}

// writeNow writes as much data as the connection takes at once. A deadline would take longer to set than the data to
// write.
func (u *Unread) writeNow(data []byte) (int, error) {
	if u.raw == nil {
		n, err := u.writeWithin(data, promptMs)
		if isTimeout(err) {
			err = nil
		}
		return n, err
	}
	if u.hasDeadline {
		if err := u.conn.SetWriteDeadline(time.Time{}); err != nil {
			return 0, fmt.Errorf("clear deadline: %w", err)
		}
		u.hasDeadline = false
	}
	u.data, u.written, u.writeErr = data, 0, nil
	err := u.raw.Write(u.tryOnce)
	u.data = nil
	return u.written, errors.Join(err, u.writeErr)
}

// writeOnce writes as much of u.data as the kernel takes.
func (u *Unread) writeOnce(fd uintptr) bool {
	for u.written < len(u.data) {
		n, err := socket.Write(int(fd), u.data[u.written:])
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return true
		case err != nil:
			u.writeErr = os.NewSyscallError("write", err)
			return true
		default:
			u.written += n
		}
	}
	return true
}

// writeWithin writes data within a time.
func (u *Unread) writeWithin(data []byte, span clock.Millis) (int, error) {
	u.hasDeadline = true
	if err := u.conn.SetWriteDeadline(time.Now().Add(span.Duration())); err != nil {
		return 0, fmt.Errorf("set deadline: %w", err)
	}
	return u.conn.Write(data) //nolint:wrapcheck // The caller compares it.
}

// hold appends data to the blocks. If there is no room, it waits for the caller to take a block.
func (u *Unread) hold(data []byte) error {
	for len(data) > 0 {
		n, drained, err := u.append(data)
		data = data[n:]
		switch {
		case err != nil:
			return err
		case n > 0:
		case drained == nil:
			// There is no memory for even one block.
			n, err := u.writeWithin(data, fullMs)
			data = data[n:]
			switch {
			case isTimeout(err) && n == 0:
				return u.fail(&SlowCallerError{Reason: BufferFull})
			case err != nil && !isTimeout(err):
				return u.fail(err)
			}
		case !u.awaitRoom(drained):
			return u.fail(&SlowCallerError{Reason: BufferFull})
		}
	}
	return nil
}

// awaitRoom waits until the caller has taken a block, and reports whether it did in time.
func (u *Unread) awaitRoom(drained chan struct{}) bool {
	timeout := make(chan struct{})
	timer := u.clock.AfterFunc(fullMs, func() { close(timeout) })
	defer timer.Stop()
	select {
	case <-u.taken:
		return true
	case <-drained:
		return true
	case <-timeout:
		return false
	}
}

// append adds as much of data as fits into one block, and returns how much. It starts drain if it doesn't run, and
// returns the channel that is closed when drain ends, or nil if it doesn't run.
func (u *Unread) append(data []byte) (n int, drained chan struct{}, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err != nil {
		return 0, u.drained, u.err
	}
	last := u.lastBlock()
	if last == nil || last == u.writing || len(last.data) == cap(last.data) {
		if len(u.blocks) == maxBlocks || !u.memory.takeStream(blockBytes) {
			return 0, u.drained, nil
		}
		last = &unreadBlock{data: make([]byte, 0, blockBytes), sinceMs: u.clock.Monotonic()}
		u.blocks = append(u.blocks, last)
	}
	n = min(len(data), cap(last.data)-len(last.data))
	last.data = append(last.data, data[:n]...)
	if u.drained == nil {
		if u.taken == nil {
			u.taken = make(chan struct{}, 1)
		}
		u.drained = make(chan struct{})
		guard.Go("unread response", u.drain)
	}
	return n, u.drained, nil
}

func (u *Unread) lastBlock() *unreadBlock {
	if len(u.blocks) == 0 {
		return nil
	}
	return u.blocks[len(u.blocks)-1]
}

// drain writes the blocks until there are none.
func (u *Unread) drain() {
	for block := u.nextBlock(); block != nil; block = u.nextBlock() {
		_, err := u.writeWithin(block.data, max(1, block.sinceMs+unreadTimeoutMs-u.clock.Monotonic()))
		if err != nil {
			// Write and Await return the error.
			_ = u.fail(err)
			continue
		}
		u.removeBlock()
		select {
		case u.taken <- struct{}{}:
		default:
		}
	}
}

// nextBlock returns the next block to write, or ends drain and returns nil.
func (u *Unread) nextBlock() *unreadBlock {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err != nil || len(u.blocks) == 0 {
		close(u.drained)
		u.drained = nil
		return nil
	}
	u.writing = u.blocks[0]
	return u.writing
}

// removeBlock removes the block that was written.
func (u *Unread) removeBlock() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.blocks) > 0 {
		u.blocks, u.writing = u.blocks[1:], nil
		u.memory.releaseStream(blockBytes)
	}
}

// fail gives up the caller after a failed write, and returns the error that it ends with. The first error counts.
func (u *Unread) fail(err error) error {
	u.mu.Lock()
	if u.err != nil {
		defer u.mu.Unlock()
		return u.err
	}
	if isTimeout(err) {
		err = &SlowCallerError{Reason: Stalled}
	}
	if slow := (*SlowCallerError)(nil); errors.As(err, &slow) {
		u.memory.countCutOff(slow.Reason)
	}
	for _, block := range u.blocks {
		u.cutBytes += len(block.data)
	}
	u.memory.releaseStream(int64(len(u.blocks)) * blockBytes)
	u.err, u.blocks, u.writing = err, nil, nil
	onCut := u.onCut
	u.mu.Unlock()
	u.reset()
	if onCut != nil {
		onCut()
	}
	return err
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
