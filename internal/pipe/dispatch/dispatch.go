// Package dispatch is the pipeline step that sends an opaque request to an upstream and relays the
// response. It retries failed attempts on other upstreams within the limits of the route and of the
// retry budget.
package dispatch

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"

	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/guard"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/routing"
	"dooryard.example/dooryard/internal/upstream"
)

// Dependencies are the parts of the box that the step uses.
type Dependencies struct {
	// Pick selects an upstream and counts the request in its load.
	Pick func(ctx context.Context, pickRequest balance.PickRequest) (*balance.Lease, error)
	// HasCandidate reports whether an upstream may receive the request now.
	HasCandidate func(pickRequest balance.PickRequest) bool
	// NextBox chooses another box to forward the request to, except those tried. It returns false if
	// there is none.
	NextBox func(r *opaque.Request, tried []string) (Box, bool)
	// OnForward counts a request that is forwarded to another box.
	OnForward func()
	// OnBoxFailed records that a connection to another box failed.
	OnBoxFailed func(box string)
	// UnreachableMs returns for how long the box has known that it can't reach the upstreams of a pool,
	// for logs.
	UnreachableMs func(pool string) clock.Millis
	// MayRetry takes one retry from the pool's retry budget. It returns false if the budget is used
	// up.
	MayRetry func(pool string) bool
	// ReturnRetry gives back a retry that was taken and is not used.
	ReturnRetry func(pool string)
	// CanRetry reports whether MayRetry would return true, without taking a retry.
	CanRetry func(pool string) bool
	// RespondsWithin reports whether another upstream of the pool would likely respond within a time.
	RespondsWithin func(pool string, within clock.Millis) bool
	// NoneWithin reports whether the upstreams of a pool recently took at least a time for each response.
	NoneWithin func(pool string, span clock.Millis) bool
	// OnDue is called when the last response to a request must leave.
	OnDue func(r *opaque.Request)
	// OnFirstSend counts the first attempt of a request in the retry budget of a pool.
	OnFirstSend func(pool string)
	// StateAgeMs returns the time since the routing state was last confirmed to be the newest, for
	// logs.
	StateAgeMs func() clock.Millis
	// RecordEvent logs an event.
	RecordEvent func(e decision.Event)
	// OnPrefill counts the tokens of shared prompt parts that an engine likely has to process, by
	// reason.
	OnPrefill func(reason string, tokens int)
	// OnPermit counts a request to an engine by the source of its permit. The load is that of the engine before the
	// request, as this box estimates it.
	OnPermit func(permit balance.Permit, load int)
	// RetryAfter returns the Retry-After of a refused request.
	RetryAfter func(pool string, priority int) clock.Millis
	// RetryWithinObjective returns the Retry-After of a request that was refused because it would be late.
	RetryWithinObjective func(objective clock.Millis) clock.Millis
	// OnSignals handles the backoff, draining and load signals in the headers of an upstream's
	// response.
	OnSignals func(request string, lease *balance.Lease, signals opaque.Signals)
	// OnRejected handles a rejection by an upstream, and reports whether the upstream is brittle.
	OnRejected func(request string, lease *balance.Lease) bool
	// Track records an attempt until the returned function is called.
	Track func(o Observation) (done func())
	// Observe handles evidence that an upstream may have crashed.
	Observe func(o Observation)
	// Survival returns what is known of an upstream that has closed a connection in order. The request was sent at a
	// monotonic time.
	Survival func(ctx context.Context, lease *balance.Lease, sentMs clock.Millis) upstream.Survival
	// OnEnd counts a response that was read to its end, by the check by which it was taken for complete.
	OnEnd func(check opaque.EndCheck)
	// OnCompleted records that a request got a complete response.
	OnCompleted func(r *opaque.Request, status int)
	// Rescreen returns a refusal if the request is quarantined by now.
	Rescreen func(r *opaque.Request) error
	// OnOutlived records that an upstream lives on some time after it has begun to respond to a request.
	OnOutlived func(r *opaque.Request, status int)
	// OnStreamOrigin records the origin of a resumable stream, before its first event is sent to the caller and when the
	// response breaks.
	OnStreamOrigin func(r *opaque.Request)
	// OriginRetracted reports whether the recorded origin of a stream turned out to be doubtful. Nothing may continue it
	// then.
	OriginRetracted func(r *opaque.Request) bool
	// CheckBeforeSend returns an error if the box may not send the request now. It may wait until the context ends.
	CheckBeforeSend func(ctx context.Context, r *opaque.Request) error
	// RecheckKey returns an error if the box can't know whether the key of a request is valid now.
	RecheckKey func(r *opaque.Request) error
	// CheckCaller returns an error if the caller has probably left.
	CheckCaller func(r *opaque.Request) error
	// Commit makes a request that may not be repeated wait for its response though its caller seems to have left, until
	// the returned function is called.
	Commit func(r *opaque.Request) (done func())
	// HoldWhile makes a request go on though its caller seems to have left, while bytes of its response wait to be read,
	// until the returned function is called.
	HoldWhile func(r *opaque.Request, waits func() bool) (done func())
	// Admission is how prompts are admitted to engines.
	Admission Admission
	// GraceEnded ends when a stopping box can't wait for responses any longer.
	GraceEnded context.Context
	// Memory limits what the box holds of responses.
	Memory *exchange.Memory
	Clock  clock.Clock
}

