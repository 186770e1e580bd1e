// Package exchange holds one request on its way through the steps, from its
// arrival to its settled outcome.
package exchange

import (
	"context"
	"errors"
	"net/http"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/pool"
	"dooryard.example/dooryard/internal/route"
	"dooryard.example/dooryard/internal/table"
)

// Headers of the callers' interface.
const (
	HeaderRequest        = "Dooryard-Request"
	HeaderOutcome        = "Dooryard-Outcome"
	HeaderSession        = "Dooryard-Session"
	HeaderDeadline       = "Dooryard-Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderUpstream       = "Dooryard-Upstream"
	HeaderAttempts       = "Dooryard-Attempts"
)

// Headers between boxes, read on the peers' listener only.
const (
	HeaderHop          = "Dooryard-Hop"
	HeaderOrganisation = "Dooryard-Organisation"
	// HeaderRepeatable reports whether the request may be repeated, as the box that
	// took it in decided: the other's table may be older.
	HeaderRepeatable = "Dooryard-Repeatable"
)

// Outcome says whether a request ran.
type Outcome string

// Outcomes of a request. NotRun is said only when it is proved.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Kind is the kind of work that a request asks for.
type Kind string

// Kinds of work.
const (
	Chat    Kind = "chat"
	Service Kind = "service"
)

// ErrAnswered ends the steps of a request that has been answered already.
var ErrAnswered = errors.New("already answered")

// StatusCallerGone is the status in logs and metrics of a request whose caller
// left before the answer; nobody receives it.
const StatusCallerGone = 499

// Exchange is one request. Steps fill it in their order; it belongs to one
// goroutine.
type Exchange struct {
	// Set on arrival.
	ID       string
	Writer   *Writer
	Request  *http.Request
	Kind     Kind
	Arrived  clock.Millis
	FromPeer bool

	// Set by identify.
	State        *table.State
	Organisation *table.Organisation
	Session      string
	Key          route.Key
	// Target is the model of a chat or the name of a service.
	Target   string
	Path     string
	Body     []byte
	Streamed bool
	// Fresh is set for a chat's first turn, which can't be warm anywhere.
	Fresh          bool
	Repeatable     bool
	IdempotencyKey string
	Deadline       clock.Millis

	// Set by claim: the instant after which the request must not be sent any
	// more, or 0.
	SendBefore clock.Millis

	// Set by route and forward.
	Lease    *pool.Lease
	Attempts int
	// Sent is set from the moment on that any byte of the request may have
	// left for an upstream without a proof that it did not run.
	Sent    bool
	Outcome Outcome

	releases []func(*Exchange)
	ctx      context.Context
}

// New returns an exchange for a request that arrived now.
func New(
	ctx context.Context, id string, w http.ResponseWriter, r *http.Request, kind Kind, now clock.Millis,
) *Exchange {
	return &Exchange{
		ID: id, Writer: NewWriter(w), Request: r, Kind: kind, Arrived: now,
		Outcome: NotRun, ctx: ctx,
	}
}

// Context ends when the caller leaves or the deadline passes.
func (x *Exchange) Context() context.Context { return x.ctx }

// SetContext replaces the context, by one derived from it.
func (x *Exchange) SetContext(ctx context.Context) { x.ctx = ctx }

// OnSettle has a function called when the exchange is settled, whatever became
// of it. Functions are called in reverse order.
func (x *Exchange) OnSettle(release func(*Exchange)) { x.releases = append(x.releases, release) }

// Settle calls the functions of OnSettle, once.
func (x *Exchange) Settle() {
	for i := len(x.releases) - 1; i >= 0; i-- {
		x.releases[i](x)
	}
	x.releases = nil
}

// PoolName returns the name of the pool that the request goes to.
func (x *Exchange) PoolName() string {
	if x.Kind == Chat {
		return pool.Name(table.KindEngine, x.Target)
	}
	return pool.Name(table.KindService, x.Target)
}

// RemainingMs returns the time left before the deadline.
func (x *Exchange) RemainingMs(now clock.Millis) clock.Millis { return x.Deadline - now }

// StampOutcome writes the headers that every answer carries, unless the answer
// has begun.
func (x *Exchange) StampOutcome() {
	if x.Writer.Started() {
		return
	}
	header := x.Writer.Header()
	header.Set(HeaderRequest, x.ID)
	header.Set(HeaderOutcome, string(x.Outcome))
}
