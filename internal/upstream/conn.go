package upstream

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"

	"dooryard.example/dooryard/internal/clock"
)

// conn is one connection to an upstream. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleUntilMs is the steady instant from which the upstream may close the
	// connection by itself.
	idleUntilMs clock.Millis
}

const readerBytes = 2048

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readerBytes)}
}

// clean reports whether an idle connection is open and has nothing to read. Bytes
// that came unasked belong to no request, so such a connection is not used again.
func (c *conn) clean() bool {
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
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, readErr := syscall.Read(int(fd), one[:])
		quiet = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// idleSpan returns how long the upstream promises to keep an idle connection
// open, from the Keep-Alive header of its answer.
func idleSpan(header http.Header) (clock.Millis, bool) {
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
