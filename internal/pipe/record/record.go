// Package record is the last step of every opaque request. It logs and counts the outcome.
package record

import (
	"errors"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/opaque"
)

// Pipe records the outcomes of requests.
type Pipe struct {
	logEvent     func(e decision.Event)
	countOutcome func(kind, outcome string, elapsedMs clock.Millis)
	stateAgeMs   func() clock.Millis
	monotonic    func() clock.Millis
}

// New returns the step. The functions log an event, count an outcome, return the age of the
// routing state, and read the monotonic clock.
func New(
	logEvent func(e decision.Event),
	countOutcome func(kind, outcome string, elapsedMs clock.Millis),
	stateAgeMs, monotonic func() clock.Millis,
) *Pipe {
	return &Pipe{logEvent: logEvent, countOutcome: countOutcome, stateAgeMs: stateAgeMs, monotonic: monotonic}
}

// String returns the name of the step in logs.
func (*Pipe) String() string { return "record" }

// Run records the outcome of a request; err is the error that stopped its steps, or nil.
func (p *Pipe) Run(r *opaque.Request, err error) {
	elapsed := p.monotonic() - r.ArrivedMs
	e := decision.RequestEnded{
		Request: r.ID, Upstream: r.Upstream, Resumes: r.ResumedID(), AgeMs: p.stateAgeMs(), Status: r.Writer.Status(),
		Framing: r.Framing, FromBox: r.FromBox, Attempts: len(r.Tried), Bytes: r.Writer.Written(),
		WaitedMs: r.WaitedMs, TookMs: elapsed,
	}
	if r.Fingerprint != 0 {
		e.Fingerprint = r.Fingerprint.String()
	}
	if r.HeldPart != 0 {
		e.Part = r.HeldPart.String()
	}
	if r.State != nil {
		e.Version = r.State.Version()
	}
	kind := "none"
	if r.Route != nil {
		e.Route, kind = r.Route.Name, string(r.Route.Kind)
	}
	if r.Organisation != nil {
		e.Organisation = r.Organisation.Name
	}
	outcome := "answered"
	var refusal *opaque.RefusalError
	switch {
	case errors.As(err, &refusal):
		e.Cause, e.Err = string(refusal.Cause), refusal.Error()
		outcome = e.Cause
	case errors.Is(err, opaque.ErrAnswered):
		e.Cause, e.Err = "upstream_failed", err.Error()
		outcome = e.Cause
	}
	p.logEvent(e)
	p.countOutcome(kind, outcome, elapsed)
}
