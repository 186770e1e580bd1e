// Package authorise is the step that finds whose key an opaque request carries,
// and refuses keys when the box can't know that they are still valid.
package authorise

import (
	"net/http"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/opaque"
)

// staleRetryMs is how long the entry takes to send a caller elsewhere, or a
// source of routing state to come back.
const staleRetryMs clock.Millis = 500

// Pipe authorises requests.
type Pipe struct {
	ageMs    func() clock.Millis
	maxAgeMs func() clock.Millis
	missed   func() bool
}

// New returns the step. AgeMs is how long ago the state in force was proved to
// be the newest, maxAgeMs how old the proof may be by which keys are accepted; 0 sets no
// bound. Missed reports whether the box may have missed a newer state.
func New(ageMs, maxAgeMs func() clock.Millis, missed func() bool) *Pipe {
	return &Pipe{ageMs: ageMs, maxAgeMs: maxAgeMs, missed: missed}
}

// String names the step in logs.
func (*Pipe) String() string { return "authorise" }

// Vouch refuses a request that needs a key while the proof is too old to trust keys by.
func (p *Pipe) Vouch(r *opaque.Request) error {
	if r.Route.Public || !r.State.Keyed() {
		return nil
	}
	if bound := p.maxAgeMs(); bound > 0 && p.ageMs() >= bound {
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.StaleState, staleRetryMs, nil)
	}
	return nil
}

// Run finds the organisation.
func (p *Pipe) Run(r *opaque.Request) error {
	if r.Route.Public || !r.State.Keyed() {
		return nil
	}
	if err := p.Vouch(r); err != nil {
		return err
	}
	r.Organisation = r.State.Organisation(r.Dialect.Key(r.HTTP.Header))
	switch {
	case r.Organisation != nil:
		return nil
	case p.missed():
		// The key may be newer than the state: another box may know it.
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.StaleState, staleRetryMs, nil)
	default:
		return opaque.NewRefusal(http.StatusUnauthorized, opaque.UnknownKey, 0, nil)
	}
}
