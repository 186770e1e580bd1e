package balance

import (
	"slices"

	"dooryard.example/dooryard/internal/clock"
)

// Upstreams may be brittle: one that has to reject more than a number of requests in a second for want of room falls
// over, whichever boxes sent them. All boxes together must stay below that number, so while the upstreams of a pool
// say that they are brittle:
//
//   - A request needs a permit from the owner of the upstream, who counts the requests of all boxes there and
//     grants no more than it has slots, or had room for when it last rejected one. Without an answer of the owner,
//     the box goes by its own estimate of the load.
//   - A box sends nothing to an upstream that rejected one of its requests, until its share of the rejections of that
//     upstream allows another one.
//   - A request that gets no permit is refused at once.

const (
	// brittleTTLMs is how long upstreams are assumed to be brittle after the last response that said so. It spans the
	// time between two responses to a box in a large fleet.
	brittleTTLMs = 5 * clock.Second
	// minRejectionPauseMs and maxRejectionPauseMs limit how long a box sends nothing to an upstream after a rejection.
	// The minimum leaves a share of the rejections to requests that were sent before the first one was known.
	minRejectionPauseMs = clock.Second
	maxRejectionPauseMs = 10 * clock.Second
	// maxBrittleRefusals is how many owners may refuse a permit before a request is refused.
	maxBrittleRefusals = 8
)

// brittlePool is what the upstreams of a pool have said about themselves.
type brittlePool struct {
	maxRejections int
	untilMs       clock.Millis
}

// RecordBrittleness records that the upstream says it bears no more than a number of rejections in a second. It does
// nothing if the number is 0, which means any number. It holds for the pool, whose upstreams are brittle together.
func (l *Lease) RecordBrittleness(maxRejections int) {
	m := l.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	if maxRejections > 0 {
		m.brittle[l.Pool] = brittlePool{maxRejections: maxRejections, untilMs: m.monotonic() + brittleTTLMs}
	}
}

// RecordRejection records that a brittle upstream has rejected a request of this box for want of room, and reports
// whether it is brittle.
func (l *Lease) RecordRejection() bool {
	m := l.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.monotonic()
	maxRejections := m.maxRejections(l.Pool, now)
	if maxRejections == 0 {
		return false
	}
	l.rejectedUntilMs = now + rejectionPauseMs(m.fleetSize, maxRejections)
	return true
}

// rejectionPauseMs returns for how long one of a number of boxes sends nothing to an upstream after a rejection,
// so that all of them together cause at most maxRejections in a second.
func rejectionPauseMs(boxes, maxRejections int) clock.Millis {
	shareMs := clock.Second * clock.Millis(boxes) / clock.Millis(maxRejections)
	return min(maxRejectionPauseMs, max(minRejectionPauseMs, shareMs))
}

// maxRejections returns how many rejections in a second the upstreams of a pool bear, or 0 if they are not brittle.
func (m *Manager) maxRejections(pool string, now clock.Millis) int {
	b := m.brittle[pool]
	if now >= b.untilMs {
		return 0
	}
	return b.maxRejections
}

// Brittle returns how many rejections in a second the upstreams bear, by pool, for metrics.
func (m *Manager) Brittle() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.monotonic()
	pools := map[string]int{}
	for pool := range m.brittle {
		if n := m.maxRejections(pool, now); n > 0 {
			pools[pool] = n
		}
	}
	return pools
}

// IsBrittle reports whether the upstreams of a pool are brittle.
func (m *Manager) IsBrittle(pool string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.maxRejections(pool, m.monotonic()) > 0
}

// pickBrittle chooses an upstream of a brittle pool as from any other, among those that have a free slot as far as this
// box knows and whose owner has not refused a permit. The bound of the load of engines holds as well.
func (m *Manager) pickBrittle(lease *Lease, members []*Member, request PickRequest, total int, now clock.Millis) error {
	members = slices.DeleteFunc(slices.Clone(members), func(member *Member) bool {
		return slices.Contains(request.Full, member.ID) || member.load(now) >= max(1, member.slots)
	})
	if len(members) == 0 || len(request.Full) >= maxBrittleRefusals {
		return ErrAllFull
	}
	bound := maxPermits
	if request.Sticky && len(request.Prompt) > 0 {
		bound = m.pickSticky(lease, members, request, total, now)
	} else {
		m.pickLeastLoaded(lease, members, now)
	}
	lease.bound = max(1, min(lease.slots, bound))
	lease.ownBound, lease.strict = lease.bound, true
	return nil
}
