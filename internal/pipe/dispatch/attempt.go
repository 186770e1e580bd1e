package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/routing"
	"dooryard.example/dooryard/internal/upstream"
)

// Errors of an attempt.
var (
	errNotRun    = errors.New("the upstream ran nothing")
	errElsewhere = errors.New("another upstream has the address")
	errFailed    = errors.New("the upstream failed")
	errTooLong   = errors.New("answer too long")
	errSilent    = errors.New("no answer in time for another attempt")
	errPathCut   = errors.New("the path to the failure domain is cut")
)

// patience is how many times the objective an upstream may take for the head of
// its answer while the request may still go elsewhere. Without such attempts days with
// upstreams that hang lose 0.0024 of the worth (six paired runs, standard error 0.0012).
const patience = 2

// attempt sends the request to one upstream. It returns nil when the caller has
// the whole answer.
func (s *sending) attempt(lease *balance.Lease) *failure {
	s.attempts++
	s.startedMs = s.pipe.deps.Clock.Steady()
	s.word = opaque.Word{}
	s.request.Upstream = lease.ID
	s.tellPicked(lease)
	ctx, cancel := context.WithCancelCause(s.ctx)
	defer cancel(nil)
	s.watchPath(lease, cancel)
	stopTimer := s.watchSilence(cancel)
	answer, err := lease.Client().Do(ctx, s.build(lease))
	stopTimer()
	if err != nil {
		s.observe(ctx, lease, err)
		return s.unanswered(lease, err, context.Cause(ctx))
	}
	defer answer.Close()
	s.request.Sent++
	s.hear(lease, answer)
	if answer.StatusCode < http.StatusInternalServerError && s.word.RestMs == 0 {
		lease.Answered()
	}
	failed := s.receive(lease, answer, cancel)
	switch {
	case failed != nil:
		s.observe(ctx, lease, failed.err)
	default:
		s.pipe.deps.Whole(s.request.Fingerprint)
	}
	lease.Release(s.judge(failed))
	return failed
}

// hear takes what the upstream says of itself. An upstream that has the address of another one
// speaks of itself, not of the one that was picked.
func (s *sending) hear(lease *balance.Lease, answer *upstream.Answer) {
	if answer.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	s.word = s.request.Dialect.Word(answer.StatusCode, answer.Header)
	s.pipe.deps.Hear(s.request.ID, lease, s.word)
}

// watchSilence ends an attempt whose answer does not begin while the request
// could still be answered in time elsewhere.
func (s *sending) watchSilence(cancel context.CancelCauseFunc) (stop func()) {
	r := s.request
	span := patience * r.Route.ObjectiveMs
	if !r.Route.Repeatable() || r.Sent+1 >= r.Route.Attempts || span <= 0 {
		return func() {}
	}
	timer := s.pipe.deps.Clock.AfterFunc(span, func() { cancel(errSilent) })
	return func() { timer.Stop() }
}

// watchPath ends an attempt behind a path that turns out to be cut, if the request may go
// elsewhere: a stream that may be resumed pauses for 0.2 s to 0.4 s in place of three of its
// longest good pauses. On days with a cut that is 0.0010 of the worth (twelve paired runs,
// standard error 0.0005).
func (s *sending) watchPath(lease *balance.Lease, cancel context.CancelCauseFunc) {
	r := s.request
	if r.Route.Repeatable() && r.Sent+1 < r.Route.Attempts {
		lease.OnCut(func() { cancel(errPathCut) })
	}
}

// unanswered judges an attempt without an answer.
func (s *sending) unanswered(lease *balance.Lease, err, cause error) *failure {
	failed := &failure{err: err, proof: mayHaveRun}
	if errors.Is(cause, errSilent) || errors.Is(cause, errPathCut) {
		failed.err = fmt.Errorf("%w: %w", cause, err)
	}
	if upstream.NothingSent(err) {
		failed.proof = notSent
	} else {
		s.request.Sent++
		s.request.MayHaveRun = true
	}
	switch {
	case s.ctx.Err() != nil || errors.Is(err, balance.ErrAtRest) || errors.Is(err, balance.ErrLeaving):
		lease.Release(balance.Neutral)
	case errors.Is(err, upstream.ErrUnreachable):
		lease.Release(balance.Unreachable)
	default:
		lease.Release(balance.Broken)
	}
	return failed
}

// judge is what an answered attempt says of the upstream's health. One that asks for rest is
// well: its rest, not an ejection of growing length, says when it takes work again.
func (s *sending) judge(failed *failure) balance.Result {
	switch {
	case failed == nil:
		return balance.Succeeded
	case s.word.RestMs > 0:
		return balance.Neutral
	case failed.proof == wrongUpstream:
		return balance.Unreachable
	default:
		return balance.Failed
	}
}

func (s *sending) tellPicked(lease *balance.Lease) {
	r := s.request
	if lease.Reading.Tokens > 0 {
		s.pipe.deps.Reads(string(lease.Reading.Why), lease.Reading.Tokens)
	}
	s.pipe.deps.Tell(decision.Picked{
		Request: r.ID, Route: r.Route.Name, Pool: r.Pool, Version: r.State.Version(), AgeMs: s.pipe.deps.AgeMs(),
		Upstream: lease.ID, Attempt: s.attempts, Rank: lease.Rank, Load: lease.Load,
		MeanPercent: lease.MeanPercent, PassedOver: lease.Passed.Upstream, PassedWhy: string(lease.Passed.Why),
		FetchFrom: lease.FetchFrom, ReadTokens: lease.Reading.Tokens, ReadWhy: string(lease.Reading.Why),
		ResumeAfter: s.stream.lastEvent(),
	})
}

// build makes the upstream's request.
func (s *sending) build(lease *balance.Lease) *upstream.Request {
	r, d := s.request, s.request.Dialect
	header := d.Forwarded(r.HTTP.Header)
	set := func(name, value string) {
		if name != "" && value != "" {
			header.Set(name, value)
		}
	}
	remaining := max(1, r.RemainingMs(s.pipe.deps.Clock.Steady()))
	set(d.DeadlineMs, strconv.FormatInt(int64(remaining), 10))
	set(d.ExpectUpstream, lease.ID)
	set(d.FetchFrom, lease.FetchFrom)
	set(d.LastEventID, s.stream.lastEvent())
	if r.Organisation != nil {
		set(d.Organisation, r.Organisation.Name)
	}
	if r.Route.Kind == routing.Stream {
		set(d.Urgency, strconv.Itoa(min(r.Priority(), maxUrgency)))
	}
	return &upstream.Request{
		Method: r.HTTP.Method, Target: r.HTTP.RequestURI, Host: r.HTTP.Host, Header: header, Body: r.Body,
		MaySend: lease.MaySend,
		Mine:    func(answer http.Header) bool { return answer.Get(d.RequestID) == r.ID },
	}
}

// maxUrgency is the least urgent rank that engines know.
const maxUrgency = 9

// receive takes an answer whose head has come.
func (s *sending) receive(lease *balance.Lease, answer *upstream.Answer, cancel context.CancelCauseFunc) *failure {
	if answer.StatusCode == http.StatusOK && isEventStream(answer.Header) {
		return s.passStream(lease, answer, cancel)
	}
	return s.passWhole(answer)
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}
