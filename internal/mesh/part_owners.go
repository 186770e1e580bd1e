package mesh

import (
	"slices"

	"dooryard.example/dooryard/internal/quarantine"
	"dooryard.example/dooryard/internal/route"
	"dooryard.example/dooryard/internal/streams"
)

// Hardly any two crashes under a part are seen by the same box, and most parts come with one crash only. Boxes
// therefore tell the first crash of a part at once to its owners, the boxes that would own a stream of that key. An
// owner that knows of more crashes relays them to all boxes. In a large fleet, boxes tell first crashes to the owners
// only.

// partTell is the kind of a datagram that tells the owners of parts about crashes. Its value differs from those of
// originMessageKind.
const partTell originMessageKind = 19

// partsTold tells the owners of parts about crashes.
type partsTold struct {
	_      struct{} `cbor:",toarray"`
	Kind   originMessageKind
	Events []quarantine.PartEvent
}

// TellPartOwners tells the owners of parts about crashes.
func (m *Mesh) TellPartOwners(events []quarantine.PartEvent) {
	byOwner := map[string][]quarantine.PartEvent{}
	m.mu.Lock()
	for _, e := range events {
		for _, owner := range m.streamOwnersLocked(streams.ID(e.Part), streamOwnersLarge) {
			byOwner[owner.Address] = append(byOwner[owner.Address], e)
		}
	}
	m.mu.Unlock()
	for address, list := range byOwner {
		for part := range slices.Chunk(list, maxCrashEvents) {
			m.sendOriginMessage(address, partsTold{Kind: partTell, Events: part})
		}
	}
}

// SendsTrials reports whether this box is the one of the fleet that sends trial requests with a part: its first owner,
// by rendezvous hashing over the failure domains and then over the boxes of the first one.
func (m *Mesh) SendsTrials(part quarantine.PartKey) bool {
	key := route.Key(part)
	m.mu.Lock()
	defer m.mu.Unlock()
	domains := m.streamDomainsLocked()
	first := domains[route.Rank(key, m.streamDomains.hashes)[0]]
	return first.first(key, 1)[0].Box == m.self.Box
}
