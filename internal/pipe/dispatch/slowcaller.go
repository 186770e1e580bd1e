package dispatch

import (
	"fmt"
	"net/http"

	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/opaque"
)

// callerCutOff reports whether the caller was cut off because it did not read. No other upstream may continue its
// stream.
func (s *retryLoop) callerCutOff() bool {
	_, slow := s.request.Writer.CutOff()
	return slow != nil
}

// awaitCaller waits until the caller has read the rest of a stream, while no upstream waits any more, and returns the
// error that the request ends with.
func (s *retryLoop) awaitCaller(err error) error {
	r := s.request
	var lost error
	if s.stream != nil && (err == nil || r.Context().Err() == nil) {
		lost = r.Writer.AwaitRead()
	}
	held, slow := r.Writer.CutOff()
	switch {
	case slow != nil:
		s.pipe.deps.RecordEvent(decision.CallerCutOff{
			Request: r.ID, Upstream: r.Upstream, HeldBytes: held, SentBytes: r.Writer.Written() - int64(held),
			Reason: string(slow.Reason),
		})
		return opaque.NewRefusal(http.StatusOK, opaque.CallerSlow, 0, fmt.Errorf("%w: %w", opaque.ErrTruncated, slow))
	case lost != nil:
		return opaque.NewRefusal(opaque.StatusCallerDisconnected, opaque.CallerDisconnected, 0, lost)
	default:
		return err
	}
}
