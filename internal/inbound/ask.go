package inbound

import (
	"errors"

	"golang.org/x/sys/unix"

	"dooryard.example/dooryard/internal/socket"
)

// resetLinger makes the kernel reset the connection when it is closed, also at the end of the process.
const resetLinger = 0

// ask sends the caller something that its kernel acknowledges or refuses and that changes no response, and reports
// whether there was anything to send.
func (c *Conn) ask() (sent bool, err error) {
	if !c.writing.TryLock() {
		// What is being written is a question itself.
		return false, nil
	}
	defer c.writing.Unlock()
	if c.unread != nil && c.unread.Holds() {
		return false, nil
	}
	if c.framing.stage == head {
		err = c.writeWhole([]byte(interimResponse))
		return err == nil, err
	}
	return c.sendAhead()
}

// sendAhead sends a byte of the response that is known before the server writes it. Some callers take a response that
// ends behind such a byte for a complete one, so that a connection that ends there is reset. The lock for writing must
// be held.
func (c *Conn) sendAhead() (sent bool, err error) {
	next := c.framing.next()
	if next == "" || c.tear() != nil {
		return false, nil
	}
	if err = c.writeWhole([]byte(next)); err != nil {
		if c.framing.ahead == 0 {
			c.mend()
		}
		return false, err
	}
	c.framing.ahead++
	return true, nil
}

// isMute reports whether the caller can't be asked, since a response has begun of which no byte is known before it is
// written.
func (c *Conn) isMute() bool {
	if !c.writing.TryLock() {
		// What is being written is a question itself.
		return false
	}
	defer c.writing.Unlock()
	return c.framing.stage == unframedRest
}

// tear makes any end of the connection a reset, until mend is called. The lock for writing must be held.
func (c *Conn) tear() error {
	if c.torn {
		return nil
	}
	err := c.setLinger(resetLinger)
	c.torn = err == nil
	return err
}

// mend ends what tear began, unless the response ends with its connection or was broken off. The lock for writing must
// be held.
func (c *Conn) mend() {
	if !c.torn {
		return
	}
	c.torn = false
	if !c.broken.Load() {
		// If it fails, the connection has failed.
		_ = c.setLinger(keepLinger)
	}
}

// writeWhole writes data that the kernel takes at once, or fails.
func (c *Conn) writeWhole(data []byte) error {
	if c.unread != nil {
		return c.unread.WriteWhole(data)
	}
	n, err := c.writeNow(data)
	if n > 0 && err != nil {
		// What is written next would be taken for the rest.
		c.reset()
	}
	return err
}

// writeNow writes as much data as the kernel takes at once. A connection without a socket waits for its caller.
func (c *Conn) writeNow(data []byte) (n int, err error) {
	if c.raw == nil {
		return c.Conn.Write(data) //nolint:wrapcheck // The caller compares it.
	}
	// A deadline of an earlier write may have passed.
	closed := c.raw.Control(func(fd uintptr) { n, err = socket.Write(int(fd), data) })
	n = max(0, n)
	if err == nil && n < len(data) {
		err = unix.EAGAIN
	}
	return n, errors.Join(closed, err)
}
