package dispatch

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync/atomic"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/eventstream"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/streams"
	"dooryard.example/dooryard/internal/upstream"
)

// stream is a response stream to the caller that has started. A resumable stream relays only
// complete events, so that after a resume no event is duplicated or joined to a part of another.
type stream struct {
	request *opaque.Request
	// completeOnly makes the stream relay complete events only.
	completeOnly bool
	// startedMs is when the first data arrived.
	startedMs clock.Millis
	now       func() clock.Millis
	// dataSent is set once any event data was sent to the caller.
	dataSent bool
	// events finds the ends of events in the response of the current upstream.
	events eventstream.Scanner
	// partial is the beginning of an incomplete event, if completeOnly is set.
	partial partialEvent
	// origin is the origin of the current upstream, or nil if it is doubtful or another box chose the upstream, which
	// then records it.
	origin        *streams.Origin
	recordsOrigin bool
	// mayGoOn is what resumable reported after the latest write. Timers read it while the stream is relayed.
	mayGoOn atomic.Bool
	// onOrigin records the origin of a stream that the caller may take up.
	onOrigin func(r *opaque.Request)
}

const streamBufferBytes = 4 << 10

// maxEventBytes is the maximum size of an event of a resumable stream, which is held until it is complete.
const maxEventBytes = 1 << 20

// errEventTooLong means that an event exceeds its limit.
var errEventTooLong = fmt.Errorf("%w: event exceeds %d bytes", upstream.ErrBroken, maxEventBytes)

// lastEventID returns the ID of the last event that the caller has: of this response, or else the one that the
// caller sent to take up a stream. It returns "" if there is none.
func (s *retryLoop) lastEventID() string {
	return cmp.Or(s.request.RelayedID, s.request.LastEventID())
}

// resumable reports whether another upstream may continue the stream. Before the first event, it may have any origin.
func (t *stream) resumable() bool {
	return t.completeOnly && (!t.dataSent || t.request.RelayedID != "" && t.request.Origin != nil)
}

// mayResume reports whether another upstream may continue the stream now.
func (s *retryLoop) mayResume() bool {
	return s.stream.resumable() && (!s.stream.dataSent || !s.pipe.deps.OriginRetracted(s.request))
}

// streamIdleTimeoutFactor is the idle time after which another upstream continues a stream, as a
// multiple of the route's longest acceptable pause.
const streamIdleTimeoutFactor = 3

// startIdleTimeout cancels an attempt whose stream is idle for too long while another upstream may
// continue it. The caller must call the event function after each read to restart the timeout, and
// stop at the end. A box that the request was forwarded to does the same itself, and nothing follows its response.
func (s *retryLoop) startIdleTimeout(from responseSource, cancel context.CancelCauseFunc) (event, stop func()) {
	r := s.request
	timeout := streamIdleTimeoutFactor * r.Route.MaxGapMs
	if from.isFinal || !r.Route.Resumable || r.Sent >= r.Route.Attempts || timeout <= 0 {
		return func() {}, func() {}
	}
	timer := s.startRetryTimer(timeout, s.continuationHelps(from), cancel)
	return timer.recordProgress, timer.stop
}

// continuationHelps returns a function that reports whether another upstream may continue the stream now, and usually
// responds within a span. Otherwise a canceled attempt would cut the response off. The conditions include those under
// which a failed attempt is followed by another one.
func (s *retryLoop) continuationHelps(from responseSource) func(span clock.Millis) bool {
	next := s.pickRequest()
	next.Tried = append(slices.Clone(next.Tried), s.request.Upstream)
	if from.origin != nil {
		next.Version = &from.origin.Version
	}
	return func(span clock.Millis) bool {
		return s.request.Route.Repeatable() && s.stream.mayGoOn.Load() && !s.pipe.deps.OriginRetracted(s.request) &&
			s.retryHelps(span) && s.pipe.deps.HasCandidate(next)
	}
}

// relayStream relays events as they arrive.
func (s *retryLoop) relayStream(from responseSource, res *upstream.Response, cancel context.CancelCauseFunc) *failure {
	if s.stream == nil {
		s.startStream(res)
	}
	s.stream.events = eventstream.Scanner{}
	s.stream.partial = partialEvent{hold: s.pipe.deps.Memory.Hold(), take: s.takeMemory}
	defer s.stream.partial.restart(nil)
	s.stream.origin, s.stream.recordsOrigin = from.origin, from.recordsOrigin
	s.stream.mayGoOn.Store(s.stream.resumable())
	event, stop := s.startIdleTimeout(from, cancel)
	defer stop()
	helps := s.continuationHelps(from)
	mayContinue := func() bool { return from.origin != nil && helps(0) }
	s.mayContinue.Store(&mayContinue)
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := res.Read(buffer)
		event()
		if n > 0 {
			from.onPart()
			from.onBody()
		}
		if writeErr := s.stream.write(buffer[:n]); writeErr != nil {
			return &failure{err: writeErr, execution: mayHaveRun}
		}
		s.stream.mayGoOn.Store(s.stream.resumable())
		if len(s.stream.partial.data) > maxEventBytes {
			err = errEventTooLong
		}
		switch {
		case errors.Is(err, io.EOF):
			return s.finishStream(from, res)
		case err != nil:
			if s.ctx.Err() == nil {
				from.onBroken()
			}
			s.request.MayHaveRun = true
			return &failure{err: err, execution: mayHaveRun}
		}
	}
}

