package inbound

import "sync/atomic"

// CutReason says what a connection had that was closed before all of its requests had a response. Its values are
// written to logs and metrics.
type CutReason string

// Reasons for which a closed connection counts as cut.
const (
	// HeadIncomplete means that a part of the head of a request was read.
	HeadIncomplete CutReason = "head_incomplete"
	// Unread means that bytes of the caller waited to be read, and no request was.
	Unread CutReason = "unread"
	// NoResponse means that nothing was sent in response to a request.
	NoResponse CutReason = "no_response"
	// ResponseIncomplete means that a part of the response was sent.
	ResponseIncomplete CutReason = "response_incomplete"
	// Unacknowledged means that the caller's machine did not acknowledge the end of a complete response while the
	// connection lingered.
	Unacknowledged CutReason = "unacknowledged"
	// CallerLeft means that the caller has ended or reset the connection before.
	CallerLeft CutReason = "caller_left"
)

// Cut is a connection that was closed before all of its requests had a response.
type Cut struct {
	Reason CutReason
	// Caller is the address of the caller.
	Caller string
	// Request is the request that was processed last, or "".
	Request string
	// SentBytes is how much of the response was written, including its head.
	SentBytes int64
	// Outstanding is set if the caller's machine has not acknowledged all that was written.
	Outstanding bool
	// Reset is set if the connection is reset and not closed in order.
	Reset bool
}

// WithCuts sets a function that is called once for each connection that is cut.
func WithCuts(onCut func(c Cut)) Option { return func(l *Listener) { l.onCut = onCut } }

// pending is the request of a connection that has no complete response yet.
type pending struct {
	request atomic.Pointer[string]
	open    atomic.Bool
	// handled is set once the handler was called since the connection was idle.
	handled atomic.Bool
	// sentBytes is how much was written since the connection was idle.
	sentBytes atomic.Int64
	// reported is set once the end of the connection was looked at.
	reported atomic.Bool
}

// BeginRequest records that a request is processed, until EndRequest is called.
func (c *Conn) BeginRequest(request string) {
	if c == nil {
		return
	}
	c.pending.request.Store(&request)
	c.pending.open.Store(true)
}

// EndRequest records that the response to a request is complete.
func (c *Conn) EndRequest() {
	if c != nil {
		c.pending.open.Store(false)
	}
}

// reportCut is called before the connection is closed.
func (c *Conn) reportCut() {
	if c.listener.onCut == nil || !c.pending.reported.CompareAndSwap(false, true) {
		return
	}
	if reason := c.cutReason(); reason != "" {
		c.report(reason)
	}
}

// cutReason returns why the connection is cut by being closed now, or nothing.
func (c *Conn) cutReason() CutReason {
	state, sent := c.state.Load(), c.pending.sentBytes.Load() > 0
	switch {
	case c.pending.open.Load() && sent:
		return ResponseIncomplete
	case c.pending.open.Load():
		return NoResponse
	case state == connActive && !c.pending.handled.Load() && !sent && !c.listener.encrypted:
		return HeadIncomplete
	case state != connActive && c.listener.kernel.HasUnread(c.Conn):
		return Unread
	default:
		return ""
	}
}

// reportUnacknowledged is called when the connection has lingered.
func (c *Conn) reportUnacknowledged() {
	s := signOf(c.listener.kernel, c.Conn)
	if c.listener.onCut != nil && !c.pending.open.Load() && s.open && s.outstanding {
		c.report(Unacknowledged)
	}
}

func (c *Conn) report(reason CutReason) {
	s := signOf(c.listener.kernel, c.Conn)
	cut := Cut{
		Reason: reason, Caller: c.RemoteAddr().String(), SentBytes: c.pending.sentBytes.Load(), Outstanding: s.outstanding,
		Reset: c.broken.Load(),
	}
	if request := c.pending.request.Load(); request != nil {
		cut.Request = *request
	}
	if c.ended.Load() || c.raw != nil && !s.open {
		cut.Reason = CallerLeft
	}
	c.listener.onCut(cut)
}
