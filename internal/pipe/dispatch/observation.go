package dispatch

import (
	"context"
	"errors"

	"golang.org/x/sys/unix"

	"dooryard.example/dooryard/internal/balance"
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
)

// Observation is the evidence from one attempt.
type Observation struct {
	Evidence    Evidence
	Member      *balance.Member
	Fingerprint quarantine.Fingerprint
	// Parts are the shared parts of the request's prompt.
	Parts quarantine.Parts
}

// observeFailure reports evidence of an upstream crash from a failed attempt, if there is any.
func (s *retryLoop) observeFailure(ctx context.Context, lease *balance.Lease, err error) {
	o := Observation{Member: lease.Member, Fingerprint: s.request.Fingerprint, Parts: s.request.Parts}
	switch {
	case errors.Is(err, unix.ECONNREFUSED):
		o.Evidence = ConnectionRefused
	case upstream.NothingSent(err):
		return
	case ctx.Err() != nil:
		o.Evidence = RequestAbandoned
	case errors.Is(err, upstream.ErrBroken):
		o.Evidence = ConnectionBroken
	default:
		return
	}
	s.pipe.deps.Observe(o)
}
