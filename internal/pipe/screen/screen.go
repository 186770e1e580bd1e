// Package screen is the pipeline step that refuses quarantined requests. A request is quarantined
// after upstreams crashed while they ran it, or other requests that share a part of its prompt. It would
// probably crash each further upstream that receives it, which would break all other requests there.
package screen

import (
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/quarantine"
)

// Dependencies are the parts of the box that the step uses.
type Dependencies struct {
	// RemainingMs returns the remaining quarantine time of a fingerprint, or 0.
	RemainingMs func(fingerprint quarantine.Fingerprint) clock.Millis
	// ScreenParts decides on a request by the parts of its prompt. RescreenParts does so again later.
	ScreenParts   func(parts quarantine.Parts) quarantine.Verdict
	RescreenParts func(parts quarantine.Parts) quarantine.Verdict
	// ReturnTrial lets another request be the trial request with a part.
	ReturnTrial func(part quarantine.PartKey)
}

// Pipe refuses quarantined requests.
type Pipe struct {
	deps Dependencies
}

// New returns the step.
func New(d Dependencies) *Pipe { return &Pipe{deps: d} }

// String returns the name of the step in logs.
func (*Pipe) String() string { return "screen" }

// Run refuses a quarantined request without sending it. The Retry-After is the remaining
// quarantine time.
func (p *Pipe) Run(r *opaque.Request) error {
	if err := p.screenContent(r); err != nil {
		return err
	}
	v := p.deps.ScreenParts(r.Parts)
	r.HeldPart, r.Trial = v.Part, v.Trial
	return refusalOf(v)
}

// Rescreen refuses a request that was quarantined after Run. A trial request is sent once.
func (p *Pipe) Rescreen(r *opaque.Request) error {
	if err := p.screenContent(r); err != nil {
		return err
	}
	if r.Trial && r.Sent == 0 {
		return nil
	}
	v := p.deps.RescreenParts(r.Parts)
	if v.Refused() {
		r.HeldPart = v.Part
	}
	return refusalOf(v)
}

// Done lets another request be the trial request if this one reached no upstream.
func (p *Pipe) Done(r *opaque.Request) {
	if r.Trial && r.Sent == 0 {
		p.deps.ReturnTrial(r.HeldPart)
	}
}

func (p *Pipe) screenContent(r *opaque.Request) error {
	if remaining := p.deps.RemainingMs(r.Fingerprint); remaining > 0 {
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.Quarantined, remaining, nil)
	}
	return nil
}

func refusalOf(v quarantine.Verdict) error {
	if !v.Refused() {
		return nil
	}
	return opaque.NewRefusal(opaque.NotRunStatus, opaque.PartQuarantined, v.RemainingMs, nil)
}
