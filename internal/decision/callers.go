package decision

import "go.uber.org/zap/zapcore"

// CallerCutOff records that a caller was cut off because it did not read its response in time.
type CallerCutOff struct {
	Request  string
	Upstream string
	// HeldBytes is how much of the response the box held for the caller, and SentBytes how much it sent before.
	HeldBytes int
	SentBytes int64
	// Reason is why: stalled, buffer_full, below_min_rate or overdue.
	Reason string
}

// Name implements Event.
func (CallerCutOff) Name() string { return "caller cut off" }

// Routine implements Event.
func (CallerCutOff) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e CallerCutOff) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("request", e.Request)
	addIfSet(o, "upstream", e.Upstream)
	o.AddInt("held_bytes", e.HeldBytes)
	o.AddInt64("sent_bytes", e.SentBytes)
	o.AddString("reason", e.Reason)
	return nil
}

// ResponseDelayed records that a buffered response is not read further until the box has memory for it.
type ResponseDelayed struct {
	Request  string
	Upstream string
	// UsedBytes is what the box holds of responses, LimitBytes what it may hold.
	UsedBytes, LimitBytes int64
}

// Name implements Event.
func (ResponseDelayed) Name() string { return "response delayed" }

// Routine implements Event.
func (ResponseDelayed) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e ResponseDelayed) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("request", e.Request)
	addIfSet(o, "upstream", e.Upstream)
	o.AddInt64("used_bytes", e.UsedBytes)
	o.AddInt64("limit_bytes", e.LimitBytes)
	return nil
}

// ConnectionCut records that the box closed a connection before all requests on it had a response.
type ConnectionCut struct {
	// Request is the request that was processed last, if any.
	Request string
	// Caller is the address of the caller, and Listener the name of the listener.
	Caller, Listener string
	// Reason is what the connection had then: head_incomplete, unread, no_response, response_incomplete or
	// unacknowledged.
	Reason string
	// SentBytes is how much of the response was written. Outstanding is set if the caller's machine has not acknowledged
	// all of it, and Reset if the connection is not closed in order.
	SentBytes          int64
	Outstanding, Reset bool
}

// Name implements Event.
func (ConnectionCut) Name() string { return "connection cut" }

// Routine implements Event.
func (ConnectionCut) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e ConnectionCut) MarshalLogObject(o zapcore.ObjectEncoder) error {
	addIfSet(o, "request", e.Request)
	o.AddString("caller", e.Caller)
	o.AddString("listener", e.Listener)
	o.AddString("reason", e.Reason)
	o.AddInt64("sent_bytes", e.SentBytes)
	o.AddBool("outstanding", e.Outstanding)
	o.AddBool("reset", e.Reset)
	return nil
}
