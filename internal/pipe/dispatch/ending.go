package dispatch

import (
	"errors"
	"fmt"
	"net/http"
	"slices"

	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/upstream"
)

var (
	// errEndUnknown means that a response without length or chunks is not known to be complete.
	errEndUnknown = fmt.Errorf("%w: response has no length, and its upstream may have crashed", upstream.ErrBroken)
	// errEndUnconfirmed means that such a response is not known to be complete, and that another upstream can repeat or
	// continue it.
	errEndUnconfirmed = errors.New("response has no length, and its upstream is not known to run on")
	// errEndAtDeadline means that a response has ended when its upstream may have stopped working on it.
	errEndAtDeadline = errors.New("response ended at the deadline that its upstream was given")
)

// checkEnd returns an error if a body that was read to its end is not known to be complete. A crashed
// upstream closes its connections in order, which looks the same as the end of a body that has neither
// a length nor chunks. A response to HEAD has no body.
func (s *retryLoop) checkEnd(from responseSource, resp *upstream.Response) error {
	if s.endsAtDeadline(resp) {
		return errEndAtDeadline
	}
	check, err := s.endCheck(from, resp)
	if err != nil {
		return err
	}
	s.request.End = check
	s.pipe.deps.OnEnd(check)
	if check == opaque.EndUnconfirmed {
		s.logUnconfirmed()
	}
	return nil
}

// endsAtDeadline reports whether a response that can end in order at any time has ended when its upstream, which stops
// working at the deadline, may have stopped. This process may see that before its own timer.
func (s *retryLoop) endsAtDeadline(resp *upstream.Response) bool {
	endsAnywhere := s.stream != nil || resp.Framing() == upstream.ByConnection && resp.Body != http.NoBody
	return endsAnywhere && s.pipe.deps.Clock.Monotonic() >= s.upstreamDeadlineMs
}

// endCheck returns the check by which a body that was read to its end is taken for complete.
func (s *retryLoop) endCheck(from responseSource, resp *upstream.Response) (opaque.EndCheck, error) {
	switch {
	case resp.Body == http.NoBody:
		return opaque.EndWithoutBody, nil
	case resp.Framing() == upstream.ByLength:
		return opaque.EndByLength, nil
	case resp.Framing() == upstream.ByChunks:
		return opaque.EndByLastChunk, nil
	}
	switch found := from.survival(); {
	case found == upstream.Responding:
		return opaque.EndConfirmed, nil
	case found == upstream.Gone:
		return "", errEndUnknown
	case s.rejectsUnconfirmed(from, found):
		return "", errEndUnconfirmed
	default:
		return opaque.EndUnconfirmed, nil
	}
}

// rejectsUnconfirmed reports whether a response fails whose upstream is not known to run on. Another upstream then
// repeats or continues it, and the caller of a resumable stream can do so too. If no end of a pool can be confirmed,
// its streams fail only if another upstream continues them, or if the upstream was found to have restarted. Responses
// that nobody could repeat would be lost.
func (s *retryLoop) rejectsUnconfirmed(from responseSource, found upstream.Survival) bool {
	r := s.request
	switch {
	case s.stream == nil:
		return found == upstream.Unanswered && s.repetitionHelps() && s.reserveRetry()
	case !s.stream.completeOnly:
		return false
	case found == upstream.Unanswered || from.origin != nil && s.pipe.deps.OriginRetracted(r):
		return true
	default:
		return r.Sent < r.Route.Attempts && s.continuationHelps(from)(0) && s.reserveRetry()
	}
}

// repetitionHelps reports whether another upstream may repeat a response of which the caller has nothing, and usually
// responds in time.
func (s *retryLoop) repetitionHelps() bool {
	r := s.request
	if !r.Route.Repeatable() || r.Writer.Started() || r.Sent >= r.Route.Attempts {
		return false
	}
	next := s.pickRequest()
	next.Tried = append(slices.Clone(next.Tried), r.Upstream)
	return s.retryHelps(0) && s.pipe.deps.HasCandidate(next)
}

// logUnconfirmed logs a response that is taken for complete though its upstream has not confirmed that it runs on.
func (s *retryLoop) logUnconfirmed() {
	r := s.request
	s.pipe.deps.RecordEvent(decision.EndUnconfirmed{
		Request: r.ID, Upstream: r.Upstream, Pool: r.Pool, Events: r.Events, LastEventID: r.RelayedID,
		TookMs: s.pipe.deps.Clock.Monotonic() - s.attemptStartedMs,
	})
}
