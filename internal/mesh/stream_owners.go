package mesh

import (
	"slices"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/route"
	"dooryard.example/dooryard/internal/streams"
)

// ownersPerStreamLocked returns how many other boxes are told of a stream.
func (m *Mesh) ownersPerStreamLocked() int {
	if m.largeLocked() {
		return streamOwnersLarge
	}
	return streamOwners
}

// domainsLocked returns the failure domains of all known boxes.
func (m *Mesh) domainsLocked() []string {
	domains := []string{m.self.FailureDomain}
	for _, p := range m.peers {
		if !slices.Contains(domains, p.FailureDomain) {
			domains = append(domains, p.FailureDomain)
		}
	}
	return domains
}

// streamOwnersLocked returns a number of other boxes that own a stream, by rendezvous hashing: the first box of each
// failure domain, then the second one of each, and so on. Unlike the owners of upstreams, they may be any boxes, since
// a busy fleet begins more streams than a few boxes could keep.
func (m *Mesh) streamOwnersLocked(id streams.ID, count int) []Identity {
	domains := m.rankedDomainsLocked(id)
	chosen := map[string]bool{}
	owners := []Identity{}
	for len(owners) < count {
		first := m.firstOfDomainsLocked(id, chosen)
		if len(first) == 0 {
			break
		}
		for _, domain := range domains {
			i, found := first[domain]
			if !found {
				continue
			}
			chosen[i.Box] = true
			if i.Box != m.self.Box && len(owners) < count {
				owners = append(owners, i.Identity)
			}
		}
	}
	return owners
}

// rankedDomainsLocked returns the failure domains in their order for a stream.
func (m *Mesh) rankedDomainsLocked(id streams.ID) []string {
	names := m.domainsLocked()
	hashes := make([]uint64, len(names))
	for i, name := range names {
		hashes[i] = route.HashName(name)
	}
	ranked := make([]string, len(names))
	for i, at := range route.Rank(route.Key(id), hashes) {
		ranked[i] = names[at]
	}
	return ranked
}

// firstOfDomainsLocked returns the box of each failure domain that is first in the order for a stream, except those
// chosen before.
func (m *Mesh) firstOfDomainsLocked(id streams.ID, chosen map[string]bool) map[string]hashedIdentity {
	first := map[string]hashedIdentity{}
	add := func(i hashedIdentity) {
		key := route.Key(id)
		best, found := first[i.FailureDomain]
		if !found || route.Score(key, i.hash) < route.Score(key, best.hash) {
			first[i.FailureDomain] = i
		}
	}
	if !chosen[m.self.Box] {
		add(hashedIdentity{Identity: m.self, hash: route.HashName(m.self.Box)})
	}
	now, aliveTimeout := m.clock.Monotonic(), m.aliveTimeoutLocked()
	for _, p := range m.peers {
		if p.mayKeepStreams(now, aliveTimeout) && !chosen[p.Box] {
			add(hashedIdentity{Identity: p.Identity, hash: route.HashName(p.Box)})
		}
	}
	return first
}

// mayKeepStreams reports whether a box is alive and keeps the origins of streams. One that is known only because other
// boxes named it may be of an earlier release that doesn't.
func (p *peer) mayKeepStreams(now, aliveTimeout clock.Millis) bool {
	return !p.draining && now-p.lastSeenMs < aliveTimeout && (p.keepsStreams || p.firstSeenMs == 0)
}
