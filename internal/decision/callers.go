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
