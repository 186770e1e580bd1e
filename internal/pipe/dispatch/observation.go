package dispatch

import (
	"context"
	"errors"
	"net/http"

	"golang.org/x/sys/unix"

	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/quarantine"
	"dooryard.example/dooryard/internal/upstream"
)

// Evidence is a kind of evidence that an upstream may have crashed.
type Evidence int

// Kinds of evidence.
const (
	// ConnectionBroken is a connection that broke during the request and was not closed by this box.
	ConnectionBroken Evidence = iota
	// RequestAbandoned is a request that its caller or this box canceled while it was at the upstream.
	RequestAbandoned
	// ConnectionRefused is a connection refused by the host of the upstream.
	ConnectionRefused
	// ResponseUnframed is a response that looks complete, but has neither a length nor chunks. Its upstream may have
	// crashed in the middle of it.
	ResponseUnframed
	// UpstreamRemoved is the removal of an upstream's entry while the request is at the upstream.
	UpstreamRemoved
	// UpstreamSilent is an upstream that hasn't begun to respond for some time, while the request stays there.
	UpstreamSilent
)

// Observation is the evidence from one attempt.
type Observation struct {
	Evidence    Evidence
	Member      *balance.Member
	Fingerprint quarantine.Fingerprint
	// Parts are the shared parts of the request's prompt.
	Parts quarantine.Parts
	// SentMs is the monotonic time at which the attempt began.
	SentMs clock.Millis
	// Status is the status of an unframed response.
	Status int
}

// observeFailure reports evidence of an upstream crash from a failed attempt, if there is any. An upstream that is
// draining may end in order right after a response without length or chunks, which then proves no crash.
func (s *retryLoop) observeFailure(ctx context.Context, lease *balance.Lease, err error) {
	o := s.observation(lease)
	switch {
	case errors.Is(err, unix.ECONNREFUSED):
		o.Evidence = ConnectionRefused
	case upstream.NothingSent(err):
		return
	case ctx.Err() != nil:
		o.Evidence = RequestAbandoned
	case errors.Is(err, errCallerFault), errors.Is(err, errEndUnknown) && lease.IsDraining():
		return
	case errors.Is(err, upstream.ErrBroken):
		o.Evidence = ConnectionBroken
	case errors.Is(err, errEndUnconfirmed) && !lease.IsDraining():
		o.Evidence, o.Status = ResponseUnframed, http.StatusOK
	default:
		return
	}
	s.pipe.deps.Observe(o)
}

// observation returns an observation of the current attempt without evidence.
func (s *retryLoop) observation(lease *balance.Lease) Observation {
	return Observation{
		Member: lease.Member, Fingerprint: s.request.Fingerprint, Parts: s.request.Parts, SentMs: s.attemptStartedMs,
	}
}

// observeSuccess reports a complete response, which shows that the request doesn't crash upstreams. A response without
// length or chunks shows that only if its upstream lives on. An upstream that is draining may end at any time after it,
// so such a response from there shows nothing.
func (s *retryLoop) observeSuccess(lease *balance.Lease, resp *upstream.Response) {
	switch {
	case resp.Framing() != upstream.ByConnection:
		s.pipe.deps.OnCompleted(s.request, resp.StatusCode)
	case !lease.IsDraining():
		o := s.observation(lease)
		o.Evidence, o.Status = ResponseUnframed, resp.StatusCode
		s.pipe.deps.Observe(o)
	}
}
