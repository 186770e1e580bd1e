package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/routing"
	"dooryard.example/dooryard/internal/streams"
	"dooryard.example/dooryard/internal/upstream"
)

// Errors of an attempt.
var (
	errNotRun        = errors.New("upstream did not run the request")
	errWrongUpstream = errors.New("address belongs to another upstream")
	errFailed        = errors.New("upstream failed")
	errTooLarge      = errors.New("response too large")
	errTimeout       = errors.New("upstream timed out while a retry was possible")
	errPathDown      = errors.New("failure domain is unreachable")
)

// firstByteTimeoutFactor is the time limit for response headers as a multiple of the route's latency
// objective, while the request may still be retried, because an upstream may hang.
const firstByteTimeoutFactor = 2

// attempt sends the request to one upstream. It returns nil if the caller has the complete
// response.
func (s *retryLoop) attempt(lease *balance.Lease) *failure {
	s.attempts++
	s.forgetAttempt()
	s.attemptStartedMs = s.pipe.deps.Clock.Monotonic()
	s.request.Upstream, s.request.Framing, s.request.End = lease.ID, "", ""
	s.logPicked(lease)
	ctx, cancel := context.WithCancelCause(s.ctx)
	defer cancel(nil)
	s.cancelOnPathLoss(lease, cancel)
	stopTimer := s.startFirstByteTimeout(firstByteTimeoutFactor, s.anotherHelps(lease), cancel)
	stopSilenceTimer := s.startSilenceTimer(lease)
	defer s.pipe.deps.Track(s.observation(lease))()
	out, uncommit := s.buildCommitted(lease)
	defer uncommit()
	resp, err := lease.Client().Do(ctx, out)
	stopTimer()
	stopSilenceTimer()
	if err != nil {
		s.observeFailure(ctx, lease, err)
		return s.failWithoutResponse(lease, err, context.Cause(ctx))
	}
	defer resp.Close()
	s.recordHead(lease, resp)
	s.handleSignals(lease, resp)
	if resp.StatusCode < http.StatusInternalServerError && s.signals.BackoffMs == 0 {
		lease.RecordResponseStart()
	}
	failed := s.relay(ctx, upstreamSource(s, lease, resp.StatusCode), resp, cancel)
	switch {
	case failed != nil:
		s.observeFailure(ctx, lease, failed.err)
	default:
		s.observeSuccess(lease, resp)
	}
	lease.Release(s.healthResult(lease, failed))
	return failed
}

// recordHead records that the head of a response has arrived.
func (s *retryLoop) recordHead(lease *balance.Lease, resp *upstream.Response) {
	s.recordProgress()
	lease.RecordAnswered()
	s.request.Sent++
	s.request.Framing = string(resp.Framing())
	s.witnessEnd(lease, resp)
}

// forgetAttempt drops what is left of the attempt before.
func (s *retryLoop) forgetAttempt() {
	s.dropFailedResponse()
	s.signals = opaque.Signals{}
	s.mayContinue.Store(nil)
}

// handleSignals decodes and reports the signals in the response headers. It ignores those of a
// misdirected request: they describe the upstream that now has the address, not the selected one.
func (s *retryLoop) handleSignals(lease *balance.Lease, resp *upstream.Response) {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	s.signals = s.request.Dialect.DecodeSignals(resp.StatusCode, resp.Header)
	s.pipe.deps.OnSignals(s.request.ID, lease, s.signals)
}

// startFirstByteTimeout cancels the attempt if no response headers arrive within a multiple of the route's
// latency objective, once a retry would help. It does nothing if the request can't be retried.
func (s *retryLoop) startFirstByteTimeout(
	factor clock.Millis, helps func(span clock.Millis) bool, cancel context.CancelCauseFunc,
) (stop func()) {
	r := s.request
	timeout := factor * r.Route.ObjectiveMs
	if !s.mayRetryAfterAttempt() || timeout <= 0 {
		return func() {}
	}
	return s.startRetryTimer(timeout, helps, cancel).stop
}

// startRetryTimer cancels an attempt that makes no progress for a span, once a retry would help.
func (s *retryLoop) startRetryTimer(
	span clock.Millis, helps func(span clock.Millis) bool, cancel context.CancelCauseFunc,
) *retryTimer {
	return startRetryTimer(s.pipe.deps.Clock, span,
		func() bool { return !s.responseWaits() && helps(span) },
		func() bool { return s.cancelToRetry(errTimeout, cancel) })
}

