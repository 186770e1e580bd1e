// Package record is the last step of every opaque request. It logs and counts the outcome.
package record

import (
	"errors"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/opaque"
)

// Dependencies are the parts of the box that the step uses.
type Dependencies struct {
	// LogEvent logs an event.
	LogEvent func(e decision.Event)
	// CountOutcome counts an outcome.
	CountOutcome func(kind, outcome string, elapsedMs clock.Millis)
	// CountLead counts by how much a response was sent before its caller's deadline. A last response was made by the box
	// since the time of the request was over.
	CountLead func(leadMs clock.Millis, isLast bool)
	// StateAgeMs returns the age of the routing state.
	StateAgeMs func() clock.Millis
	// LatenessMs returns by how much the box was late lately when it acted at a set time.
	LatenessMs func() clock.Millis
	// Monotonic reads the monotonic clock.
	Monotonic func() clock.Millis
}

// Pipe records the outcomes of requests.
type Pipe struct {
	deps Dependencies
}

// New returns the step.
func New(d Dependencies) *Pipe { return &Pipe{deps: d} }

// String returns the name of the step in logs.
func (*Pipe) String() string { return "record" }

// Run records the outcome of a request; err is the error that stopped its steps, or nil.
func (p *Pipe) Run(r *opaque.Request, err error) {
	now := p.deps.Monotonic()
	elapsed := now - r.ArrivedMs
	e := decision.RequestEnded{
		Request: r.ID, Upstream: r.Upstream, Resumes: r.ResumedID(), AgeMs: p.deps.StateAgeMs(), Status: r.Writer.Status(),
		Framing: r.Framing, End: string(r.End), Events: r.Events, LastEventID: r.RelayedID, FromBox: r.FromBox,
		Attempts: len(r.Tried), Sent: r.Sent, Bytes: r.Writer.Written(),
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
	if r.WaitsUntilMs != 0 && r.Writer.Started() {
		e.Timed, e.LeadMs, e.RoundTripMs, e.LatenessMs = true, r.WaitsUntilMs-now, r.Path.RoundTripMs, p.deps.LatenessMs()
		p.deps.CountLead(e.LeadMs, refusal != nil && refusal.Cause.EndsTime())
	}
	p.deps.LogEvent(e)
	p.deps.CountOutcome(kind, outcome, elapsed)
}
