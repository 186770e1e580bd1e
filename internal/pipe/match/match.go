// Package match is the pipeline step that selects the route and the pool of an opaque
// request and sets its deadline.
package match

import (
	"context"
	"net/http"
	"strconv"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/route"
	"dooryard.example/dooryard/internal/routing"
	"dooryard.example/dooryard/internal/urlpath"
)

// noStateRetryMs is the Retry-After of requests refused for a missing or stale routing state,
// about the time that a box needs to load its first one.
const noStateRetryMs clock.Millis = 300

// Dependencies are the parts of the box that the step uses.
type Dependencies struct {
	// State returns the active routing state, or nil if there is none; it may block while a box that has just started
	// loads one.
	State func(ctx context.Context) *routing.State
	// MayBeStale reports whether a newer state may exist that the box has not received.
	MayBeStale func() bool
	// LeadMs returns by how much the last response has to leave before the deadline of a caller that waits for waitMs.
	LeadMs func(r *opaque.Request, waitMs clock.Millis) clock.Millis
	Clock  clock.Clock
}

// Pipe matches requests to routes.
type Pipe struct {
	deps Dependencies
}

// New returns the step.
func New(d Dependencies) *Pipe { return &Pipe{deps: d} }

// String returns the name of the step in logs.
func (*Pipe) String() string { return "match" }

// Run selects the route. The request keeps the routing state that it was matched against.
func (p *Pipe) Run(r *opaque.Request) error {
	p.setRequestedDeadline(r)
	r.State = p.awaitState(r)
	if r.State == nil {
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.NoState, noStateRetryMs, nil)
	}
	if r.State.Version() < r.MinVersion {
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.StaleState, noStateRetryMs, nil)
	}
	r.Route = r.State.Match(r.HTTP.Host, urlpath.Sent(r.HTTP.URL))
	switch {
	case r.Route == nil && p.deps.MayBeStale():
		// The route may be newer than the state, and another box may have it.
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.StaleState, noStateRetryMs, nil)
	case r.Route == nil:
		return opaque.NewRefusal(http.StatusNotFound, opaque.NoRoute, 0, nil)
	}
	r.Prompt = opaque.ParsePrompt(r.HTTP.Header.Get(r.Dialect.Prompt))
	r.Pool = r.Route.PoolFor(splitHash(r))
	p.limitToRoute(r)
	if r.RemainingMs(p.deps.Clock.Monotonic()) <= 0 {
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.DeadlineExceededBeforeSend, 0, nil)
	}
	return nil
}

// awaitState returns the routing state. It does not wait longer than the caller does.
func (p *Pipe) awaitState(r *opaque.Request) *routing.State {
	if r.WaitsUntilMs == 0 {
		return p.deps.State(r.Context())
	}
	ctx, cancel := p.deps.Clock.WithTimeout(r.Context(), max(1, r.RemainingMs(p.deps.Clock.Monotonic())))
	defer cancel()
	return p.deps.State(ctx)
}

// splitHash returns the hash that selects a pool in a weighted split. On sticky routes it is the same
// for all requests of a session, so that they go to the same pool. Prompts of a single part are
// distributed by request.
func splitHash(r *opaque.Request) uint64 {
	if r.Route.Sticky && len(r.Prompt) > 1 {
		return route.HashName(r.Prompt.Session())
	}
	return route.HashName(r.ID)
}

// maxRequestedMs limits the time in the deadline header, so that sums with it don't overflow.
const maxRequestedMs = 24 * 60 * 60 * clock.Second

// setRequestedDeadline sets the deadline by the deadline header, if there is one. The header counts from when the
// request began to arrive at this box.
func (p *Pipe) setRequestedDeadline(r *opaque.Request) {
	requestedMs, err := strconv.ParseInt(r.HTTP.Header.Get(r.Dialect.DeadlineMs), 10, 64)
	if err == nil && requestedMs > 0 {
		p.setDeadline(r, r.ReceivedMs+min(clock.Millis(requestedMs), maxRequestedMs))
	}
}

// limitToRoute limits the times of a request to the timeout of its route. A caller that sends no deadline is expected
// to wait as long.
func (p *Pipe) limitToRoute(r *opaque.Request) {
	timeoutMs := r.ArrivedMs + r.Route.TimeoutMs
	if r.WaitsUntilMs == 0 {
		p.setDeadline(r, timeoutMs)
	}
	r.DeadlineMs, r.RespondByMs = min(r.DeadlineMs, timeoutMs), min(r.RespondByMs, timeoutMs)
}

func (p *Pipe) setDeadline(r *opaque.Request, deadlineMs clock.Millis) {
	r.WaitsUntilMs, r.DeadlineMs = deadlineMs, deadlineMs
	r.RespondByMs = deadlineMs - p.deps.LeadMs(r, deadlineMs-r.ReceivedMs)
}