// responseWaits reports whether the response of the latest attempt, or its next part, waits to be read. A process that
// gets little processor time reads it long after it has arrived, which is no silence of the upstream.
func (s *retryLoop) responseWaits() bool {
	hasUnread := s.hasUnread.Load()
	return hasUnread != nil && (*hasUnread)()
}

// retryHelps reports whether another upstream would likely respond within a span to a retry, and the retry budget
// allows one.
func (s *retryLoop) retryHelps(span clock.Millis) bool {
	// The pauses of a stream may be shorter than the time to its first byte.
	span = max(span, firstByteTimeoutFactor*s.request.Route.ObjectiveMs)
	return s.budgetAllowsRetry(span) && s.pipe.deps.RespondsWithin(s.request.Pool, span) && !s.tooLate(s.retryTimeMs())
}

// tooLate reports whether upstreams need more time for a response than is left.
func (s *retryLoop) tooLate(leftMs clock.Millis) bool {
	return leftMs <= 0 || s.pipe.deps.NoneWithin(s.request.Pool, leftMs)
}

// retryTimeMs is remainingMs for timers, which run beside the goroutine that writes the response.
func (s *retryLoop) retryTimeMs() clock.Millis {
	untilMs := s.request.RespondByMs
	if s.responding.Load() {
		untilMs = s.request.DeadlineMs
	}
	return untilMs - s.pipe.deps.Clock.Monotonic()
}

// anotherHelps returns a function that reports whether another upstream may receive the request now, and would likely
// respond within a span. Otherwise a canceled attempt would end the request.
func (s *retryLoop) anotherHelps(lease *balance.Lease) func(span clock.Millis) bool {
	next := s.pickRequest()
	next.Tried = append(slices.Clone(next.Tried), lease.ID)
	return func(span clock.Millis) bool { return s.retryHelps(span) && s.pipe.deps.HasCandidate(next) }
}

func (s *retryLoop) budgetAllowsRetry(clock.Millis) bool { return s.pipe.deps.CanRetry(s.request.Pool) }

// mayRetryAfterAttempt reports whether the route allows another attempt if the current one is sent and fails.
func (s *retryLoop) mayRetryAfterAttempt() bool {
	r := s.request
	return r.Route.Repeatable() && r.Sent+1 < r.Route.Attempts
}

// startSilenceTimer reports that an upstream is silent if no response headers arrive within the time after which other
// requests are retried. It does nothing if the request may be retried, since its attempt is canceled then.
func (s *retryLoop) startSilenceTimer(lease *balance.Lease) (stop func()) {
	timeout := firstByteTimeoutFactor * s.request.Route.ObjectiveMs
	if s.mayRetryAfterAttempt() || timeout <= 0 {
		return func() {}
	}
	o := s.observation(lease)
	o.Evidence = UpstreamSilent
	timer := s.pipe.deps.Clock.AfterFunc(timeout, func() {
		if !s.responseWaits() {
			s.pipe.deps.Observe(o)
		}
	})
	return func() { timer.Stop() }
}

// cancelOnPathLoss cancels an attempt when the network path to the upstream's failure domain is
// found to be down, if the request may be retried, or its stream may go on elsewhere. A resumable stream
// then pauses for 0.2 s to 0.4 s instead of the full idle timeout of three times its longest acceptable
// pause.
func (s *retryLoop) cancelOnPathLoss(lease *balance.Lease, cancel context.CancelCauseFunc) {
	if !s.mayRetryAfterAttempt() {
		return
	}
	lease.OnPartition(func() {
		if mayContinue := s.mayContinue.Load(); mayContinue == nil || (*mayContinue)() {
			s.cancelToRetry(errPathDown, cancel)
		}
	})
}

