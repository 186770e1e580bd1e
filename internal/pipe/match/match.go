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

// Pipe matches requests to routes.
type Pipe struct {
	state      func(ctx context.Context) *routing.State
	mayBeStale func() bool
}

// New returns the step. The state function returns the active routing state, or nil if there
// is none; it may block while a box that has just started loads one. The mayBeStale function
// reports whether a newer state may exist that the box has not received.
func New(state func(ctx context.Context) *routing.State, mayBeStale func() bool) *Pipe {
	return &Pipe{state: state, mayBeStale: mayBeStale}
}

// String returns the name of the step in logs.
func (*Pipe) String() string { return "match" }

// Run selects the route. The request keeps the routing state that it was matched against.
func (p *Pipe) Run(r *opaque.Request) error {
	r.State = p.state(r.Context())
	if r.State == nil {
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.NoState, noStateRetryMs, nil)
	}
	if r.State.Version() < r.MinVersion {
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.StaleState, noStateRetryMs, nil)
	}
	r.Route = r.State.Match(r.HTTP.Host, urlpath.Sent(r.HTTP.URL))
	switch {
	case r.Route == nil && p.mayBeStale():
		// The route may be newer than the state, and another box may have it.
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.StaleState, noStateRetryMs, nil)
	case r.Route == nil:
		return opaque.NewRefusal(http.StatusNotFound, opaque.NoRoute, 0, nil)
	}
	r.Prompt = opaque.ParsePrompt(r.HTTP.Header.Get(r.Dialect.Prompt))
	r.Pool = r.Route.PoolFor(splitHash(r))
	r.DeadlineMs = deadlineMs(r)
	return nil
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

// deadlineMs returns the deadline of the request: that of the route, or the one in the deadline header if it
// is earlier. The header counts from when this box received the request.
func deadlineMs(r *opaque.Request) clock.Millis {
	latestMs := r.ArrivedMs + r.Route.TimeoutMs
	requestedMs, err := strconv.ParseInt(r.HTTP.Header.Get(r.Dialect.DeadlineMs), 10, 64)
	if err != nil || requestedMs <= 0 {
		return latestMs
	}
	// The difference is compared, since the sum may overflow.
	if clock.Millis(requestedMs) >= latestMs-r.ReceivedMs {
		return latestMs
	}
	return r.ReceivedMs + clock.Millis(requestedMs)
}
