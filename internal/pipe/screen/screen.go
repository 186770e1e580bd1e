// Package screen is the pipeline step that refuses quarantined requests. A request is quarantined
// after upstreams crashed while they ran it. It would probably crash each further upstream that
// receives it, which would break all other requests there.
package screen

import (
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/quarantine"
)

// Pipe refuses quarantined requests.
type Pipe struct {
	remainingMs func(fingerprint quarantine.Fingerprint) clock.Millis
}

// New returns the step. The function returns the remaining quarantine time of a fingerprint, or 0.
func New(remainingMs func(fingerprint quarantine.Fingerprint) clock.Millis) *Pipe {
	return &Pipe{remainingMs: remainingMs}
}

// String returns the name of the step in logs.
func (*Pipe) String() string { return "screen" }

// Run refuses a quarantined request without sending it. The Retry-After is the remaining
// quarantine time.
func (p *Pipe) Run(r *opaque.Request) error {
	if remaining := p.remainingMs(r.Fingerprint); remaining > 0 {
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.Quarantined, remaining, nil)
	}
	return nil
}
