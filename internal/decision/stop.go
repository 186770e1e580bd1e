package decision

import "go.uber.org/zap/zapcore"

// Stop records a stage of the box's stop.
type Stop struct {
	// Stage is "stopping", "listeners close", "requests cut" or "stopped".
	Stage string
	// InFlight is the number of requests that the box is serving at that time.
	InFlight int64
	// ClosedIdle and KeptUnread are the numbers of connections that the box has closed, until now, since their callers
	// kept them without a request, and that it left open since a request waited to be read.
	ClosedIdle, KeptUnread int64
	Err                    string
}

// Name implements Event.
func (e Stop) Name() string { return e.Stage }

// Routine implements Event.
func (Stop) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e Stop) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddInt64("in_flight", e.InFlight)
	o.AddInt64("closed_idle", e.ClosedIdle)
	o.AddInt64("kept_unread", e.KeptUnread)
	addIfSet(o, "note", e.Err)
	return nil
}
