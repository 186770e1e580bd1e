package decision

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"dooryard.example/dooryard/internal/clock"
)

// UpstreamChanged records a change of an upstream's state.
type UpstreamChanged struct {
	Upstream string
	Pool     string
	Address  string
	// SoftwareVersion is the version of the upstream's software, if known.
	SoftwareVersion string
	// State is "taking work", "draining" or "gone".
	State string
	// ColdMs is how much longer the upstream is cold.
	ColdMs clock.Millis
	Source string
}

// Name implements Event.
func (UpstreamChanged) Name() string { return "upstream changed" }

// Routine implements Event.
func (UpstreamChanged) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e UpstreamChanged) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("upstream", e.Upstream)
	addIfSet(o, "pool", e.Pool)
	addIfSet(o, "address", e.Address)
	addIfSet(o, "software_version", e.SoftwareVersion)
	o.AddString("state", e.State)
	if e.ColdMs > 0 {
		o.AddInt64("cold_ms", int64(e.ColdMs))
	}
	addIfSet(o, "source", e.Source)
	return nil
}

// UpstreamRestarted records that a stream does not go on at an upstream whose process is not the one of its entry.
type UpstreamRestarted struct {
	Request, Upstream, Pool string
	// StartedMs is the start time that the process tells.
	StartedMs clock.Millis
}

// Name implements Event.
func (UpstreamRestarted) Name() string { return "upstream restarted before its entry" }

// Routine implements Event.
func (UpstreamRestarted) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e UpstreamRestarted) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("request", e.Request)
	o.AddString("upstream", e.Upstream)
	o.AddString("pool", e.Pool)
	o.AddInt64("started_ms", int64(e.StartedMs))
	return nil
}

// UpstreamSignaled records the first response in which an upstream asked this box to back off
// or announced that it is draining.
type UpstreamSignaled struct {
	Upstream string
	Pool     string
	// BackoffMs is the requested backoff, or 0 if the upstream is draining.
	BackoffMs clock.Millis
	// Request is the id of the request whose response carried the signal.
	Request string
}

// Name implements Event.
func (e UpstreamSignaled) Name() string {
	if e.BackoffMs > 0 {
		return "upstream asks for rest"
	}
	return "upstream says it leaves"
}

// Routine implements Event.
func (UpstreamSignaled) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e UpstreamSignaled) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("upstream", e.Upstream)
	o.AddString("pool", e.Pool)
	if e.BackoffMs > 0 {
		o.AddInt64("rest_ms", int64(e.BackoffMs))
	}
	o.AddString("answer_to", e.Request)
	return nil
}

// UpstreamRejected records that a brittle upstream rejected a request of this box for want of room.
type UpstreamRejected struct {
	Upstream string
	Pool     string
	// Request is the id of the request.
	Request string
}

// Name implements Event.
func (UpstreamRejected) Name() string { return "brittle upstream rejected" }

// Routine implements Event.
func (UpstreamRejected) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e UpstreamRejected) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("upstream", e.Upstream)
	o.AddString("pool", e.Pool)
	o.AddString("request", e.Request)
	return nil
}

// UpstreamCrashed records that an upstream's connections broke and its host refuses new ones.
type UpstreamCrashed struct {
	Upstream string
	// Fingerprints identify the content of this box's requests whose connections to the
	// upstream broke.
	Fingerprints []string
	// Parts are the keys of the prompt parts that these requests share with others.
	Parts []string
}

// Name implements Event.
func (UpstreamCrashed) Name() string { return "upstream ended" }

// Routine implements Event.
func (UpstreamCrashed) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e UpstreamCrashed) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("upstream", e.Upstream)
	zap.Strings("fingerprints", e.Fingerprints).AddTo(o)
	if len(e.Parts) > 0 {
		zap.Strings("parts", e.Parts).AddTo(o)
	}
	return nil
}
