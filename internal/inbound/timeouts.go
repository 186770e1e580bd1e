package inbound

import (
	"time"

	"dooryard.example/dooryard/internal/clock"
)

// lateReadMs is the deadline of a read that failed by its deadline though bytes wait. It doesn't have to wait for them.
const lateReadMs = clock.Second

// Timeouts are limits on what callers may do with a connection.
type Timeouts struct {
	// HeaderMs is how long they may take for the head of a request, and IdleMs how long the connection may rest
	// between two requests.
	HeaderMs, IdleMs clock.Millis
}

// WithTimeouts makes connections outlast the server's own time limits while those that callers may use up are longer.
// The function returns those in force.
func WithTimeouts(timeouts func() Timeouts) Option {
	return func(l *Listener) { l.timeouts = timeouts }
}

// extendRead moves the deadline by which a read has failed while no request was handled, and returns false if the
// caller has used up its time. Bytes that wait have arrived in time: the process may have been paused since, and a read
// checks its deadline first.
func (c *Conn) extendRead() bool {
	if c.handling.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	deadline := c.readDeadlineSet.Add(c.timeout().Duration())
	switch {
	case c.listener.kernel.HasUnread(c.Conn):
		deadline = now.Add(lateReadMs.Duration())
	case !now.Before(deadline):
		return false
	}
	return c.Conn.SetReadDeadline(deadline) == nil
}

// dropDeadline removes the deadline of a read by which the server learns, while a handler runs, that the caller has
// left. It was set for the body, which was read, and the server would take its end for that of the caller, also for all
// later requests. It returns false if no handler runs, or if the server has ended the read by a deadline in the past.
func (c *Conn) dropDeadline() bool {
	if !c.handling.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.readDeadline.IsZero() && c.readDeadline.Before(c.readDeadlineSet) {
		return false
	}
	c.readDeadline = time.Time{}
	return c.Conn.SetReadDeadline(c.readDeadline) == nil
}

// timeout returns how long the caller may take for what the server waits for.
func (c *Conn) timeout() clock.Millis {
	switch {
	case c.listener.timeouts == nil:
		return 0
	case c.state.Load() == connIdle:
		return c.listener.timeouts().IdleMs
	default:
		return c.listener.timeouts().HeaderMs
	}
}
