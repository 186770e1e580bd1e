// Package receive is the pipeline step that buffers the body of an opaque request. It enforces
// the configured size limits of a request and the body memory limit of the box.
package receive

import (
	"context"
	"net/http"
	"sync/atomic"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/opaque"
)

// boxFullRetryMs is the Retry-After of a request that is refused because the buffered bodies have
// reached the memory limit of the box. It is about the duration of a request.
const boxFullRetryMs clock.Millis = 200

// Pipe buffers request bodies.
type Pipe struct {
	maxBufferedBytes int64
	monotonic        func() clock.Millis
	graceEnded       context.Context //nolint:containedctx // It is the box's, not that of a call.
	bufferedBytes    atomic.Int64
}

// New returns the step. The maxBufferedBytes argument limits the total size of the buffers of all bodies that the box
// holds or reads. The clock is monotonic. The graceEnded context ends when a stopping box can't wait for bodies any
// longer.
func New(maxBufferedBytes int64, monotonic func() clock.Millis, graceEnded context.Context) *Pipe {
	return &Pipe{maxBufferedBytes: maxBufferedBytes, monotonic: monotonic, graceEnded: graceEnded}
}

// String returns the name of the step in logs.
func (*Pipe) String() string { return "receive" }

// Run checks the size limits and reads the body.
func (p *Pipe) Run(r *opaque.Request) error {
	if maxBytes := r.State.Limits().MaxHeaderBytes; maxBytes > 0 && requestHeadBytes(r.HTTP) > maxBytes {
		return opaque.NewRefusal(http.StatusRequestHeaderFieldsTooLarge, opaque.HeaderTooLarge, 0, nil)
	}
	limit := r.State.Limits().MaxBodyBytes
	if limit > 0 && r.HTTP.ContentLength > limit {
		return opaque.NewRefusal(http.StatusRequestEntityTooLarge, opaque.BodyTooLarge, 0, nil)
	}
	if p.bufferedBytes.Load()+max(0, r.HTTP.ContentLength) > p.maxBufferedBytes {
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.BoxFull, boxFullRetryMs, nil)
	}
	r.Writer.SetReadTimeout(max(1, r.RemainingMs(p.monotonic())).Duration())
	stopWaiting := context.AfterFunc(p.graceEnded, func() { r.Writer.SetReadTimeout(1) })
	body, err := p.readBody(r, limit)
	if !stopWaiting() {
		p.release(body)
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.BoxStopping, boxFullRetryMs, err)
	}
	if err != nil {
		// The read deadline stays in place, so that the server does not wait for the rest of the body.
		return err
	}
	r.Writer.SetReadTimeout(0)
	r.Body = body
	r.ComputeFingerprint()
	return nil
}

// requestHeadBytes estimates the length of the request line and headers on the wire.
func requestHeadBytes(r *http.Request) int {
	// Line breaks, the spaces or colons between the fields, and the protocol name.
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

// Done subtracts the body, which Run counted, from the total of the buffered bodies.
func (p *Pipe) Done(r *opaque.Request) { p.release(r.Body) }
