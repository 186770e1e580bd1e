// Package screen is the step that refuses requests under which upstreams have ended: each
// more upstream that gets one would end too, with all that runs there.
package screen

import (
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/quarantine"
)

// Pipe screens requests.
type Pipe struct {
	heldMs func(fingerprint quarantine.Fingerprint) clock.Millis
}

// New returns the step. HeldMs tells how much longer a fingerprint is held back.
func New(heldMs func(fingerprint quarantine.Fingerprint) clock.Millis) *Pipe {
	return &Pipe{heldMs: heldMs}
}

// String names the step in logs.
func (*Pipe) String() string { return "screen" }

// Run refuses what is held back at once: nothing ran, and the caller hears when it may
// come again.
func (p *Pipe) Run(r *opaque.Request) error {
	if held := p.heldMs(r.Fingerprint); held > 0 {
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.Quarantined, held, nil)
	}
	return nil
}
