package dispatch

import (
	"context"
	"errors"

	"golang.org/x/sys/unix"

	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/quarantine"
	"dooryard.example/dooryard/internal/upstream"
)

// Sign is what an attempt shows of an upstream's end.
type Sign int

// Signs.
const (
	// Broke is a connection that broke by itself under the request.
	Broke Sign = iota
	// GivenUp is a request that its caller or this box gave up while the upstream had it.
	GivenUp
	// Refused is a connection that the upstream's host refused.
	Refused
)

// Observation is what one attempt showed.
type Observation struct {
	Sign        Sign
	Member      *balance.Member
	Fingerprint quarantine.Fingerprint
}

// observe tells the box what a failed attempt shows of an upstream's end.
func (s *sending) observe(ctx context.Context, lease *balance.Lease, err error) {
	o := Observation{Member: lease.Member, Fingerprint: s.request.Fingerprint}
	switch {
	case errors.Is(err, unix.ECONNREFUSED):
		o.Sign = Refused
	case upstream.NothingSent(err):
		return
	case ctx.Err() != nil:
		o.Sign = GivenUp
	case errors.Is(err, upstream.ErrBroken):
		o.Sign = Broke
	default:
		return
	}
	s.pipe.deps.Observe(o)
}
