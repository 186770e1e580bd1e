package dispatch

import (
	"errors"
	"fmt"
	"io"
	"strconv"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/upstream"
)

// errCallerFault means that a response broke after the caller had delayed its reading, or that the caller was lost. It
// says nothing about the upstream, since upstreams cut off responses that stay unread for some seconds.
var errCallerFault = errors.New("the caller delayed the response or left")

// maxCallerDelayMs is how long a caller may delay the reading of a response whose failure counts against its upstream.
const maxCallerDelayMs = clock.Second

// relayUnbuffered sends a response to the caller as it is read, because the box's memory can't hold it. The response
// has the part of the body that was read. A failure is final once the caller has any of the response.
//
// This is for boxes with less than 128 MiB of memory, where large responses would wait for each other.
func (s *retryLoop) relayUnbuffered(from responseSource, resp *upstream.Response, w *bufferedResponse) *failure {
	r := s.request
	if failed := s.classify(w); failed != nil && !from.isFinal {
		// Failures are not relayed unbuffered, since that would rule out a retry.
		failed.response = nil
		s.releaseBody()
		return failed
	}
	switch {
	case s.stream != nil:
		return &failure{err: fmt.Errorf("%w: status %d for a resumed stream", errFailed, w.status), execution: ran}
	case resp.ContentLength > maxResponseBytes:
		r.MayHaveRun = true
		return &failure{err: errTooLarge, execution: mayHaveRun}
	}
	s.responding.Store(true)
	s.pipe.deps.Memory.CountUnbuffered()
	r.Writer.StartBuffered(r.DeadlineMs - s.pipe.deps.Clock.Monotonic())
	defer r.Writer.EndBuffered()
	setResponseHeader(r.Writer.Header(), w.header)
	r.SetHopHeaders()
	if resp.ContentLength >= 0 {
		r.Writer.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	r.Writer.WriteHeader(w.status)
	err := s.relayBody(from, resp, w)
	if err == nil {
		err = s.checkEnd(from, resp)
	}
	if err != nil {
		r.MayHaveRun = true
		return &failure{err: err, execution: mayHaveRun}
	}
	return nil
}

// relayBody sends the part of the body that was read, and then the rest as it is read.
func (s *retryLoop) relayBody(from responseSource, resp *upstream.Response, w *bufferedResponse) error {
	now := s.pipe.deps.Clock.Monotonic
	startMs := now()
	if err := w.writeBody(s.request); err != nil {
		return fmt.Errorf("%w: %w", errCallerFault, err)
	}
	w.body = nil
	s.releaseBody()
	delayMs, size := now()-startMs, w.size
	// A buffer as small as that of a stream isn't counted.
	buffer := make([]byte, streamBufferBytes)
	for {
		n, readErr := resp.Read(buffer)
		size += n
		if n > 0 && isSuccess(w.status) {
			from.onBody()
		}
		startMs = now()
		if _, err := s.request.Writer.Write(buffer[:n]); err != nil {
			return fmt.Errorf("%w: %w", errCallerFault, err)
		}
		delayMs += now() - startMs
		switch {
		case errors.Is(readErr, io.EOF):
			return nil
		case size > maxResponseBytes:
			return errTooLarge
		case readErr != nil && delayMs > maxCallerDelayMs:
			return fmt.Errorf("%w: %w", errCallerFault, readErr)
		case readErr != nil:
			return readErr
		}
	}
}
