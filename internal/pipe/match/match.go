// Package match is the step that finds the route and the pool of an opaque
// request, and until when it is to be answered.
package match

import (
	"context"
	"net/http"
	"strconv"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/route"
	"dooryard.example/dooryard/internal/routing"
)

// noStateRetryMs is about how long a box takes to get its first routing state.
const noStateRetryMs clock.Millis = 300

// Pipe matches requests.
type Pipe struct {
	state  func(ctx context.Context) *routing.State
	missed func() bool
}

// New returns the step. State returns the routing state in force, or nil when
// there is none; it may wait for a box that has just started to get one. Missed tells
// whether the box may have missed a newer one.
func New(state func(ctx context.Context) *routing.State, missed func() bool) *Pipe {
	return &Pipe{state: state, missed: missed}
}

// String names the step in logs.
func (*Pipe) String() string { return "match" }

// Run finds the route. A request keeps the state that it was matched by.
func (p *Pipe) Run(r *opaque.Request) error {
	r.State = p.state(r.Context())
	if r.State == nil {
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.NoState, noStateRetryMs, nil)
	}
	r.Route = r.State.Match(r.HTTP.Host, r.HTTP.URL.Path)
	switch {
	case r.Route == nil && p.missed():
		// The route may be newer than the state: another box may know it.
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.StaleState, noStateRetryMs, nil)
	case r.Route == nil:
		return opaque.NewRefusal(http.StatusNotFound, opaque.NoRoute, 0, nil)
	}
	r.Prompt = opaque.ParsePrompt(r.HTTP.Header.Get(r.Dialect.Prompt))
	r.Pool = r.Route.PoolFor(draw(r))
	r.DeadlineMs = r.ArrivedMs + holdMs(r)
	return nil
}

// draw is the same for all requests of a session, so that they meet one pool.
func draw(r *opaque.Request) uint64 {
	if r.Route.Sticky && len(r.Prompt) > 1 {
		return route.HashName(r.Prompt.Session())
	}
	return route.HashName(r.ID)
}

// holdMs is how long the request may be held: what the operators allow, or what
// the caller waits if that is less.
func holdMs(r *opaque.Request) clock.Millis {
	wait, err := strconv.ParseInt(r.HTTP.Header.Get(r.Dialect.DeadlineMs), 10, 64)
	if err != nil || wait <= 0 {
		return r.Route.TimeoutMs
	}
	return min(r.Route.TimeoutMs, clock.Millis(wait))
}
