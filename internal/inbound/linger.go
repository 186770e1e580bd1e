package inbound

import (
	"time"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/guard"
)

const (
	// lingerMs is how long a caller may go on sending after the last response on its connection.
	lingerMs = 5 * clock.Second
	// lingerSilenceMs is how long it may send nothing without closing the connection.
	lingerSilenceMs = clock.Second
	// maxLingerBytes is how much it may send.
	maxLingerBytes = 64 << 20
	// discardBytes is the size of the buffer in which it is discarded.
	discardBytes = 4 << 10
)

// CloseWrite ends the responses. The server calls it when it has not read a request to its end, and then waits before
// it closes the connection.
func (c *Conn) CloseWrite() error {
	c.linger()
	return nil
}

// linger closes the writing side, and discards what the caller still sends until it closes the connection or a bound is
// reached. The kernel resets a connection that is closed while data arrives, and the caller may lose the last response
// (RFC 9112, section 9.6). It returns false if there is no need, so that the connection can be closed.
func (c *Conn) linger() bool {
	socket, ok := c.Conn.(interface{ CloseWrite() error })
	// While a read waits, not the server's handler but the end of the box closes the connection.
	if !ok || c.state.Load() != connActive || !c.responded.Load() || c.ended.Load() || c.reads.Load() > 0 {
		return false
	}
	c.quietSinceMs.Store(int64(c.listener.clock.Monotonic()))
	if !c.lingering.CompareAndSwap(false, true) {
		return true
	}
	if c.listener.takesSlot() || socket.CloseWrite() != nil {
		c.lingering.Store(false)
		return false
	}
	guard.Go("lingering connection", c.discard)
	return true
}

// discard reads what the caller sends until the connection has lingered, and closes it.
func (c *Conn) discard() {
	buffer := make([]byte, discardBytes)
	now := c.listener.clock.Monotonic()
	untilMs := now + lingerMs
	for discarded := 0; discarded < maxLingerBytes && now < untilMs; now = c.listener.clock.Monotonic() {
		span := min(lingerSilenceMs, untilMs-now)
		c.quietSinceMs.Store(int64(now))
		if c.Conn.SetReadDeadline(time.Now().Add(span.Duration())) != nil {
			break
		}
		n, err := c.Conn.Read(buffer)
		if err != nil {
			break
		}
		discarded += n
	}
	c.reportUnacknowledged()
	// The caller has the response or was waited for, whatever the error.
	_ = c.closeNow()
}

// takesSlot reports whether a new connection waits for the slot of the next one that is closed, which it reports once.
func (l *Listener) takesSlot() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	waiting := l.waiting
	l.waiting = false
	return waiting
}

// endLingering closes the connection that lingers and has been quiet for longest, if it was since a time, and reports
// whether there was one.
func (l *Listener) endLingering(sinceMs int64) bool {
	l.mu.Lock()
	var found *Conn
	for c := range l.conns {
		if c.lingering.Load() && c.quietSinceMs.Load() <= sinceMs {
			found, sinceMs = c, c.quietSinceMs.Load()
		}
	}
	l.mu.Unlock()
	if found == nil {
		return false
	}
	// Its caller has the response or closes too late, whatever the error.
	_ = found.closeNow()
	return true
}