// Pipe sends opaque requests to upstreams.
type Pipe struct {
	deps     Dependencies
	unframed *unframedPools
}

// New returns the step.
func New(d Dependencies) *Pipe { return &Pipe{deps: d, unframed: newUnframedPools(d.Clock)} }

// String returns the name of the step in logs.
func (*Pipe) String() string { return "dispatch" }

// Run makes attempts until the caller has a response or no further attempt is allowed.
func (p *Pipe) Run(r *opaque.Request) error {
	now := p.deps.Clock.Monotonic()
	ctx, cancel := p.deps.Clock.WithTimeout(r.Context(), max(1, r.DeadlineMs-now))
	defer cancel()
	defer context.AfterFunc(p.deps.GraceEnded, cancel)()
	beforeDue, endDue := p.deps.Clock.WithTimeout(ctx, max(1, r.RemainingMs(now)))
	defer endDue()
	if r.Route.Kind != routing.Stream && p.deps.Memory.Refuse() {
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.BoxFull, memoryRetryMs, errNoMemory)
	}
	if r.FromBox == "" {
		// The forwarding box has counted the request.
		p.deps.OnFirstSend(r.Pool)
	}
	s := &retryLoop{pipe: p, request: r, ctx: ctx, beforeDue: beforeDue, cancel: cancel}
	defer s.returnReserved()
	defer context.AfterFunc(beforeDue, func() { guard.Do("end of a request's time", s.endUnbegun) })()
	defer s.releaseBody()
	defer p.deps.HoldWhile(r, s.responseWaits)()
	return s.awaitCaller(s.run())
}

// endUnbegun is called at the end of beforeDue. Once the last response must leave, it ends all waits for a response,
// unless one has begun, which may reach the caller in time.
func (s *retryLoop) endUnbegun() {
	if !errors.Is(context.Cause(s.beforeDue), context.DeadlineExceeded) {
		// The request has ended before.
		return
	}
	s.pipe.deps.OnDue(s.request)
	if !s.responds() && !s.responseWaits() {
		s.cancel()
	}
}

// stalledMs is the pause after which a response that is not a stream hardly arrives whole within the lead of a last
// response.
const stalledMs clock.Millis = 100

// responds reports whether the caller has a part of the response, or the whole one has arrived, or a part of it lately.
func (s *retryLoop) responds() bool {
	if s.responding.Load() {
		return true
	}
	progressMs := clock.Millis(s.progressMs.Load())
	return progressMs != 0 && s.pipe.deps.Clock.Monotonic()-progressMs < stalledMs
}

// recordProgress records that a part of the response has arrived.
func (s *retryLoop) recordProgress() { s.progressMs.Store(int64(s.pipe.deps.Clock.Monotonic())) }

