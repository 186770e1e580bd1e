package mesh

import (
	"slices"
	"strings"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

// crossDomainPenalty is by how many requests in flight a box of this failure domain may exceed one of another
// domain before the other one is preferred.
const crossDomainPenalty = 4

// ForwardRequest describes a request that this box can't serve itself.
type ForwardRequest struct {
	Pool namekey.Key
	// Version is the version of the routing state that the request was matched against. Boxes that reported an
	// older one come last: they refuse the request unless they have a newer one by now.
	Version int64
	// Continues is set if the request continues a stream at the version that began it.
	Continues bool
	// Tried are the names of the boxes to exclude.
	Tried []string
}

// ForwardTarget chooses the box that serves a request for this one, among the live boxes that serve forwarded
// requests and don't report that they can't reach the pool either. It returns false if there is none. Of two
// random candidates it chooses the less loaded one: reports of loads are so old that all boxes would choose the
// same least loaded one.
func (m *Mesh) ForwardTarget(request ForwardRequest) (Identity, bool) {
	now := m.clock.Monotonic()
	m.mu.Lock()
	defer m.mu.Unlock()
	candidates := m.forwardCandidatesLocked(request, now)
	if len(candidates) == 0 {
		return Identity{}, false
	}
	first, second := m.random.IntN(len(candidates)), m.random.IntN(len(candidates))
	if m.forwardCost(candidates[second]) < m.forwardCost(candidates[first]) {
		first = second
	}
	return candidates[first].Identity, true
}

func (m *Mesh) forwardCandidatesLocked(request ForwardRequest, now clock.Millis) []*peer {
	candidates, outdated := []*peer{}, []*peer{}
	aliveTimeout := m.aliveTimeoutLocked()
	for _, p := range m.peers {
		switch {
		case request.Continues && !p.keepsStreams:
		case !p.alive(now, aliveTimeout) || !p.takesForwarded || m.unresponsiveLocked(p) ||
			slices.Contains(p.unreachable, request.Pool) || slices.Contains(request.Tried, p.Box):
		case p.stateSummary.Version < request.Version:
			outdated = append(outdated, p)
		default:
			candidates = append(candidates, p)
		}
	}
	if len(candidates) == 0 {
		candidates = outdated
	}
	slices.SortFunc(candidates, func(a, b *peer) int { return strings.Compare(a.Box, b.Box) })
	return candidates
}

// forwardCost returns the requests that a box reported to have in flight, with a penalty for another failure domain.
func (m *Mesh) forwardCost(p *peer) int {
	cost := 0
	for _, count := range p.inFlight {
		cost += count
	}
	for _, count := range p.inFlightByPool {
		cost += count
	}
	if p.FailureDomain != m.self.FailureDomain {
		cost += crossDomainPenalty
	}
	return cost
}
