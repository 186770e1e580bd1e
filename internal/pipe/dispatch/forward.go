package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/upstream"
)

const (
	// maxForwards limits the boxes that one request is forwarded to.
	maxForwards = 3
	// maxFailedDials is the number of upstreams of a pool that a request tries to connect to before it is
	// forwarded. More than a few rarely crash at once.
	maxFailedDials = 8
	// forwardTimeoutFactor is firstByteTimeoutFactor for a forwarded request, and leaves the other box the
	// time to retry.
	forwardTimeoutFactor = 3
)

const headerAuthorization = "Authorization"

var errNotFromBox = errors.New("response is not that of the box that the request was forwarded to")

// Box is another box that requests are forwarded to.
type Box struct {
	Name   string
	Client *upstream.Client
}

// canForward reports whether another box can be asked to serve the request. One that was forwarded to this
// box is not forwarded again, so that no request goes in a circle.
func (s *retryLoop) canForward() bool {
	if s.request.FromBox != "" {
		return false
	}
	_, found := s.pipe.deps.NextBox(s.request, nil)
	return found
}

// forward has other boxes serve a request whose upstreams this box can't reach. It tries them one after
// another, under the same conditions as upstreams, and fails as before if none responds.
func (s *retryLoop) forward(failed *failure) error {
	for len(s.boxesTried) < maxForwards {
		box, found := s.pipe.deps.NextBox(s.request, s.boxesTried)
		if !found {
			break
		}
		s.boxesTried = append(s.boxesTried, box.Name)
		if failed = s.attemptForward(box); failed == nil {
			return nil
		}
		retry := s.recordFailure("box "+box.Name, failed)
		if !retry || failed.refusal != nil && !failed.refusal.Cause.AnotherBoxMayServe() {
			break
		}
	}
	return s.finish(failed)
}

// attemptForward forwards the request to one box. It returns nil if the caller has the complete response.
func (s *retryLoop) attemptForward(box Box) *failure {
	r := s.request
	s.attempts++
	s.dropFailedResponse()
	s.attemptStartedMs = s.pipe.deps.Clock.Monotonic()
	s.signals = opaque.Signals{}
	r.Upstream, r.Framing, r.End = "box "+box.Name, "", ""
	s.pipe.deps.OnForward()
	s.pipe.deps.RecordEvent(decision.RequestForwarded{
		Request: r.ID, Route: r.Route.Name, Pool: r.Pool, Box: box.Name, Attempt: s.attempts, Sent: r.Sent,
		ResumeAfter: s.lastEventID(), UnreachableMs: s.pipe.deps.UnreachableMs(r.Pool),
	})
	ctx, cancel := context.WithCancelCause(s.ctx)
	defer cancel(nil)
	stopTimer := s.startFirstByteTimeout(forwardTimeoutFactor, s.budgetAllowsRetry, cancel)
	resp, err := box.Client.Do(ctx, s.buildForward(box))
	stopTimer()
	if err != nil {
		if s.ctx.Err() == nil {
			s.pipe.deps.OnBoxFailed(box.Name)
		}
		return s.failForward(err)
	}
	defer resp.Close()
	s.recordProgress()
	r.Framing = string(resp.Framing())
	hop, err := opaque.ParseHopResponse(resp.StatusCode, resp.Header)
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		// An upstream that has taken over the address of the box. It did not run the request.
		return &failure{err: errNotFromBox, execution: notSent}
	case err != nil || hop.Box != box.Name:
		return s.failForward(errors.Join(errNotFromBox, err))
	}
	r.Sent += hop.Sent
	if hop.Refusal != nil {
		return s.refusedBy(box, hop)
	}
	failed := s.relay(ctx, boxSource(), resp, cancel)
	if failed != nil {
		// The other box may have retried since it sent the header.
		r.Sent = max(r.Sent, r.Route.Attempts)
	}
	return failed
}

// unframedBox is the survival of a box, which frames each response.
func unframedBox() upstream.Survival { return upstream.Gone }

// boxSource is the source of a response from another box, which makes the retries.
func boxSource() responseSource {
	ignore := func() {}
	return responseSource{onPart: ignore, onBody: ignore, onBroken: ignore, survival: unframedBox, isFinal: true}
}

// buildForward returns the request to another box. It names the box as the only one that may run it, so
// that no upstream does that has taken over the address.
func (s *retryLoop) buildForward(box Box) *upstream.Request {
	r := s.request
	now := s.pipe.deps.Clock.Monotonic()
	request := s.newRequest()
	if key, present := r.HTTP.Header[headerAuthorization]; present {
		// The other box checks the key itself.
		request.Header[headerAuthorization] = key
	}
	setHeader(request.Header, r.Dialect.ExpectUpstream, box.Name)
	hop := opaque.Hop{Box: r.Box, Sent: r.Sent, ElapsedMs: now - r.ArrivedMs, Version: r.State.Version()}
	if r.Origin != nil {
		hop.Origin = r.Origin.Key()
	}
	hop.SetHeader(request.Header)
	request.BeforeSend = func() error { return s.pipe.deps.CheckBeforeSend(s.ctx, r) }
	return request
}

// failForward returns the failure of a forwarded request without a usable response. The other box may have
// sent it to as many upstreams as the route allows.
func (s *retryLoop) failForward(err error) *failure {
	if upstream.NothingSent(err) {
		return &failure{err: err, execution: notSent}
	}
	s.request.Sent = max(s.request.Sent+1, s.request.Route.Attempts)
	s.request.MayHaveRun = true
	return &failure{err: err, execution: mayHaveRun}
}

// refusedBy returns the failure of a forwarded request that the other box refused.
func (s *retryLoop) refusedBy(box Box, hop opaque.HopResponse) *failure {
	failed := &failure{
		err:       fmt.Errorf("box %s refused: %w", box.Name, hop.Refusal),
		execution: notSent, refusal: hop.Refusal,
	}
	switch {
	case !impliesNotRun(hop.Refusal.Status) && hop.Sent > 0:
		failed.execution = mayHaveRun
		s.request.MayHaveRun = true
	case hop.Sent > 0:
		failed.execution = notRun
	}
	return failed
}