// memoryRetryMs is the Retry-After of a request that is refused because the box holds too much of other responses. It
// is about the time that a response needs to reach its caller.
const memoryRetryMs clock.Millis = 200

// errNoMemory means that the responses that the box holds have reached their limit.
var errNoMemory = errors.New("buffered responses have reached the memory limit")

// run makes attempts and returns the error that the request ends with, or nil after a complete response.
func (s *retryLoop) run() error {
	r, p := s.request, s.pipe
	for {
		if err := p.deps.CheckBeforeSend(s.ctx, r); err != nil {
			return s.refuseSend(err)
		}
		lease, err := s.pick()
		if errors.Is(err, balance.ErrPartitioned) && s.canForward() {
			return s.forward(s.lastFailureOr(&failure{err: err, execution: notSent}))
		}
		if err != nil {
			return s.finish(s.pickFailure(err))
		}
		if err := s.recheckAfterWait(lease); err != nil {
			lease.Release(balance.Neutral)
			return s.refuseSend(err)
		}
		failed := s.attemptAt(lease)
		if failed == nil {
			return nil
		}
		s.request.Tried = append(s.request.Tried, lease.ID)
		if !s.recordFailure(lease.ID, failed) {
			return s.finish(failed)
		}
	}
}

// attemptAt makes an attempt, and releases its lease also if it panics.
func (s *retryLoop) attemptAt(lease *balance.Lease) *failure {
	defer lease.Release(balance.Neutral)
	return s.attempt(lease)
}

// pick selects an upstream. After some failed dials it assumes that this box can't reach the others either.
func (s *retryLoop) pick() (*balance.Lease, error) {
	if s.failedDials >= maxFailedDials && s.canForward() {
		return nil, balance.ErrPartitioned
	}
	for {
		lease, err := s.pipe.deps.Pick(s.ctx, s.pickRequest())
		s.recordAdmission(lease, err)
		if err != nil || s.mayContinueAt(lease) {
			return lease, err
		}
		lease.Release(balance.Neutral)
	}
}

// pickFailure returns the failure that determines the response if no upstream was picked: that of the latest attempt,
// if any, unless nothing was sent and the upstreams are overloaded.
func (s *retryLoop) pickFailure(err error) *failure {
	failed := &failure{err: err, execution: notSent}
	if last := s.lastFailure; last != nil && last.execution == notSent && errors.Is(err, balance.ErrOverloaded) {
		return failed
	}
	return s.lastFailureOr(failed)
}

// refuseSend ends a request that the box may not send now. If an attempt has failed before, its
// failure determines the response.
func (s *retryLoop) refuseSend(err error) error {
	if s.lastFailure == nil {
		return err
	}
	return s.finish(s.lastFailure)
}

// retryLoop is the state of one request across its attempts.
type retryLoop struct {
	pipe    *Pipe
	request *opaque.Request
	// ctx ends at the caller's deadline, or when the last response must leave and none has begun.
	ctx context.Context
	// cancel ends ctx.
	cancel context.CancelFunc
	// beforeDue ends when the last response must leave.
	beforeDue context.Context
	// responding is set once the caller has a part of the response, and once the whole one of an attempt has arrived.
	responding atomic.Bool
	// progressMs is when the latest part of an attempt's response arrived, or 0.
	progressMs atomic.Int64
	// body is the memory of the latest buffered response.
	body *exchange.Hold
	// attempts counts all attempts, including those that sent nothing.
	attempts int
	// reserved is the retry for which the latest attempt was canceled.
	reserved reservedRetry
	// failedDials counts the upstreams that could not be connected to.
	failedDials int
	// boxesTried are the names of the boxes that the request was forwarded to.
	boxesTried []string
	// stream is the response stream to the caller, or nil before it starts.
	stream *stream
	// lastFailure is the failure of the latest failed attempt.
	lastFailure *failure
	// attemptStartedMs is the start time of the latest attempt.
	attemptStartedMs clock.Millis
	// upstreamDeadlineMs is the deadline that the upstream of the latest attempt was given.
	upstreamDeadlineMs clock.Millis
	// signals are the backoff, draining and load signals of the latest response.
	signals opaque.Signals
	// hasUnread reports whether bytes of the upstream of the latest attempt wait to be read.
	hasUnread atomic.Pointer[func() bool]
	// mayContinue reports whether another upstream may continue the stream of the latest attempt. It is nil until the
	// stream has begun.
	mayContinue atomic.Pointer[func() bool]
}

