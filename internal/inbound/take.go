package inbound

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"

	"dooryard.example/dooryard/internal/socket"
)

// taken is what takeOnce has read. It is part of the connection, since a closure would be allocated for each read.
type taken struct {
	once func(fd uintptr) bool
	data []byte
	n    int
	err  error
}

func (c *Conn) prepareTake() {
	if s, ok := c.Conn.(syscall.Conn); ok {
		// Without raw access, an eviction may miss bytes that are being read.
		c.raw, _ = s.SyscallConn()
		c.taken.once = c.takeOnce
	}
}

// take reads from the socket. Bytes are taken and end the idle state in one step: a goroutine that has read may wait
// long until it runs again, and the kernel no longer knows of its bytes.
func (c *Conn) take(data []byte) (int, error) {
	if c.raw == nil {
		return c.Conn.Read(data) //nolint:wrapcheck // The server compares it.
	}
	t := &c.taken
	t.data, t.n, t.err = data, 0, nil
	err := c.raw.Read(t.once)
	t.data = nil
	if err == nil {
		return t.n, t.err
	}
	var op *net.OpError
	if errors.As(err, &op) {
		// The server doesn't respond to errors of this kind.
		op.Op = "read"
	}
	return 0, err //nolint:wrapcheck // The server compares it.
}

// takeOnce reads what waits in the socket, and returns false if nothing does.
func (c *Conn) takeOnce(fd uintptr) bool {
	c.taking.Lock()
	defer c.taking.Unlock()
	t := &c.taken
	n, err := socket.Read(int(fd), t.data)
	for errors.Is(err, unix.EINTR) {
		n, err = socket.Read(int(fd), t.data)
	}
	switch {
	case errors.Is(err, unix.EAGAIN):
		return false
	case err != nil:
		t.err = &net.OpError{
			Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err),
		}
	case n == 0:
		t.err = io.EOF
	case !c.Activate():
		t.err = net.ErrClosed
	default:
		t.n = n
	}
	return true
}