// failWithoutResponse releases the lease of an attempt that got no response and returns its failure.
func (s *retryLoop) failWithoutResponse(lease *balance.Lease, err, cause error) *failure {
	failed := &failure{err: withCause(err, cause), execution: mayHaveRun}
	if upstream.NothingSent(err) {
		failed.execution = notSent
	} else {
		s.request.Sent++
		s.request.MayHaveRun = true
	}
	refusal := (*opaque.RefusalError)(nil)
	refused := errors.As(err, &refusal)
	if refused && !s.request.MayHaveRun {
		failed.refusal = refusal
	}
	switch {
	case refused:
		lease.Release(balance.Neutral)
	case s.ctx.Err() != nil || errors.Is(err, balance.ErrBackingOff) || errors.Is(err, balance.ErrDraining) ||
		errors.Is(err, balance.ErrEvacuated):
		lease.Release(balance.Neutral)
	case errors.Is(err, upstream.ErrUnreachable):
		s.failedDials++
		lease.Release(balance.Unreachable)
	default:
		lease.Release(balance.Broken)
	}
	return failed
}

// withCause adds to the error of an attempt why it was canceled, if that was to retry it.
func withCause(err, cause error) error {
	if errors.Is(cause, errTimeout) || errors.Is(cause, errPathDown) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// healthResult returns the result of an attempt that got a response, for the upstream's health. An
// upstream that asks for backoff is healthy: it gets requests again when the requested backoff is
// over and is not ejected for growing periods.
func (s *retryLoop) healthResult(lease *balance.Lease, failed *failure) balance.Result {
	switch {
	case failed == nil:
		return balance.Succeeded
	case failed.execution == notRun && s.pipe.deps.OnRejected(s.request.ID, lease):
		return balance.Rejected
	case s.signals.BackoffMs > 0 || s.callerCutOff() || isNoUpstreamFault(failed.err):
		return balance.Neutral
	case failed.execution == wrongUpstream:
		return balance.Replaced
	default:
		return balance.Failed
	}
}

// isNoUpstreamFault reports whether an error says nothing about the upstream, since its response was not read in time
// or may be complete.
func isNoUpstreamFault(err error) bool {
	return errors.Is(err, errResponseMemory) || errors.Is(err, errCallerFault) ||
		errors.Is(err, errEndUnconfirmed) || errors.Is(err, errEndAtDeadline)
}

// logPicked logs the selected upstream and counts the prompt tokens that it has to process.
func (s *retryLoop) logPicked(lease *balance.Lease) {
	r := s.request
	if lease.Prefill.Tokens > 0 {
		s.pipe.deps.OnPrefill(string(lease.Prefill.Reason), lease.Prefill.Tokens)
	}
	s.pipe.deps.OnPermit(lease.Permit, lease.Load)
	s.pipe.deps.RecordEvent(decision.UpstreamPicked{
		Request: r.ID, Route: r.Route.Name, Pool: r.Pool, Version: r.State.Version(), AgeMs: s.pipe.deps.StateAgeMs(),
		Upstream: lease.ID, SoftwareVersion: lease.SoftwareVersion, Attempt: s.attempts, Rank: lease.Rank, Load: lease.Load,
		MeanPercent: lease.MeanPercent, SkippedUpstream: lease.Skipped.Upstream, SkipReason: string(lease.Skipped.Reason),
		FromReserve: lease.FromReserve,
		Permit:      string(lease.Permit.Source), Bound: lease.Permit.Bound, OwnBound: lease.Permit.OwnBound,
		Refusals:  lease.Permit.Refusals,
		FetchFrom: lease.FetchFrom, PrefillTokens: lease.Prefill.Tokens, PrefillReason: string(lease.Prefill.Reason),
		ResumeAfter: s.lastEventID(), Resumes: r.ResumedID(),
	})
}

// buildRequest returns the request to the upstream.
func (s *retryLoop) buildRequest(lease *balance.Lease) *upstream.Request {
	r, d := s.request, s.request.Dialect
	out := s.newRequest()
	set := func(name, value string) { setHeader(out.Header, name, value) }
	set(d.ExpectUpstream, lease.ID)
	set(d.FetchFrom, lease.FetchFrom)
	if r.Organisation != nil {
		set(d.Organisation, r.Organisation.Name)
	}
	if r.Route.Kind == routing.Stream {
		set(d.Urgency, strconv.Itoa(min(r.Priority(), maxUrgency)))
	}
	out.BeforeSend = func() error {
		if err := errors.Join(s.pipe.deps.Rescreen(r), s.pipe.deps.CheckCaller(r)); err != nil {
			return err
		}
		return lease.CheckBeforeSend()
	}
	return out
}

// buildCommitted returns the request to the upstream, whose response is awaited from its first byte on until the
// returned function is called.
func (s *retryLoop) buildCommitted(lease *balance.Lease) (out *upstream.Request, done func()) {
	out = s.buildRequest(lease)
	onSend, uncommit, finish := out.OnSend, func() {}, func() {}
	out.OnSend = func(hasUnread func() bool) {
		onSend(hasUnread)
		uncommit, finish = s.pipe.deps.Commit(s.request), s.expectEnd(lease)
	}
	return out, func() { uncommit(); finish() }
}

// setHeader sets a header of the dialect, unless the dialect does not use it or it has no value.
func setHeader(header http.Header, name, value string) {
	if name != "" && value != "" {
		header.Set(name, value)
	}
}

// newRequest returns the part of the request that is the same for each upstream and for other boxes.
func (s *retryLoop) newRequest() *upstream.Request {
	r, d := s.request, s.request.Dialect
	header := d.RequestHeader(r.HTTP.Header)
	now := s.pipe.deps.Clock.Monotonic()
	remaining := max(1, r.UpstreamTimeMs(now))
	s.upstreamDeadlineMs = now + remaining
	setHeader(header, d.DeadlineMs, strconv.FormatInt(int64(remaining), 10))
	setHeader(header, d.LastEventID, s.lastEventID())
	return &upstream.Request{
		Method: r.HTTP.Method, Target: r.HTTP.RequestURI, Host: r.HTTP.Host, Header: header, Body: r.Body,
		Matches: func(resp http.Header) bool { return resp.Get(d.RequestID) == r.ID },
		OnSend:  func(hasUnread func() bool) { s.hasUnread.Store(&hasUnread) },
	}
}

// maxUrgency is the least urgent rank that engines accept; 0 is the most urgent.
const maxUrgency = 9

// responseSource is the upstream or the box that a response comes from.
type responseSource struct {
	// origin is where the events of a stream come from, or nil if it is doubtful or another box chooses it.
	origin *streams.Origin
	// recordsOrigin is set if this box, not another one, records the origin.
	recordsOrigin bool
	// onPart is called for each part of a stream.
	onPart func()
	// onBody is called for each part of the body of a successful response.
	onBody func()
	// onBroken is called when a stream breaks.
	onBroken func()
	// survival returns what is known of the source once it has closed a connection in order.
	survival func() upstream.Survival
	// isFinal is set if no failure in a response may be retried, because the source has done so.
	isFinal bool
}

// originOf returns the origin of streams from an upstream, or nil if the upstream may run another version than its
// entry tells.
func originOf(lease *balance.Lease) *streams.Origin {
	if lease.VersionDoubtful() {
		return nil
	}
	return &streams.Origin{Pool: lease.Pool, Version: lease.SoftwareVersion}
}

func upstreamSource(s *retryLoop, lease *balance.Lease, status int) responseSource {
	signs := lifeSigns{}
	return responseSource{
		origin:        originOf(lease),
		recordsOrigin: true,
		onPart:        lease.RecordContact,
		onBody: func() {
			lease.RecordFirstEvent()
			if signs.record(s.pipe.deps.Clock.Monotonic()) {
				s.pipe.deps.OnOutlived(s.request, status)
			}
		},
		onBroken: lease.RecordBrokenStream,
		survival: func() upstream.Survival { return s.pipe.deps.Survival(s.ctx, lease, s.attemptStartedMs) },
	}
}

// relay relays a response whose headers have arrived.
func (s *retryLoop) relay(
	ctx context.Context, from responseSource, resp *upstream.Response, cancel context.CancelCauseFunc,
) *failure {
	failed := s.relayByKind(ctx, from, resp, cancel)
	if failed != nil {
		failed.err = withCause(failed.err, context.Cause(ctx))
	}
	return failed
}

func (s *retryLoop) relayByKind(
	ctx context.Context, from responseSource, resp *upstream.Response, cancel context.CancelCauseFunc,
) *failure {
	switch {
	case resp.StatusCode != http.StatusOK || !isEventStream(resp.Header):
		return s.relayBuffered(from, resp)
	case ctx.Err() != nil && s.ctx.Err() == nil:
		// The attempt timed out when the headers had just been read: its connection is closed, and a stream that has
		// begun may not be retried.
		s.request.MayHaveRun = true
		return &failure{err: fmt.Errorf("%w: %w", upstream.ErrBroken, context.Cause(ctx)), execution: mayHaveRun}
	default:
		return s.relayStream(from, resp, cancel)
	}
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}
