package dispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/upstream"
)

// stream is the caller's side of a stream that has begun. Only whole events are
// passed on when the stream may be resumed, so that none comes twice or joined
// to a part of another.
type stream struct {
	request *opaque.Request
	whole   bool
	// passed is set once the caller has an event, or a part of one.
	passed bool
	// partial is the beginning of an event that has not ended.
	partial []byte
	lastID  string
}

const streamBufferBytes = 4 << 10

// lastEvent returns the id of the last event that the caller has, or "".
func (t *stream) lastEvent() string {
	if t == nil {
		return ""
	}
	return t.lastID
}

// resumable reports whether another upstream may go on with the stream.
func (t *stream) resumable() bool { return t.whole && (t.lastID != "" || !t.passed) }

// pausePatience is how many times the longest good pause a stream may be silent
// before another upstream goes on with it.
const pausePatience = 3

// watchPauses ends an attempt whose events stop coming while another upstream may
// go on with the stream. Call the function it returns at each event.
func (s *sending) watchPauses(cancel context.CancelCauseFunc) (event, stop func()) {
	r := s.request
	span := pausePatience * r.Route.GapMs
	if !r.Route.Resumable || r.Sent >= r.Route.Attempts || span <= 0 {
		return func() {}, func() {}
	}
	timer := s.pipe.deps.Clock.AfterFunc(span, func() { cancel(errSilent) })
	return func() { timer.Reset(span) }, func() { timer.Stop() }
}

// passStream passes events on as they come.
func (s *sending) passStream(lease *balance.Lease, answer *upstream.Answer, cancel context.CancelCauseFunc) *failure {
	if s.stream == nil {
		s.begin(answer)
	}
	event, stop := s.watchPauses(cancel)
	defer stop()
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := answer.Read(buffer)
		event()
		if n > 0 {
			lease.Heard()
		}
		if writeErr := s.stream.pass(buffer[:n]); writeErr != nil {
			return &failure{err: writeErr, proof: mayHaveRun}
		}
		switch {
		case errors.Is(err, io.EOF):
			return s.endStream()
		case err != nil:
			s.stream.partial = nil
			s.request.MayHaveRun = true
			return &failure{err: err, proof: mayHaveRun}
		}
	}
}

// begin sends the head of the caller's answer, which stays that of the first
// upstream.
func (s *sending) begin(answer *upstream.Answer) {
	r := s.request
	s.stream = &stream{request: r, whole: r.Route.Resumable}
	setHeader(r.Writer.Header(), r.Dialect.Returned(answer.Header))
	r.Writer.WriteHeader(http.StatusOK)
	// A caller that is gone shows at the first event.
	_ = r.Writer.FlushNow()
}

// endStream ends a stream whose upstream ended it.
func (s *sending) endStream() *failure {
	if len(s.stream.partial) > 0 {
		s.stream.partial = nil
		return &failure{err: fmt.Errorf("%w: the last event has no end", upstream.ErrBroken), proof: mayHaveRun}
	}
	return nil
}

// pass sends what came to the caller.
func (t *stream) pass(part []byte) error {
	if t.whole {
		part = t.events(part)
	}
	if len(part) == 0 {
		return nil
	}
	t.passed = true
	if _, err := t.request.Writer.Write(part); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	if err := t.request.Writer.FlushNow(); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	return nil
}

var eventEnd = []byte("\n\n")

// events returns the whole events so far and keeps the rest.
func (t *stream) events(part []byte) []byte {
	t.partial = append(t.partial, part...)
	data := t.partial
	end := bytes.LastIndex(data, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	t.partial = bytes.Clone(data[end:])
	t.noteID(data[:end])
	return data[:end]
}

// noteID remembers the id of the last event.
func (t *stream) noteID(events []byte) {
	at := bytes.LastIndex(events, []byte("id:"))
	for at > 0 && events[at-1] != '\n' {
		at = bytes.LastIndex(events[:at], []byte("id:"))
	}
	if at < 0 {
		return
	}
	line, _, _ := bytes.Cut(events[at+len("id:"):], []byte("\n"))
	t.lastID = string(bytes.TrimSpace(line))
}

// abort cuts the caller's answer so that it can't look whole.
func (t *stream) abort(err error) error {
	return opaque.NewRefusal(http.StatusOK, opaque.UpstreamLost, 0, fmt.Errorf("%w: %w", opaque.ErrCut, err))
}
