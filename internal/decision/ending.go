package decision

import (
	"go.uber.org/zap/zapcore"

	"dooryard.example/dooryard/internal/clock"
)

// EndUnconfirmed records a response without length or chunks that is taken for complete because connections are
// accepted at the address of its upstream, which has not responded since.
type EndUnconfirmed struct {
	Request  string
	Upstream string
	Pool     string
	// Events is the number of events of a stream that the caller has, and LastEventID the ID of the last one.
	Events      int
	LastEventID string
	TookMs      clock.Millis
}

// Name implements Event.
func (EndUnconfirmed) Name() string { return "end unconfirmed" }

// Routine implements Event.
func (EndUnconfirmed) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e EndUnconfirmed) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("request", e.Request)
	o.AddString("upstream", e.Upstream)
	o.AddString("pool", e.Pool)
	addEvents(o, e.Events, e.LastEventID)
	o.AddInt64("took_ms", int64(e.TookMs))
	return nil
}