// lastFailureOr returns the latest failure, or f if there is none.
func (s *retryLoop) lastFailureOr(f *failure) *failure {
	if s.lastFailure != nil {
		return s.lastFailure
	}
	return f
}

// pickRequest returns the request properties that the balancer selects an upstream by.
func (s *retryLoop) pickRequest() balance.PickRequest {
	r := s.request
	pool := r.State.Pool(r.Pool)
	request := balance.PickRequest{
		Pool: r.Pool, Sticky: r.Route.Sticky, Prompt: r.Prompt, Tried: r.Tried,
		ObjectiveMs: r.Route.ObjectiveMs, ElapsedMs: s.pipe.deps.Clock.Monotonic() - r.ArrivedMs,
		MayRetry: s.mayRetryAfterAttempt(), Admission: s.admissionRequest(),
		Transfers: pool != nil && pool.Engine != nil && pool.Engine.Transfers && r.Dialect.FetchFrom != "",
	}
	if r.Origin != nil {
		request.Version = &r.Origin.Version
	}
	return request
}

// recordFailure logs a failed attempt and reports whether another attempt follows.
func (s *retryLoop) recordFailure(target string, failed *failure) bool {
	s.lastFailure = failed
	s.responding.Store(s.stream != nil)
	s.progressMs.Store(0)
	s.hasUnread.Store(nil)
	verdict := s.retryDecision(failed)
	s.pipe.deps.RecordEvent(decision.AttemptFailed{
		Request: s.request.ID, Fingerprint: s.request.Fingerprint.String(), Upstream: target,
		Attempt: s.attempts, Proof: string(failed.execution),
		Status: failed.status(), Framing: s.request.Framing, Err: errorText(failed.err),
		Events: s.request.Events, LastEventID: s.request.RelayedID, Next: string(verdict),
		BackoffMs: s.signals.BackoffMs, Draining: s.signals.Draining,
		TookMs: s.pipe.deps.Clock.Monotonic() - s.attemptStartedMs,
	})
	return verdict == retryAllowed
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// retryDecision decides whether another attempt follows a failed one.
func (s *retryLoop) retryDecision(failed *failure) retryDecision {
	r := s.request
	switch {
	case s.callerCutOff():
		return stopCallerSlow
	case r.Context().Err() != nil:
		return stopCallerDisconnected
	case s.timeOver():
		return stopDeadline
	case errors.Is(failed.err, errResponseMemory):
		return stopNoMemory
	case r.Writer.Started() && (s.stream == nil || !s.mayResume()):
		return stopResponseStarted
	case !failed.execution.allowsRetry(r.Route.Repeatable()):
		return stopMayHaveRun
	case s.pipe.deps.Rescreen(r) != nil:
		return stopQuarantined
	case s.attempts >= maxConnectAttempts:
		return stopMaxAttempts
	case failed.execution == notSent:
		return retryAllowed
	case failed.execution != wrongUpstream && r.Sent >= r.Route.Attempts:
		return stopMaxAttempts
	case s.reserved.use():
		return retryAllowed
	case failed.execution != wrongUpstream && s.tooLate(s.remainingMs()):
		return stopTooLate
	case !s.pipe.deps.MayRetry(r.Pool):
		return stopRetryBudget
	default:
		return retryAllowed
	}
}

// remainingMs returns the time for the next attempt.
func (s *retryLoop) remainingMs() clock.Millis {
	return s.request.RemainingMs(s.pipe.deps.Clock.Monotonic())
}

func (s *retryLoop) timeOver() bool { return s.ctx.Err() != nil || s.remainingMs() <= 0 }

// maxConnectAttempts limits all attempts of one request, including those that could not connect. A
// refused connection costs a few milliseconds, so a request can try many upstreams when a large
// part of a pool is down.
const maxConnectAttempts = 24

// finish ends a request whose last attempt failed: it relays the upstream's error response, aborts
// the stream, or returns a refusal.
func (s *retryLoop) finish(failed *failure) error {
	r := s.request
	var overloaded *balance.OverloadedError
	s.recordBrokenStream()
	if err := s.pipe.deps.Rescreen(r); err != nil && failed.execution == notSent && s.mayRefuse() {
		return err
	}
	switch {
	case r.Context().Err() != nil:
		return opaque.NewRefusal(opaque.StatusCallerDisconnected, opaque.CallerDisconnected, 0, failed.err)
	case r.Writer.Started():
		return abort(failed.err)
	case failed.refusal != nil:
		return failed.refusal
	case failed.response != nil && failed.response.mayRelay(r):
		return failed.response.relay(r, s.retryAfterMs, s.pipe.deps.Clock.Monotonic())
	case r.MayHaveRun:
		return s.refuseUnknown(failed.err)
	case s.pipe.deps.GraceEnded.Err() != nil:
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.BoxStopping, s.retryAfterMs(), failed.err)
	case errors.Is(failed.err, balance.ErrVersionGone):
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.StreamVersionGone, 0, failed.err)
	case allBackingOff(failed.err):
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.UpstreamsBackingOff, s.retryAfterMs(), failed.err)
	case errors.Is(failed.err, balance.ErrAllEvacuated):
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.UpstreamsEvacuated, s.retryAfterMs(), failed.err)
	case errors.As(failed.err, &overloaded):
		return s.refuseOverloaded(overloaded, failed.err)
	case errors.Is(failed.err, balance.ErrAllFull):
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.UpstreamsFull,
			s.pipe.deps.RetryWithinObjective(r.Route.ObjectiveMs), failed.err)
	case errors.Is(failed.err, balance.ErrAllCold):
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.UpstreamsCold, s.retryAfterMs(), failed.err)
	case errors.Is(failed.err, balance.ErrNoUpstream) || failed.execution == notSent:
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.NoUpstream, s.retryAfterMs(), failed.err)
	default:
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.Shed, s.retryAfterMs(), failed.err)
	}
}

