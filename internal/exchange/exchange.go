// Package exchange holds the state of a request in the pipeline from its arrival until its outcome
// is settled.
package exchange

import (
	"context"
	"errors"
	"net/http"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/deadline"
	"dooryard.example/dooryard/internal/pool"
	"dooryard.example/dooryard/internal/route"
	"dooryard.example/dooryard/internal/table"
)

// Headers that callers send and receive.
const (
	HeaderRequest        = "Dooryard-Request"
	HeaderOutcome        = "Dooryard-Outcome"
	HeaderSession        = "Dooryard-Session"
	HeaderDeadline       = "Dooryard-Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderUpstream       = "Dooryard-Upstream"
	HeaderAttempts       = "Dooryard-Attempts"
)

// Headers between boxes. They are only read on the listener for peers.
const (
	HeaderHop          = "Dooryard-Hop"
	HeaderOrganisation = "Dooryard-Organisation"
	// HeaderRepeatable carries whether the request may be repeated, as decided by the box that
	// accepted it, because the receiving box may have an older table.
	HeaderRepeatable = "Dooryard-Repeatable"
)

// Outcome states whether a request ran.
type Outcome string

// Outcomes of a request. NotRun is only reported if it is proven.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Kind is the kind of a request.
type Kind string

// Kinds of requests.
const (
	Chat    Kind = "chat"
	Service Kind = "service"
)

// ErrAnswered stops the processing of a request that already has a response.
var ErrAnswered = errors.New("already answered")

// ErrStopping is the cause with which the context of a request ends that outlasts the stop of its box.
var ErrStopping = errors.New("the box stops")

// StatusCallerDisconnected is the status in logs and metrics for a request whose caller disconnected before
// the response. It is never sent.
const StatusCallerDisconnected = 499

// Exchange is a request in the pipeline. The steps set its fields in their order. It must only be
// used by one goroutine.
type Exchange struct {
	// Set on arrival.
	ID       string
	Writer   *Writer
	Request  *http.Request
	Kind     Kind
	FromPeer bool
	// Arrived is the monotonic time at which the request began to arrive, and Caller the way to its caller.
	Arrived clock.Millis
	Caller  deadline.Path

	// Set by identify.
	State        *table.State
	Organisation *table.Organisation
	Session      string
	Key          route.Key
	// Target is the model of a chat or the name of a service.
	Target string
	// Path is the path at the upstream as the caller sent it.
	Path     string
	Body     []byte
	Streamed bool
	// FirstTurn is set for the first turn of a chat, for which no engine can have a warm cache.
	FirstTurn      bool
	Repeatable     bool
	IdempotencyKey string
	// Deadline is the monotonic time until which the caller waits, or 0 while it is unknown. RespondBy is the one by
	// which a response has to leave that no upstream has begun.
	Deadline, RespondBy clock.Millis

	// Set by claim. SendBefore is the monotonic time after which the request must not be sent, or 0.
	SendBefore clock.Millis

	// Set by route and forward.
	Lease    *pool.Lease
	Attempts int
	// Sent is set as soon as any byte of the request may have been sent to an upstream without proof
	// that the upstream did not run the request.
	Sent    bool
	Outcome Outcome

	onSettle []func(*Exchange)
	ctx      context.Context
}

// New returns an exchange for a request that arrived at the given time.
func New(
	ctx context.Context, id string, w http.ResponseWriter, r *http.Request, kind Kind, now clock.Millis,
) *Exchange {
	return &Exchange{
		ID: id, Writer: NewWriter(w), Request: r, Kind: kind, Arrived: now,
		Outcome: NotRun, ctx: ctx,
	}
}

// Context returns a context that is done when the caller disconnects or the deadline passes.
func (x *Exchange) Context() context.Context { return x.ctx }

// Stopping reports whether the request was ended because it outlasts the stop of the box.
func (x *Exchange) Stopping() bool { return errors.Is(context.Cause(x.ctx), ErrStopping) }

// SetContext replaces the context by one derived from it.
func (x *Exchange) SetContext(ctx context.Context) { x.ctx = ctx }

// OnSettle registers a function that is called when the exchange is settled, whatever its outcome.
// The functions are called in reverse order.
func (x *Exchange) OnSettle(fn func(*Exchange)) { x.onSettle = append(x.onSettle, fn) }

// Settle calls the functions registered with OnSettle once.
func (x *Exchange) Settle() {
	for i := len(x.onSettle) - 1; i >= 0; i-- {
		x.onSettle[i](x)
	}
	x.onSettle = nil
}

// PoolName returns the name of the pool that serves the request.
func (x *Exchange) PoolName() string {
	if x.Kind == Chat {
		return pool.Name(table.KindEngine, x.Target)
	}
	return pool.Name(table.KindService, x.Target)
}

// RemainingMs returns the time left in which an upstream may begin a response.
func (x *Exchange) RemainingMs(now clock.Millis) clock.Millis { return x.RespondBy - now }

// UpstreamMs returns the time left for an upstream. A stream that has begun goes on until the deadline.
func (x *Exchange) UpstreamMs(now clock.Millis) clock.Millis {
	if x.Streamed {
		return x.Deadline - now
	}
	return x.RemainingMs(now)
}

// Awaiting returns a context for what has to end before a response has begun.
func (x *Exchange) Awaiting(now clock.Millis) (context.Context, context.CancelFunc) {
	if x.Deadline == 0 {
		return context.WithCancel(x.ctx)
	}
	return context.WithTimeout(x.ctx, x.RemainingMs(now).Duration())
}

// SetOutcomeHeaders sets the headers that every response has, unless the response has already
// started.
func (x *Exchange) SetOutcomeHeaders() {
	if x.Writer.Started() {
		return
	}
	header := x.Writer.Header()
	header.Set(HeaderRequest, x.ID)
	header.Set(HeaderOutcome, string(x.Outcome))
}
