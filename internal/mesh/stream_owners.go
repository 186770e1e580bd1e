package mesh

import (
	"cmp"
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
	key := route.Key(id)
	domains := m.streamDomainsLocked()
	ranked := make([][]rankedBox, len(domains))
	for i, d := range domains {
		// This box is not returned, but takes the place of another one.
		ranked[i] = d.first(key, count+1)
	}
	owners := []Identity{}
	for rank := range count + 1 {
		for _, at := range route.Rank(key, m.streamDomains.hashes) {
			if rank < len(ranked[at]) && ranked[at][rank].Box != m.self.Box && len(owners) < count {
				owners = append(owners, *ranked[at][rank].Identity)
			}
		}
	}
	return owners
}

// streamDomain holds the boxes of a failure domain that may own streams, and the hashes of their names.
type streamDomain struct {
	boxes  []*Identity
	hashes []uint64
}

// rankedBox is a box with its score for a stream.
type rankedBox struct {
	*Identity
	score uint64
}

// first returns a number of first boxes in the order for a stream.
func (d *streamDomain) first(key route.Key, count int) []rankedBox {
	list := make([]rankedBox, 0, count+1)
	for i, hash := range d.hashes {
		score := route.Score(key, hash)
		if len(list) == count && score >= list[count-1].score {
			continue
		}
		at, _ := slices.BinarySearchFunc(list, score, func(b rankedBox, s uint64) int { return cmp.Compare(b.score, s) })
		list = slices.Insert(list, at, rankedBox{Identity: d.boxes[i], score: score})
		list = list[:min(count, len(list))]
	}
	return list
}

// streamDomains holds the failure domains with boxes that may own streams, as of atMs.
type streamDomains struct {
	domains []*streamDomain
	// hashes are those of the domains' names.
	hashes []uint64
	atMs   clock.Millis
}

// streamDomainsTTLMs is how long the lists of boxes that may own streams are used. It is short compared to the time
// after which a silent box doesn't count as alive.
const streamDomainsTTLMs clock.Millis = 200

// streamDomainsLocked returns the boxes that may own streams, including this one, by failure domain.
func (m *Mesh) streamDomainsLocked() []*streamDomain {
	now := m.clock.Monotonic()
	if m.streamDomains.domains != nil && now-m.streamDomains.atMs < streamDomainsTTLMs {
		return m.streamDomains.domains
	}
	m.streamDomains = streamDomains{atMs: now}
	byName := map[string]*streamDomain{}
	add := func(i *Identity) {
		d := byName[i.FailureDomain]
		if d == nil {
			d = &streamDomain{}
			byName[i.FailureDomain] = d
			m.streamDomains.domains = append(m.streamDomains.domains, d)
			m.streamDomains.hashes = append(m.streamDomains.hashes, route.HashName(i.FailureDomain))
		}
		d.boxes, d.hashes = append(d.boxes, i), append(d.hashes, route.HashName(i.Box))
	}
	add(&m.self)
	aliveTimeout := m.aliveTimeoutLocked()
	for _, p := range m.peers {
		if p.mayKeepStreams(now, aliveTimeout) {
			add(&p.Identity)
		}
	}
	return m.streamDomains.domains
}

// mayKeepStreams reports whether a box is alive and keeps the origins of streams. One that is known only because other
// boxes named it may be of an earlier release that doesn't.
func (p *peer) mayKeepStreams(now, aliveTimeout clock.Millis) bool {
	return !p.draining && now-p.lastSeenMs < aliveTimeout && (p.keepsStreams || p.firstSeenMs == 0)
}
