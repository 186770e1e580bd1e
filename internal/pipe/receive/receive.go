// Package receive is the step that reads an opaque request whole, within the operators'
// bounds for one request and those of the box.
package receive

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/opaque"
)

// fullRetryMs is about the time that a request takes.
const fullRetryMs clock.Millis = 200

// Pipe reads bodies.
type Pipe struct {
	maxHeldBytes int64
	steady       func() clock.Millis
	held         atomic.Int64
}

// New returns the step. MaxHeldBytes bounds the bodies that the box holds at
// once.
func New(maxHeldBytes int64, steady func() clock.Millis) *Pipe {
	return &Pipe{maxHeldBytes: maxHeldBytes, steady: steady}
}

// String names the step in logs.
func (*Pipe) String() string { return "receive" }

// Run checks the head and reads the body.
func (p *Pipe) Run(r *opaque.Request) error {
	if most := r.State.Limits().MaxHeaderBytes; most > 0 && headerBytes(r.HTTP) > most {
		return opaque.NewRefusal(http.StatusRequestHeaderFieldsTooLarge, opaque.HeaderTooLarge, 0, nil)
	}
	limit := r.State.Limits().MaxBodyBytes
	if limit > 0 && r.HTTP.ContentLength > limit {
		return opaque.NewRefusal(http.StatusRequestEntityTooLarge, opaque.BodyTooLarge, 0, nil)
	}
	if p.held.Load()+max(0, r.HTTP.ContentLength) > p.maxHeldBytes {
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.BoxFull, fullRetryMs, nil)
	}
	r.Writer.BoundRead(max(1, r.RemainingMs(p.steady())).Duration())
	body, err := read(r, limit)
	if err != nil {
		// The bound stays, so that the rest of the body is not waited for.
		return err
	}
	r.Writer.BoundRead(0)
	r.Body = body
	r.NoteFingerprint()
	p.held.Add(int64(len(body)))
	return nil
}

// headerBytes is about the length of a request's head on the wire.
func headerBytes(r *http.Request) int {
	// Spaces, the protocol's name, and the end of each line.
	const lineEnd, separator, protocol = 2, 2, 10
	sum := len(r.Method) + len(r.RequestURI) + protocol + lineEnd
	sum += len("Host") + separator + len(r.Host) + lineEnd
	for name, values := range r.Header {
		for _, value := range values {
			sum += len(name) + separator + len(value) + lineEnd
		}
	}
	return sum
}

// Done gives back what Run took.
func (p *Pipe) Done(r *opaque.Request) { p.held.Add(-int64(len(r.Body))) }

func read(r *opaque.Request, limit int64) ([]byte, error) {
	if r.HTTP.ContentLength == 0 {
		return nil, nil
	}
	source := io.Reader(r.HTTP.Body)
	if limit > 0 {
		source = http.MaxBytesReader(r.Writer, r.HTTP.Body, limit)
	}
	var body []byte
	var err error
	if length := r.HTTP.ContentLength; length > 0 {
		body = make([]byte, length)
		_, err = io.ReadFull(source, body)
	} else {
		body, err = io.ReadAll(source)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, opaque.NewRefusal(http.StatusRequestEntityTooLarge, opaque.BodyTooLarge, 0, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, opaque.NewRefusal(http.StatusRequestTimeout, opaque.BodyLate, 0, err)
	default:
		return nil, opaque.NewRefusal(http.StatusBadRequest, opaque.BodyUnread, 0, err)
	}
}
