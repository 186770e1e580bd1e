package dispatch

import (
	"fmt"
	"net/http"

	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/upstream"
)

// errEndUnknown means that a response without length or chunks is not known to be complete.
var errEndUnknown = fmt.Errorf("%w: response has no length, and its upstream may have crashed", upstream.ErrBroken)

// checkEnd returns an error if a body that was read to its end is not known to be complete. A crashed
// upstream closes its connections in order, which looks the same as the end of a body that has neither
// a length nor chunks. A response to HEAD has no body.
func (s *retryLoop) checkEnd(from responseSource, resp *upstream.Response) error {
	check, err := endCheck(from, resp)
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

// endCheck returns the check by which a body that was read to its end is taken for complete.
func endCheck(from responseSource, resp *upstream.Response) (opaque.EndCheck, error) {
	switch {
	case resp.Body == http.NoBody:
		return opaque.EndWithoutBody, nil
	case resp.Framing() == upstream.ByLength:
		return opaque.EndByLength, nil
	case resp.Framing() == upstream.ByChunks:
		return opaque.EndByLastChunk, nil
	}
	switch from.survival() {
	case upstream.Responding:
		return opaque.EndConfirmed, nil
	case upstream.Accepting:
		return opaque.EndUnconfirmed, nil
	default:
		return "", errEndUnknown
	}
}

// logUnconfirmed logs a response that is taken for complete though its upstream has not confirmed that it runs on.
func (s *retryLoop) logUnconfirmed() {
	r := s.request
	s.pipe.deps.RecordEvent(decision.EndUnconfirmed{
		Request: r.ID, Upstream: r.Upstream, Pool: r.Pool, Events: r.Events, LastEventID: r.RelayedID,
		TookMs: s.pipe.deps.Clock.Monotonic() - s.attemptStartedMs,
	})
}
