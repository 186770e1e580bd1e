package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/headcheck"
	"dooryard.example/dooryard/internal/socket"
)

// conn is a connection to an upstream. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// failure makes reads fail after a reset that a write was told.
	failure socket.WriteFailure
	// inHead is set while heads of responses are read, of which headBytes were read since the request.
	inHead    bool
	headBytes int
	// head checks the head of the response that is read.
	head headcheck.Scanner
	// idleUntilMs is the monotonic time from which the upstream may close the idle connection.
	idleUntilMs clock.Millis
	// openedMs is the monotonic time at which the connection was open at the latest.
	openedMs clock.Millis
}

const (
	readBufferBytes = 2048
	// maxHeadBytes limits the heads of the responses to one request. A box reads hundreds of them at a time.
	maxHeadBytes = 64 << 10
)

// errHeadTooLong means that the heads of responses exceed their limit.
var errHeadTooLong = fmt.Errorf("head of a response exceeds %d bytes", maxHeadBytes)

func newConn(c net.Conn) *conn {
	cn := &conn{Conn: c}
	cn.reader = bufio.NewReaderSize(cn, readBufferBytes)
	return cn
}

// Read implements net.Conn. It returns io.EOF only after an orderly end.
func (c *conn) Read(data []byte) (int, error) {
	if c.inHead && c.headBytes > maxHeadBytes {
		return 0, errHeadTooLong
	}
	n, err := c.failure.Read(c.Conn, data)
	if c.inHead {
		c.headBytes += n
	}
	// Its error is returned with the head.
	_ = c.head.Scan(data[:n])
	return n, err
}

// startHead waits for a response and begins to check its head. The reader tells an error only once.
func (c *conn) startHead() error {
	if _, err := c.reader.Peek(1); err != nil {
		return err //nolint:wrapcheck // It is the error of the connection.
	}
	// All of it was read already, so that there is no error.
	read, _ := c.reader.Peek(c.reader.Buffered())
	c.head = headcheck.Scanner{}
	_ = c.head.Scan(read)
	return nil
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) { return c.failure.Write(c.Conn, data) }

// ResetOnClose makes Close reset a connection. If it fails, the connection is closed in order, as it would be without
// it.
func ResetOnClose(c net.Conn) {
	if l, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = l.SetLinger(0)
	}
}

// abort resets the connection. After an orderly close, bytes that a partition holds up would still reach the upstream
// once it ends, and a request that was given up would run.
func (c *conn) abort() {
	ResetOnClose(c.Conn)
	_ = c.Close()
}

// reusable reports whether an idle connection is open and has no data to read. Unsolicited bytes
// belong to no request, so a connection that received some is not reused.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, readErr := socket.Read(int(fd), one[:])
		empty = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

// hasUnread reports whether bytes wait in the kernel to be read. It may be called beside a read.
func (c *conn) hasUnread() bool { return socket.HasUnread(c.Conn) }

// staysInUse reports whether the other side of a connection in use has not ended it. An end that waits behind bytes for
// which the kernel has no room can't be told.
func (c *conn) staysInUse() bool {
	state := socket.System().State(c.Conn)
	return state.Open && !state.Ended && !c.hasUnread()
}

// staysOpen reports whether a connection on which nothing was sent stays open and silent for a duration. If the context
// ends before, it returns false and the connection is closed.
func (c *conn) staysOpen(ctx context.Context, duration time.Duration) bool {
	if err := c.SetReadDeadline(time.Now().Add(duration)); err != nil {
		return false
	}
	// A failure to close has no effect: nothing was sent.
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	_, err := c.reader.Peek(1)
	// If the process was paused until the deadline, the read has not asked the kernel.
	return stop() && errors.Is(err, os.ErrDeadlineExceeded) && c.SetReadDeadline(time.Time{}) == nil && c.reusable()
}

// keepAliveTimeout returns how long the upstream promises to keep an idle connection open, according
// to the Keep-Alive header of its response.
func keepAliveTimeout(header http.Header) (clock.Millis, bool) {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0, false
		}
		return clock.Millis(seconds) * clock.Second, true
	}
	return 0, false
}
