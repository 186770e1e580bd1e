package socket

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// WriteFailure keeps why a connection failed if a write was told. The kernel tells it once, to the call that asks
// first: a read after that finds the end of the input, as it does after an orderly end. The zero value is ready to use.
type WriteFailure struct {
	mu  sync.Mutex
	err error
}

// Write writes to a connection, and keeps the error if the connection has failed.
func (f *WriteFailure) Write(c net.Conn, data []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, err := c.Write(data)
	if f.err == nil && isFailure(err) {
		f.err = err
	}
	return n, err //nolint:wrapcheck // It is the error of the connection.
}

// Read reads from a connection. It returns io.EOF only if the other side has ended the connection in order.
func (f *WriteFailure) Read(c net.Conn, data []byte) (int, error) {
	n, err := c.Read(data)
	if errors.Is(err, io.EOF) {
		if failed := f.await(c); failed != nil {
			return n, failed
		}
	}
	return n, err //nolint:wrapcheck // It is the error of the connection.
}

// await returns why the connection has failed. It waits for a write that goes on only if the socket is closed, so that
// the write returns at once.
func (f *WriteFailure) await(c net.Conn) error {
	if !f.mu.TryLock() {
		if raw := rawOf(c); raw == nil || System().State(c).Open {
			return nil
		}
		f.mu.Lock()
	}
	defer f.mu.Unlock()
	return f.err
}

// isFailure reports whether an error of a write means that the connection has failed. EPIPE means that it had ended in
// order before.
func isFailure(err error) bool {
	var code syscall.Errno
	return errors.As(err, &code) && code != syscall.EPIPE
}
