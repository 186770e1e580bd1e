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

// maxAnswerBytes bounds an answer that is not a stream. It is kept whole before
// any of it goes to the caller, so that a cut one is never passed off as whole.
const maxAnswerBytes = 16 << 20

// wholeAnswer is an upstream's answer that came whole.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
	// ranNothing is set when the upstream proved that it ran nothing.
	ranNothing bool
}

// passWhole reads an answer whole and passes it on, unless it is a failure after
// which the request may go elsewhere.
func (s *sending) passWhole(answer *upstream.Answer) *failure {
	r := s.request
	body, err := io.ReadAll(io.LimitReader(answer, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errTooLong
	}
	if err != nil {
		r.MayHaveRun = true
		return &failure{err: err, proof: mayHaveRun}
	}
	w := &wholeAnswer{
		status: answer.StatusCode, header: r.Dialect.Returned(answer.Header), body: body,
		ranNothing: answer.Header.Get(r.Dialect.NotRun) != "" || answer.StatusCode == http.StatusMisdirectedRequest,
	}
	if failed := s.judgeWhole(w); failed != nil {
		return failed
	}
	if s.stream != nil {
		return &failure{err: fmt.Errorf("%w: status %d to a resumed stream", errFailed, w.status), proof: ran}
	}
	s.writeWhole(w)
	return nil
}

// judgeWhole returns nil for an answer that settles the request.
func (s *sending) judgeWhole(w *wholeAnswer) *failure {
	switch {
	case w.status == http.StatusMisdirectedRequest:
		return &failure{err: errElsewhere, proof: wrongUpstream}
	case w.ranNothing:
		return &failure{err: fmt.Errorf("%w: status %d", errNotRun, w.status), proof: notRun, answer: w}
	case w.status >= http.StatusInternalServerError || promises(w.status):
		s.request.MayHaveRun = true
		return &failure{err: fmt.Errorf("%w: status %d", errFailed, w.status), proof: ran, answer: w}
	default:
		return nil
	}
}

// passable reports whether the upstream's failure may be the caller's answer: one
// that promises that nothing ran must be true of the whole request.
func (w *wholeAnswer) passable(r *opaque.Request) bool {
	if !promises(w.status) {
		return true
	}
	return w.ranNothing && (!r.MayHaveRun || r.Route.Repeatable())
}

// pass answers the caller with the upstream's failure. When to come back is the box's own word:
// the upstream's speaks to the box, which may know others that take work now.
func (w *wholeAnswer) pass(r *opaque.Request, comeBack func() clock.Millis) error {
	if promises(w.status) {
		w.header.Set("Retry-After", r.Dialect.RetryAfter(comeBack()))
	}
	w.write(r)
	return fmt.Errorf("%w: upstream's status %d", opaque.ErrAnswered, w.status)
}

func (s *sending) writeWhole(w *wholeAnswer) { w.write(s.request) }

func (w *wholeAnswer) write(r *opaque.Request) {
	setHeader(r.Writer.Header(), w.header)
	if r.HTTP.Method != http.MethodHead {
		r.Writer.Header().Set("Content-Length", strconv.Itoa(len(w.body)))
	}
	r.Writer.WriteHeader(w.status)
	// A caller that is gone can't be told.
	_, _ = r.Writer.Write(w.body)
}

// setHeader takes over an upstream's headers and keeps the server from adding
// any of its own.
func setHeader(target, source http.Header) {
	for name, values := range source {
		target[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, present := target[name]; !present {
			target[name] = nil
		}
	}
}

var errCallerGone = errors.New("the caller left")