// startStream sends the response headers to the caller. They come from the first upstream and stay
// the same after a resume.
func (s *retryLoop) startStream(resp *upstream.Response) {
	r := s.request
	s.stream = &stream{
		request: r, now: s.pipe.deps.Clock.Monotonic, completeOnly: r.Route.Resumable,
		onOrigin: s.pipe.deps.OnStreamOrigin,
	}
	setResponseHeader(r.Writer.Header(), r.Dialect.ResponseHeader(resp.Header))
	r.SetHopHeaders()
	s.responding.Store(true)
	r.Writer.HoldUnread(s.cancel)
	r.Writer.WriteHeader(http.StatusOK)
	// If the caller has disconnected, writing the first event fails.
	_ = r.Writer.FlushNow()
}

// finishStream ends a stream that the upstream ended. The attempt fails if the last event is
// incomplete, however the response is framed, or if the upstream crashed.
func (s *retryLoop) finishStream(from responseSource, res *upstream.Response) *failure {
	var err error
	if s.stream.events.InEvent() {
		err = fmt.Errorf("%w: last event is incomplete", upstream.ErrBroken)
	} else {
		err = s.checkEnd(from, res)
	}
	if err == nil {
		s.observeEvents(s.stream.events.Events())
		return nil
	}
	if !errors.Is(err, errEndAtDeadline) {
		from.onBroken()
	}
	s.request.MayHaveRun = true
	return &failure{err: err, execution: mayHaveRun}
}

// write sends received data to the caller.
func (t *stream) write(part []byte) error {
	if !t.completeOnly {
		before := t.events.Events()
		t.events.Scan(part)
		return t.relay(part, t.events.Events()-before)
	}
	if err := t.partial.grow(len(part)); err != nil {
		return err
	}
	before := t.events.Events()
	end := t.events.Scan(part)
	if end == 0 {
		t.partial.add(part)
		return nil
	}
	complete := t.partial.complete(part[:end])
	t.recordLastID(complete)
	if err := t.relay(complete, t.events.Events()-before); err != nil {
		return err
	}
	t.partial.restart(part[end:])
	return nil
}

// relay sends events, or parts of them, to the caller.
func (t *stream) relay(part []byte, events int) error {
	if len(part) == 0 {
		return nil
	}
	if !t.dataSent {
		t.startedMs = t.now()
		if t.request.Origin == nil {
			t.request.Origin = t.origin
		}
		t.recordOrigin()
	}
	t.dataSent = true
	t.request.Events += events
	if _, err := t.request.Writer.Write(part); err != nil {
		return fmt.Errorf("%w: %w", errCallerDisconnected, err)
	}
	if err := t.request.Writer.FlushNow(); err != nil {
		return fmt.Errorf("%w: %w", errCallerDisconnected, err)
	}
	return nil
}

// recordOrigin records the origin of the stream, or that it is doubtful, if the caller may take the stream up. A box
// that forwards the request leaves this to the other box.
func (t *stream) recordOrigin() {
	if t.completeOnly && t.recordsOrigin {
		t.onOrigin(t.request)
	}
}

// recordLastID records the ID of the last event that has one.
func (t *stream) recordLastID(events []byte) {
	start := bytes.LastIndex(events, []byte("id:"))
	for start > 0 && events[start-1] != '\n' && events[start-1] != '\r' {
		start = bytes.LastIndex(events[:start], []byte("id:"))
	}
	if start < 0 {
		return
	}
	value := events[start+len("id:"):]
	if end := bytes.IndexAny(value, "\r\n"); end >= 0 {
		value = value[:end]
	}
	t.request.RelayedID = string(bytes.TrimSpace(value))
}

// abort returns an error that closes the caller's connection, so that an incomplete response does
// not appear complete.
func abort(err error) error {
	return opaque.NewRefusal(http.StatusOK, opaque.ResponseLost, 0, fmt.Errorf("%w: %w", opaque.ErrTruncated, err))
}