// refuseUnknown ends a request that may have run.
func (s *retryLoop) refuseUnknown(err error) error {
	switch {
	case s.pipe.deps.GraceEnded.Err() != nil:
		return opaque.NewRefusal(http.StatusBadGateway, opaque.BoxStopping, 0, err)
	case s.timeOver():
		return opaque.NewRefusal(http.StatusGatewayTimeout, opaque.DeadlineExceeded, 0, err)
	default:
		return opaque.NewRefusal(http.StatusBadGateway, opaque.ResponseLost, 0, err)
	}
}

// mayRefuse reports whether the request can be refused as not run.
func (s *retryLoop) mayRefuse() bool {
	return s.request.Context().Err() == nil && s.stream == nil && !s.request.MayHaveRun
}

// recordBrokenStream records the origin of a stream again that ends before its last event. Its first record may be lost
// or about to expire, and the caller may take up the stream.
func (s *retryLoop) recordBrokenStream() {
	if s.stream != nil && s.stream.dataSent {
		s.stream.recordOrigin()
	}
}

// allBackingOff reports whether the only upstreams that could take the request have asked this
// box to back off. The request is then refused at once instead of waiting for the first backoff to
// end: backoffs last seconds, longer than the latency objective of most requests.
func allBackingOff(err error) bool {
	var backoff *balance.AllBackingOffError
	return errors.As(err, &backoff)
}

// retryAfterMs returns the Retry-After of a refusal.
func (s *retryLoop) retryAfterMs() clock.Millis {
	return s.pipe.deps.RetryAfter(s.request.Pool, s.request.Priority())
}
