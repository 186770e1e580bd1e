package balance

import (
	"math"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

// In a fleet of hundreds of boxes, a box sees a small fraction of the traffic, and sharing all
// loads between boxes would exceed the byte limit for control messages. In such a fleet each engine
// has an owner, a box that counts the requests of all boxes at the engine and grants a permit
// before a request is sent. This handles uneven load: engines that are slow, that have more
// sessions than others, or that prefill prompts for the first time.

// maxPermitRefusals is how many engines may refuse a permit before a request goes to the next one
// regardless of its load.
const maxPermitRefusals = 4

// PermitReply is an owner's response to a permit request.
type PermitReply struct {
	// Granted is set unless the engine has reached its bound.
	Granted bool
	// Release returns the permit, and tells whether the upstream served the request; nil if there is none to return.
	Release func(served bool)
}

// PickWithPermit picks like Pick. If the engine has an owner, it also requests a permit; if the owner
// refuses, it picks another engine, until a permit is granted. The function acquire requests a permit
// from the owner of the lease's engine, who grants it while the engine's load is below the bound.
func (m *Manager) PickWithPermit(
	request PickRequest, acquire func(lease *Lease, bound int) PermitReply,
) (*Lease, error) {
	for {
		lease, err := m.Pick(request)
		if err != nil || lease.bound == 0 {
			return lease, err
		}
		bound := lease.bound
		if len(request.Full) >= maxPermitRefusals && lease.withinMs == 0 {
			bound = maxPermits
		}
		permit := acquire(lease, bound)
		if permit.Granted {
			lease.attachPermit(permit.Release)
			return lease, nil
		}
		lease.cancel()
		request.Full = append(request.Full, lease.ID)
	}
}

// attachPermit records that the lease holds a permit. Release returns the permit and may be nil.
func (l *Lease) attachPermit(release func(served bool)) {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	l.onRelease = release
	l.recordPrompt(l.manager.monotonic())
}

// cancel reverts a pick that got no permit.
func (l *Lease) cancel() {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	l.released = true
	l.inFlight--
}

// SetFleetInFlightByPool sets the number of requests that all boxes run, by pool. Nil means that
// boxes share their loads by upstream.
func (m *Manager) SetFleetInFlightByPool(running map[namekey.Key]int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleetInFlightByPool = running
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
