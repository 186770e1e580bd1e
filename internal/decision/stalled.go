package decision

import (
	"go.uber.org/zap/zapcore"

	"dooryard.example/dooryard/internal/clock"
)

// PoolStalled is the decision that a pool is stalled for this box: connections open, and nothing comes back.
type PoolStalled struct {
	Pool string
	// Attempts are those of this box that got no response. The oldest began FromMs ago, the newest ToMs.
	Attempts     int
	FromMs, ToMs clock.Millis
	// OthersStarted and OthersAnswered are the attempts of another box in that span, and those that got a response.
	OthersStarted, OthersAnswered int
}

// Name implements Event.
func (PoolStalled) Name() string { return "pool stalled" }

// Routine implements Event.
func (PoolStalled) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e PoolStalled) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("pool", e.Pool)
	o.AddInt("unanswered", e.Attempts)
	o.AddInt64("from_age_ms", int64(e.FromMs))
	o.AddInt64("to_age_ms", int64(e.ToMs))
	o.AddInt("others_started", e.OthersStarted)
	o.AddInt("others_answered", e.OthersAnswered)
	return nil
}

// UpstreamStalled records that an upstream gets no new requests because it responds neither to some nor to a health
// check, or that it responds again.
type UpstreamStalled struct {
	Upstream string
	Pool     string
	// Unanswered is the number of attempts that got no response, the first one SilentMs ago.
	Unanswered int
	SilentMs   clock.Millis
	// Responds is set if it responds again.
	Responds bool
}

// Name implements Event.
func (e UpstreamStalled) Name() string {
	if e.Responds {
		return "upstream responds again"
	}
	return "upstream stalled"
}

// Routine implements Event.
func (UpstreamStalled) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e UpstreamStalled) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("upstream", e.Upstream)
	o.AddString("pool", e.Pool)
	o.AddInt("unanswered", e.Unanswered)
	o.AddInt64("silent_ms", int64(e.SilentMs))
	return nil
}
