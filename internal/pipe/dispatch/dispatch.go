// Package dispatch is the step that sends an opaque request to upstreams until
// one answers, as often as its kind and the budget permit, and passes the answer
// on.
package dispatch

import (
	"context"
	"errors"
	"net/http"

	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/quarantine"
)

// Dependencies are what the step needs of its box.
type Dependencies struct {
	// Pick chooses an upstream and counts the request there.
	Pick func(ctx context.Context, a balance.Ask) (*balance.Lease, error)
	// MayRetry asks the retry budget of a pool.
	MayRetry func(pool string) bool
	// FirstSend tells the retry budget of a pool of a request.
	FirstSend func(pool string)
	// AgeMs is how old the proof of the routing state is, for log lines.
	AgeMs func() clock.Millis
	Tell  func(e decision.Event)
	// Reads counts tokens of shared parts that an engine likely reads, and why.
	Reads func(why string, tokens int)
	// ComeBack is after which span a refused caller should come back.
	ComeBack func(pool string, priority int) clock.Millis
	// Hear takes what an upstream says of itself in the head of an answer to a request.
	Hear func(request string, lease *balance.Lease, said opaque.Word)
	// Observe takes what attempts show of an upstream's end.
	Observe func(o Observation)
	// Whole takes that an upstream answered a fingerprint whole.
	Whole func(fingerprint quarantine.Fingerprint)
	// HeldMs is how much longer a fingerprint is held back.
	HeldMs func(fingerprint quarantine.Fingerprint) clock.Millis
	// Vouch reports whether the box may send a request now.
	Vouch func(r *opaque.Request) error
	Clock clock.Clock
}

// Pipe dispatches requests.
type Pipe struct {
	deps Dependencies
}

// New returns the step.
func New(d Dependencies) *Pipe { return &Pipe{deps: d} }

// String names the step in logs.
func (*Pipe) String() string { return "dispatch" }

// Run sends the request until the caller has an answer or nothing more may be
// tried.
func (p *Pipe) Run(r *opaque.Request) error {
	ctx, cancel := p.deps.Clock.WithTimeout(r.Context(), max(1, r.RemainingMs(p.deps.Clock.Steady())))
	defer cancel()
	p.deps.FirstSend(r.Pool)
	s := &sending{pipe: p, request: r, ctx: ctx}
	for {
		if err := p.deps.Vouch(r); err != nil {
			return s.unvouched(err)
		}
		lease, err := p.deps.Pick(ctx, s.ask())
		if err != nil {
			return s.final(s.orElse(&failure{err: err, proof: notSent}))
		}
		failed := s.attempt(lease)
		if failed == nil {
			return nil
		}
		if !s.again(lease, failed) {
			return s.final(failed)
		}
	}
}

// unvouched ends a request that the box may not send, or not send again.
func (s *sending) unvouched(err error) error {
	if s.last == nil {
		return err
	}
	return s.final(s.last)
}

// sending is one request with what its attempts have shown so far.
type sending struct {
	pipe    *Pipe
	request *opaque.Request
	ctx     context.Context
	// attempts counts attempts, whether or not anything was sent.
	attempts int
	// stream is the caller's side of a stream once it has begun.
	stream *stream
	// last is the newest failure.
	last *failure
	// startedMs is when the newest attempt began.
	startedMs clock.Millis
	// word is what the upstream of the newest attempt said of itself.
	word opaque.Word
}

// orElse returns the newest failure, or another one if there is none.
func (s *sending) orElse(f *failure) *failure {
	if s.last != nil {
		return s.last
	}
	return f
}

func (s *sending) ask() balance.Ask {
	r := s.request
	pool := r.State.Pool(r.Pool)
	return balance.Ask{
		Pool: r.Pool, Sticky: r.Route.Sticky, Prompt: r.Prompt, Tried: r.Tried,
		Transfers: pool != nil && pool.Engine != nil && pool.Engine.Transfers && r.Dialect.FetchFrom != "",
	}
}

// again decides whether another attempt follows a failed one, and tells.
func (s *sending) again(lease *balance.Lease, failed *failure) bool {
	s.last = failed
	s.request.Tried = append(s.request.Tried, lease.ID)
	next := s.next(failed)
	s.pipe.deps.Tell(decision.AttemptFailed{
		Request: s.request.ID, Fingerprint: s.request.Fingerprint.String(), Upstream: lease.ID,
		Attempt: s.attempts, Proof: string(failed.proof),
		Status: failed.status(), Err: errorText(failed.err), Next: string(next),
		AskedRestMs: s.word.RestMs, Leaving: s.word.Leaving, TookMs: s.pipe.deps.Clock.Steady() - s.startedMs,
	})
	return next == nextAttempt
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// next is what a failure permits.
func (s *sending) next(failed *failure) next {
	r := s.request
	switch {
	case r.Context().Err() != nil:
		return nextCallerGone
	case s.ctx.Err() != nil || r.RemainingMs(s.pipe.deps.Clock.Steady()) <= 0:
		return nextDeadline
	case s.stream != nil && !s.stream.resumable():
		return nextBegun
	case !failed.proof.permits(r.Route.Repeatable()):
		return nextMayHaveRun
	case s.pipe.deps.HeldMs(r.Fingerprint) > 0:
		return nextHeld
	case s.attempts >= maxConnects:
		return nextAttempts
	case failed.proof == notSent:
		return nextAttempt
	case failed.proof != wrongUpstream && r.Sent >= r.Route.Attempts:
		return nextAttempts
	case !s.pipe.deps.MayRetry(r.Pool):
		return nextBudget
	default:
		return nextAttempt
	}
}

// maxConnects bounds the upstreams that one request tries to reach. Each that refuses a
// connection takes a few milliseconds, so many may be down at once before a request has to be
// refused: with 45 of 112 down 178 requests of 47,600 were given up after 6, none after 24.
const maxConnects = 24

// final is the answer to a request that no upstream answered.
func (s *sending) final(failed *failure) error {
	r := s.request
	switch {
	case r.Context().Err() != nil:
		return opaque.NewRefusal(opaque.StatusCallerGone, opaque.CallerGone, 0, failed.err)
	case s.stream != nil:
		return s.stream.abort(failed.err)
	case failed.answer != nil && failed.answer.passable(r):
		return failed.answer.pass(r, s.comeBackMs)
	case r.MayHaveRun && s.ctx.Err() != nil:
		return opaque.NewRefusal(http.StatusGatewayTimeout, opaque.DeadlineSpent, 0, failed.err)
	case r.MayHaveRun:
		return opaque.NewRefusal(http.StatusBadGateway, opaque.UpstreamLost, 0, failed.err)
	case allRest(failed.err):
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.AtRest, s.comeBackMs(), failed.err)
	case errors.Is(failed.err, balance.ErrNoUpstream) || failed.proof == notSent:
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.NoUpstream, s.comeBackMs(), failed.err)
	default:
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.Shed, s.comeBackMs(), failed.err)
	}
}

// allRest reports whether upstreams would have taken the request, but for the rest they asked for.
// The caller is refused at once and not kept waiting for the first end: rests are seconds long,
// beyond the objective of most requests.
func allRest(err error) bool {
	var rest *balance.AllRestError
	return errors.As(err, &rest)
}

// comeBackMs is after which span the caller should come back.
func (s *sending) comeBackMs() clock.Millis {
	return s.pipe.deps.ComeBack(s.request.Pool, s.request.Priority())
}
