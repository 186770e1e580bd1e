package balance

import (
	"fmt"
	"math"
	"slices"

	"dooryard.example/dooryard/internal/clock"
)

// A plain service with few upstreams is used by all boxes, and each of them sees a small part of its load. When it is
// overloaded, boxes that don't limit themselves fill the upstreams' queues, and every request that gets in is late.
// Therefore a request with a latency objective needs a permit from the owner of the upstream, who grants it if the
// response can still be in time. If all owners refuse, the request is refused at once.
//
// This answers a load above the capacity of a pool for seconds, as after the loss of most of its upstreams.

// ErrAllFull means that the owners of all upstreams that would accept the request refused a permit. It wraps
// ErrNoUpstream.
var ErrAllFull = fmt.Errorf("%w: they can't respond in time", ErrNoUpstream)

// maxPermits is the bound of a permit that is requested only to be counted.
const maxPermits = math.MaxInt16

// pickPlain chooses the least loaded upstream, except for those whose owners refused a permit.
func (m *Manager) pickPlain(lease *Lease, members []*Member, request PickRequest, now clock.Millis) error {
	members = slices.DeleteFunc(slices.Clone(members), func(member *Member) bool {
		return slices.Contains(request.Full, member.ID)
	})
	if len(members) == 0 {
		return ErrAllFull
	}
	m.pickLeastLoaded(lease, members, now)
	if request.ObjectiveMs > 0 {
		lease.bound = lease.slots
		// A request that is late already still gets a free slot.
		lease.withinMs = max(1, request.ObjectiveMs-request.ElapsedMs)
	}
	return nil
}

// WithinMs returns the time within which the response should start, or 0. If it is set, the upstream's owner grants
// a permit only if this is likely.
func (l *Lease) WithinMs() clock.Millis { return l.withinMs }
