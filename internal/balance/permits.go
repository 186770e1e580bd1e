package balance

import (
	"math"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/occupancy"
)

// In a fleet of dozens of boxes, the boxes' reports of their loads are older than most requests, and
// in one of hundreds, sharing all loads would exceed the byte limit for control messages. In such a
// fleet each engine has an owner, a box that counts the requests of all boxes at the engine and grants
// a permit before a request is sent. This handles uneven load: engines that are slow, that have more
// sessions than others, or that prefill prompts for the first time, and pools of which a part is
// evacuated or cold.

const (
	// maxPermitRefusals is how many engines of a session's order may refuse a permit before engines with a low load are
	// asked.
	maxPermitRefusals = 4
	// maxLeastLoaded is how many of those are asked. Estimates are a second old, so the first one may have filled up.
	maxLeastLoaded = 2
	// maxBoundedPermits is how many engines may refuse a permit before a request goes to the next one regardless of its
	// load. All of them refuse if boxes underestimate the mean load, as they do for a second after it has risen.
	maxBoundedPermits = maxPermitRefusals + maxLeastLoaded
)

// PermitSource is who decided that a request may be sent to an engine under the load bound.
type PermitSource string

// Sources of permits.
const (
	// NoPermit means that the fleet is so small that boxes go by their own estimates of the load.
	NoPermit PermitSource = ""
	// OwnerPermit was granted by the engine's owner.
	OwnerPermit PermitSource = "owner"
	// ProvisionalPermit was granted by an owner whose count may be incomplete, and by this box's estimate.
	ProvisionalPermit PermitSource = "provisional"
	// EstimatedPermit follows from this box's estimate alone, since no owner answered.
	EstimatedPermit PermitSource = "estimate"
	// UnboundedPermit means that the bound was not applied, because owners had refused the request or it is forced.
	UnboundedPermit PermitSource = "unbounded"
)

// Permit is how a request was counted against the load bound of its engine.
type Permit struct {
	Source PermitSource
	// Bound is the maximum load that this box asked for, and OwnBound the one by its own estimate of the load.
	Bound, OwnBound int
	// Refusals is the number of engines whose owners refused the request before.
	Refusals int
}

// sourceOf returns the source of a permit that an owner, if one answered, has granted.
func sourceOf(answered, provisional bool) PermitSource {
	switch {
	case !answered:
		return EstimatedPermit
	case provisional:
		return ProvisionalPermit
	default:
		return OwnerPermit
	}
}

// PickWithPermit picks like Pick. If the engine has an owner, it also requests a permit; if the owner
// refuses, it picks another engine, until a permit is granted or maxBoundedPermits owners have refused.
// The function acquire requests a permit from the owner of the lease's engine, who grants it while the
// engine's load is below the bound.
func (m *Manager) PickWithPermit(
	request PickRequest, acquire func(lease *Lease, bound int) occupancy.Reply,
) (*Lease, error) {
	for {
		lease, err := m.Pick(request)
		if err != nil || lease.bound == 0 {
			return lease, err
		}
		bound := lease.bound
		if len(request.Full) >= maxBoundedPermits && lease.withinMs == 0 && !lease.strict {
			bound = maxPermits
		}
		reply := acquire(lease, bound)
		lease.recordPermit(reply, bound, len(request.Full))
		if lease.mayBeSent(reply, bound) {
			lease.attachPermit(reply)
			return lease, nil
		}
		if reply.Release != nil {
			reply.Release(false)
		}
		lease.cancel()
		request.Full = append(request.Full, lease.ID)
	}
}

// recordPermit records who decided on a request for a permit under a bound. Those of plain services have no load bound.
func (l *Lease) recordPermit(reply occupancy.Reply, requested, refusals int) {
	if l.withinMs > 0 {
		return
	}
	l.Permit = l.permit(sourceOf(!reply.Unanswered, reply.Provisional), refusals)
	if requested == maxPermits {
		l.Permit.Source = UnboundedPermit
	}
}

// permit returns the permit of a lease that has a bound.
func (l *Lease) permit(source PermitSource, refusals int) Permit {
	return Permit{Source: source, Bound: l.bound, OwnBound: l.ownBound, Refusals: refusals}
}

// mayBeSent reports whether the request may be sent after an owner replied to the request for a permit under a bound.
func (l *Lease) mayBeSent(reply occupancy.Reply, bound int) bool {
	if reply.Provisional && l.exceedsOwnBound(bound) {
		return false
	}
	return reply.Granted
}

// exceedsOwnBound reports whether the load of an engine, as this box estimates it, would exceed the bound. The
// requested bound is maxPermits if the request must be sent anyway.
func (l *Lease) exceedsOwnBound(requested int) bool {
	return l.withinMs == 0 && requested != maxPermits && l.Load+1 > l.ownBound
}

// attachPermit records that the lease holds a permit, and has an owner count it that has not granted it.
func (l *Lease) attachPermit(reply occupancy.Reply) {
	if reply.Count != nil {
		reply.Count()
	}
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	l.onRelease = reply.Release
	l.recordPrompt(l.manager.monotonic())
}

// cancel reverts a pick that got no permit.
func (l *Lease) cancel() {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	l.released = true
	l.inFlight--
	l.path.recordEnd()
}

// SetFleetInFlightByPool sets the number of requests that all boxes run, by pool. Nil means that
// boxes share their loads by upstream.
func (m *Manager) SetFleetInFlightByPool(running map[namekey.Key]int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleetInFlightByPool = running
}

// SetEnginePermits sets whether the owners of engines count the requests of all boxes there. A request to an engine
// then needs a permit.
func (m *Manager) SetEnginePermits(enginePermits bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.enginePermits = enginePermits
}

// InFlightByPool returns the number of requests that this box runs, by pool. Zeros are omitted.
func (m *Manager) InFlightByPool() map[namekey.Key]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	sums := map[namekey.Key]int{}
	for pool, members := range m.pools {
		for _, member := range members {
			if member.inFlight > 0 {
				sums[namekey.Of(pool)] += member.inFlight
			}
		}
	}
	return sums
}

// total returns the load of some members of a pool: the sum of their known loads, or in a large
// fleet their share of all requests that boxes run, whichever is larger.
func (m *Manager) total(pool string, members []*Member, now clock.Millis) int {
	known := 0
	for _, member := range members {
		known += member.load(now)
	}
	share := float64(len(members)) / float64(max(1, len(m.pools[pool])))
	return max(known, int(math.Round(share*float64(m.fleetInFlightByPool[namekey.Of(pool)]))))
}
