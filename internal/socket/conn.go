package socket

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a TCP connection whose reads and writes keep the processor of their thread, as those of Read and Write.
type Conn struct {
	*net.TCPConn
	raw            syscall.RawConn
	reads, written transferState
}

// transferState is a read or a write that goes on. It is part of the connection, since a closure would be allocated for
// each one.
type transferState struct {
	mu   sync.Mutex
	try  func(fd uintptr) (done bool)
	data []byte
	n    int
	err  error
}

// Direct returns a connection whose reads and writes keep the processor of their thread, or the same one if it is not
// a TCP connection of the system.
func Direct(c net.Conn) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return c
	}
	d := &Conn{TCPConn: tcp, raw: raw}
	d.reads.try, d.written.try = d.readOnce, d.writeOnce
	return d
}

// DirectDial returns a function that opens connections as another one does, and returns them as Direct does.
func DirectDial(dial func(ctx context.Context, network, address string) (net.Conn, error),
) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return Direct(c), nil
	}
}

// Read implements net.Conn.
func (c *Conn) Read(data []byte) (int, error) { return c.transfer("read", &c.reads, c.raw.Read, data) }

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	return c.transfer("write", &c.written, c.raw.Write, data)
}

// transfer repeats a call whenever the socket is ready, until it is done or the deadline has passed.
func (c *Conn) transfer(
	op string, s *transferState, whenReady func(try func(fd uintptr) bool) error, data []byte,
) (int, error) {
	if len(data) == 0 {
		return 0, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data, s.n, s.err = data, 0, nil
	err := whenReady(s.try)
	s.data = nil
	var failed *net.OpError
	switch {
	case errors.As(err, &failed):
		failed.Op = op
	case err == nil && errors.Is(s.err, io.EOF):
		err = io.EOF
	case err == nil && s.err != nil:
		err = &net.OpError{
			Op: op, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError(op, s.err),
		}
	default:
	}
	return s.n, err //nolint:wrapcheck // It is what net.TCPConn returns.
}

// readOnce reads what waits in the socket, and returns false if nothing does.
func (c *Conn) readOnce(fd uintptr) bool {
	s := &c.reads
	for {
		n, err := Read(int(fd), s.data)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case errors.Is(err, unix.EAGAIN):
			return false
		case err == nil && n == 0:
			s.err = io.EOF
		default:
			s.n, s.err = n, err
		}
		return true
	}
}

// writeOnce writes what the kernel takes, and returns false if it takes no more at present.
func (c *Conn) writeOnce(fd uintptr) bool {
	s := &c.written
	for s.n < len(s.data) {
		n, err := Write(int(fd), s.data[s.n:])
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return false
		case err != nil:
			s.err = err
			return true
		default:
			s.n += n
		}
	}
	return true
}
