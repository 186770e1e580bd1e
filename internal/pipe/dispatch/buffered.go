package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/exchange"
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
	// body is the body in parts, so that a long one needs no larger buffer while it is read.
	body [][]byte
	size int
	// notRun is set if the upstream proved that it did not run the request.
	notRun bool
}

// relayBuffered reads a complete response and sends it to the caller, unless it is a failure after
// which the request may be retried.
func (s *retryLoop) relayBuffered(from responseSource, resp *upstream.Response) *failure {
	r := s.request
	body, size, err := s.readBody(resp, from.onBody)
	if errors.Is(err, exchange.ErrOverReserve) {
		return s.relayUnbuffered(from, resp, s.newBufferedResponse(resp, body, size))
	}
	if err == nil {
		err = s.checkEnd(from, resp)
	}
	if err != nil {
		r.MayHaveRun = true
		return &failure{err: err, execution: mayHaveRun}
	}
	w := s.newBufferedResponse(resp, body, size)
	if failed := s.classify(w); failed != nil && !from.isFinal {
		return failed
	}
	if s.stream != nil {
		return &failure{err: fmt.Errorf("%w: status %d for a resumed stream", errFailed, w.status), execution: ran}
	}
	s.writeBuffered(w)
	return nil
}

func (s *retryLoop) newBufferedResponse(resp *upstream.Response, body [][]byte, size int) *bufferedResponse {
	d := s.request.Dialect
	return &bufferedResponse{
		status: resp.StatusCode, header: d.ResponseHeader(resp.Header), body: body, size: size,
		notRun: resp.Header.Get(d.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest,
	}
}

// Sizes of the buffers of a body. Most bodies of unknown length fit into the first one.
const (
	firstPartBytes = 4 << 10
	maxPartBytes   = 64 << 10
)

// readBody reads a body, and calls onBody for each part of that of a successful response. It takes the memory of each
// part before it is allocated, and waits while the box has none. With exchange.ErrOverReserve, the body is the part
// that was read.
func (s *retryLoop) readBody(
	resp *upstream.Response, onBody func(),
) (body [][]byte, size int, err error) {
	s.body = s.pipe.deps.Memory.Hold()
	length := resp.ContentLength
	if s.request.HTTP.Method == http.MethodHead {
		length = 0
	}
	switch {
	case length > maxResponseBytes:
		return nil, 0, errTooLarge
	case !s.pipe.deps.Memory.Holds(length + 1):
		return nil, 0, exchange.ErrOverReserve
	}
	source := io.Reader(resp)
	if isSuccess(resp.StatusCode) {
		source = &bodyReader{Reader: resp, onBody: onBody}
	}
	part, partBytes := []byte(nil), int64(firstPartBytes)
	for err == nil && size <= maxResponseBytes {
		if len(part) == cap(part) {
			if length >= 0 {
				// One more byte has room, so that the end is read along with the last ones.
				partBytes = min(maxPartBytes, max(0, length-int64(size))+1)
			}
			if part, err = s.newPart(partBytes); err != nil {
				return body, size, err
			}
			body = append(body, part)
			partBytes = min(maxPartBytes, 2*partBytes)
		}
		var n int
		n, err = source.Read(part[len(part):cap(part)])
		s.recordProgress()
		part, size = part[:len(part)+n], size+n
		body[len(body)-1] = part
	}
	switch {
	case size > maxResponseBytes:
		return nil, 0, errTooLarge
	case errors.Is(err, io.EOF):
		s.responding.Store(true)
		return body, size, nil
	default:
		return nil, 0, err
	}
}

// errResponseMemory means that the box had no memory for a response. It says nothing about the upstream.
var errResponseMemory = errors.New("no memory for the response")

// newPart returns an empty buffer once the box has memory for it.
func (s *retryLoop) newPart(size int64) ([]byte, error) {
	switch err := s.growHold(s.beforeDue, s.body, size); {
	case errors.Is(err, exchange.ErrOverReserve):
		return nil, err
	case err != nil:
		return nil, fmt.Errorf("%w: %w", errResponseMemory, err)
	}
	return make([]byte, 0, size), nil
}

// takeMemory takes bytes for a stream, until the request ends.
func (s *retryLoop) takeMemory(hold *exchange.Hold, size int64) error {
	if err := s.growHold(s.ctx, hold, size); err != nil {
		return fmt.Errorf("%w: %w", errResponseMemory, err)
	}
	return nil
}

// growHold takes bytes for a hold, and waits for them while the box has none.
func (s *retryLoop) growHold(ctx context.Context, hold *exchange.Hold, size int64) error {
	//nolint:wrapcheck // The caller compares it.
	return hold.Grow(ctx, size, func(sizes exchange.MemorySizes) {
		s.pipe.deps.RecordEvent(decision.ResponseDelayed{
			Request: s.request.ID, Upstream: s.request.Upstream, UsedBytes: sizes.UsedBytes, LimitBytes: sizes.LimitBytes,
		})
	})
}

// dropFailedResponse releases the response of the latest failed attempt before the request is sent again. The outcome
// of the next attempt replaces it in any case, and the response could be as large as 16 MiB.
func (s *retryLoop) dropFailedResponse() {
	if s.lastFailure != nil {
		s.lastFailure.response = nil
	}
	s.releaseBody()
}

// releaseBody releases the memory of the latest buffered response. The response may no longer be used.
func (s *retryLoop) releaseBody() {
	if s.body != nil {
		s.body.Release()
		s.body = nil
	}
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
func (w *bufferedResponse) relay(r *opaque.Request, retryAfter func() clock.Millis, now clock.Millis) error {
	if impliesNotRun(w.status) {
		w.header.Set("Retry-After", r.Dialect.RetryAfter(retryAfter()))
	}
	w.write(r, now)
	return fmt.Errorf("%w: upstream returned status %d", opaque.ErrAnswered, w.status)
}

func (s *retryLoop) writeBuffered(w *bufferedResponse) {
	w.write(s.request, s.pipe.deps.Clock.Monotonic())
}

func (w *bufferedResponse) write(r *opaque.Request, now clock.Millis) {
	r.Writer.StartBuffered(r.DeadlineMs - now)
	defer r.Writer.EndBuffered()
	setResponseHeader(r.Writer.Header(), w.header)
	r.SetHopHeaders()
	if r.HTTP.Method != http.MethodHead {
		r.Writer.Header().Set("Content-Length", strconv.Itoa(w.size))
	}
	r.Writer.WriteHeader(w.status)
	// Write errors are ignored: the caller has disconnected or was cut off, which the writer knows.
	_ = w.writeBody(r)
}

func (w *bufferedResponse) writeBody(r *opaque.Request) error {
	for _, part := range w.body {
		if _, err := r.Writer.Write(part); err != nil {
			return err //nolint:wrapcheck // The writer knows more.
		}
	}
	return nil
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
