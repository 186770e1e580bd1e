package decision

import (
	"go.uber.org/zap/zapcore"

	"dooryard.example/dooryard/internal/clock"
)

// Quarantine is what the events of quarantines have in common.
type Quarantine struct {
	// Upstreams is the number of upstreams that crashed while they ran such requests.
	Upstreams int
	// HoldMs is the duration of the quarantine, of its first hold if there are several, or 0 on release because an
	// upstream answered such a request.
	HoldMs clock.Millis
	// Source is where the information came from: this box, another one or the store.
	Source string
}

// Routine implements Event.
func (Quarantine) Routine() bool { return false }

// nameOf returns the name of an event about something that is quarantined or released.
func (q Quarantine) nameOf(what string) string {
	if q.HoldMs > 0 {
		return what + " quarantined"
	}
	return what + " released"
}

func (q Quarantine) addTo(o zapcore.ObjectEncoder) {
	o.AddString("source", q.Source)
	if q.HoldMs > 0 {
		o.AddInt("upstreams_ended", q.Upstreams)
		o.AddInt64("hold_ms", int64(q.HoldMs))
	}
}

// Quarantined records that requests with a fingerprint are quarantined or released.
type Quarantined struct {
	Fingerprint string
	Quarantine
}

// Name implements Event.
func (e Quarantined) Name() string { return e.nameOf("request") }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e Quarantined) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("fingerprint", e.Fingerprint)
	e.addTo(o)
	return nil
}

// PartQuarantined records that requests with a part of a prompt are quarantined or released.
type PartQuarantined struct {
	// Part is the key of the part.
	Part string
	Quarantine
}

// Name implements Event.
func (e PartQuarantined) Name() string { return e.nameOf("prompt part") }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e PartQuarantined) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("part", e.Part)
	e.addTo(o)
	return nil
}
