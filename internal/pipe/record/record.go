// Package record is the last step of every opaque request: it counts how the
// request ended and tells the log.
package record

import (
	"errors"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/opaque"
)

// Pipe records ends.
type Pipe struct {
	tell   func(e decision.Event)
	count  func(kind, end string, tookMs clock.Millis)
	ageMs  func() clock.Millis
	steady func() clock.Millis
}

// New returns the step. Count takes the request's kind, how it ended and the
// time it took.
func New(
	tell func(e decision.Event), count func(kind, end string, tookMs clock.Millis), ageMs, steady func() clock.Millis,
) *Pipe {
	return &Pipe{tell: tell, count: count, ageMs: ageMs, steady: steady}
}

// String names the step in logs.
func (*Pipe) String() string { return "record" }

// Run records the end of a request; err is what ended its steps, if anything.
func (p *Pipe) Run(r *opaque.Request, err error) {
	took := p.steady() - r.ArrivedMs
	e := decision.Ended{
		Request: r.ID, Upstream: r.Upstream, AgeMs: p.ageMs(), Status: r.Writer.Status(),
		Attempts: len(r.Tried), Bytes: r.Writer.Written(), TookMs: took,
	}
	if r.Fingerprint != 0 {
		e.Fingerprint = r.Fingerprint.String()
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
	end := "answered"
	var refusal *opaque.RefusalError
	switch {
	case errors.As(err, &refusal):
		e.Cause, e.Err = string(refusal.Cause), refusal.Error()
		end = e.Cause
	case errors.Is(err, opaque.ErrAnswered):
		e.Cause, e.Err = "upstream_failed", err.Error()
		end = e.Cause
	}
	p.tell(e)
	p.count(kind, end, took)
}
