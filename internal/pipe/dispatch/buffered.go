package dispatch

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/upstream"
)

// maxResponseBytes limits the size of a response that is not a stream. Such a response is buffered
// completely before any of it is sent, so that the caller never gets a truncated response as complete.
const maxResponseBytes = 16 << 20

// bufferedResponse is a complete response from an upstream.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// notRun is set if the upstream proved that it did not run the request.
	notRun bool
}

// relayBuffered reads a complete response and sends it to the caller, unless it is a failure after
// which the request may be retried.
func (s *retryLoop) relayBuffered(from responseSource, resp *upstream.Response) *failure {
	r := s.request
	source := io.Reader(resp)
	if isSuccess(resp.StatusCode) {
		source = &startReader{Reader: resp, onStart: from.onStart}
	}
	body, err := io.ReadAll(io.LimitReader(source, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errTooLarge
	}
	if err == nil {
		err = s.checkEnd(from, resp)
	}
	if err != nil {
		r.MayHaveRun = true
		return &failure{err: err, execution: mayHaveRun}
	}
	w := &bufferedResponse{
		status: resp.StatusCode, header: r.Dialect.ResponseHeader(resp.Header), body: body,
		notRun: resp.Header.Get(r.Dialect.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest,
	}
	if failed := s.classify(w); failed != nil && !from.isFinal {
		return failed
	}
	if s.stream != nil {
		return &failure{err: fmt.Errorf("%w: status %d for a resumed stream", errFailed, w.status), execution: ran}
	}
	s.writeBuffered(w)
	return nil
}

// classify returns the failure that a response stands for, or nil if the response is final.
func (s *retryLoop) classify(w *bufferedResponse) *failure {
	switch {
	case w.status == http.StatusMisdirectedRequest:
		return &failure{err: errWrongUpstream, execution: wrongUpstream}
	case w.notRun:
		return &failure{err: fmt.Errorf("%w: status %d", errNotRun, w.status), execution: notRun, response: w}
	case w.status >= http.StatusInternalServerError || impliesNotRun(w.status):
		s.request.MayHaveRun = true
		return &failure{err: fmt.Errorf("%w: status %d", errFailed, w.status), execution: ran, response: w}
	default:
		return nil
	}
}

// mayRelay reports whether the upstream's error response may be sent to the caller. A status that
// implies that the request did not run is relayed only if the upstream proved it for this attempt
// and, unless the route is repeatable, no other attempt may have run.
func (w *bufferedResponse) mayRelay(r *opaque.Request) bool {
	if !impliesNotRun(w.status) {
		return true
	}
	return w.notRun && (!r.MayHaveRun || r.Route.Repeatable())
}

// relay sends the upstream's error response to the caller. If its
// status implies that the request did not run, the box replaces the Retry-After header with its own:
// the upstream's value is meant for the box, which may know other upstreams with capacity.
func (w *bufferedResponse) relay(r *opaque.Request, retryAfter func() clock.Millis) error {
	if impliesNotRun(w.status) {
		w.header.Set("Retry-After", r.Dialect.RetryAfter(retryAfter()))
	}
	w.write(r)
	return fmt.Errorf("%w: upstream returned status %d", opaque.ErrAnswered, w.status)
}

func (s *retryLoop) writeBuffered(w *bufferedResponse) { w.write(s.request) }

func (w *bufferedResponse) write(r *opaque.Request) {
	setResponseHeader(r.Writer.Header(), w.header)
	r.SetHopHeaders()
	if r.HTTP.Method != http.MethodHead {
		r.Writer.Header().Set("Content-Length", strconv.Itoa(len(w.body)))
	}
	r.Writer.WriteHeader(w.status)
	// Write errors are ignored: the caller has disconnected and can't get a response.
	_, _ = r.Writer.Write(w.body)
}

// setResponseHeader copies an upstream's response headers. Missing Date and Content-Type headers
// are set to nil, so that the HTTP server does not add its own.
func setResponseHeader(target, source http.Header) {
	for name, values := range source {
		target[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, present := target[name]; !present {
			target[name] = nil
		}
	}
}

var errCallerDisconnected = errors.New("the caller left")
