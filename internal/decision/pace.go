package decision

import (
	"go.uber.org/zap/zapcore"

	"dooryard.example/dooryard/internal/clock"
)

// UpstreamPace records that an upstream turned slow, or is at its usual pace again. At most 10 in 10 s are logged.
type UpstreamPace struct {
	Upstream string
	Pool     string
	// Percent is how long work takes there in percent of the usual time.
	Percent int
	// Slow is set if it turned slow. Other upstreams are preferred for HoldMs then.
	Slow   bool
	HoldMs clock.Millis
	// Source is where the pace was learnt from: "reported", "learnt", "overdue" (a request without a response) or
	// "another box".
	Source string
	// Omitted is the number of changes before this one that are not logged.
	Omitted int
}

// Name implements Event.
func (e UpstreamPace) Name() string {
	if e.Slow {
		return "upstream slow"
	}
	return "upstream at usual pace"
}

// Routine implements Event.
func (UpstreamPace) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e UpstreamPace) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("upstream", e.Upstream)
	o.AddString("pool", e.Pool)
	o.AddInt("percent", e.Percent)
	if e.Slow {
		o.AddInt64("hold_ms", int64(e.HoldMs))
	}
	o.AddString("source", e.Source)
	if e.Omitted > 0 {
		o.AddInt("omitted", e.Omitted)
	}
	return nil
}
