// Package authorise is the pipeline step that resolves the API key of an opaque request to an
// organisation. It rejects keys while the routing state is too old to rule out that they were
// revoked.
package authorise

import (
	"net/http"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/routing"
)

// staleRetryMs is the Retry-After of requests refused for a stale routing state: the time for the
// front load balancer to switch to another box, or for a source of routing state to recover.
const staleRetryMs clock.Millis = 500

// Pipe authorises requests by their API key.
type Pipe struct {
	stateAgeMs    func() clock.Millis
	maxStateAgeMs func() clock.Millis
	mayBeStale    func() bool
}

// New returns the step. The first function returns the time since the active routing state was
// last confirmed to be the newest, the second one the age from which keys are no longer accepted
// (0 disables the check). The third one reports whether a newer state may exist that the box has
// not received.
func New(stateAgeMs, maxStateAgeMs func() clock.Millis, mayBeStale func() bool) *Pipe {
	return &Pipe{stateAgeMs: stateAgeMs, maxStateAgeMs: maxStateAgeMs, mayBeStale: mayBeStale}
}

// String returns the name of the step in logs.
func (*Pipe) String() string { return "authorise" }

// Recheck refuses a request that needs a key while the routing state is too old to trust its keys.
func (p *Pipe) Recheck(r *opaque.Request) error {
	if r.Route.Public || !r.State.RequiresKey() {
		return nil
	}
	if maxAge := p.maxStateAgeMs(); maxAge > 0 && p.stateAgeMs() >= maxAge {
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.StaleState, staleRetryMs, nil)
	}
	return nil
}

// Reauthorise refuses a request that waited after Run, if its key is not valid by a newer routing state or the state is
// too old to trust its keys.
func (p *Pipe) Reauthorise(r *opaque.Request, newest *routing.State) error {
	if err := p.Recheck(r); err != nil {
		return err
	}
	if r.Organisation == nil || newest.Organisation(r.Dialect.Key(r.HTTP.Header)) != nil {
		return nil
	}
	return opaque.NewRefusal(http.StatusUnauthorized, opaque.UnknownKey, 0, nil)
}

// Run resolves the key of the request to its organisation.
func (p *Pipe) Run(r *opaque.Request) error {
	if r.Route.Public || !r.State.RequiresKey() {
		return nil
	}
	if err := p.Recheck(r); err != nil {
		return err
	}
	r.Organisation = r.State.Organisation(r.Dialect.Key(r.HTTP.Header))
	switch {
	case r.Organisation != nil:
		return nil
	case p.mayBeStale():
		// The key may be newer than the state, and another box may have it.
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.StaleState, staleRetryMs, nil)
	default:
		return opaque.NewRefusal(http.StatusUnauthorized, opaque.UnknownKey, 0, nil)
	}
}
