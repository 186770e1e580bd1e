package membership

import (
	"cmp"
	"slices"

	"dooryard.example/dooryard/internal/clock"
)

// foreignBox is a box of another failure domain of which this box received an update.
type foreignBox struct {
	Box
	lastSeenMs clock.Millis
}

// OtherDomainBoxes returns the boxes of other failure domains of which this box received an update
// within a span, sorted by name. They are not members.
func (n *Node) OtherDomainBoxes(now, span clock.Millis) []Box {
	boxes := []Box{}
	for _, f := range n.foreign {
		if now-f.lastSeenMs <= span {
			boxes = append(boxes, f.Box)
		}
	}
	slices.SortFunc(boxes, func(a, b Box) int { return cmp.Compare(a.Name, b.Name) })
	return boxes
}

// maxForeign limits the remembered boxes of other failure domains.
const maxForeign = 1000

func (n *Node) recordForeign(box Box, now clock.Millis) {
	if _, known := n.foreign[box.Name]; known || len(n.foreign) < maxForeign {
		n.foreign[box.Name] = foreignBox{Box: box, lastSeenMs: now}
	}
}

// SetFacts sets the facts that this box gossips about itself.
func (n *Node) SetFacts(facts Facts) { n.facts.setOwn(n.id, facts) }

// FactsOf returns the latest facts of each other live box, by box name.
func (n *Node) FactsOf() map[string]Facts {
	found := map[string]Facts{}
	for id, m := range n.members {
		if entry, known := n.facts.entries[id]; known && m.status <= Suspect {
			found[m.box.Name] = entry.Facts
		}
	}
	return found
}

// DomainFacts returns the summed facts of other failure domains that were received within a span,
// by the ID of the domain's name.
func (n *Node) DomainFacts(now, span clock.Millis) map[ID]Facts {
	found := map[ID]Facts{}
	for id, entry := range n.facts.entries {
		if entry.Facts.Boxes > 0 && now-entry.receivedMs <= span {
			found[id] = entry.Facts
		}
	}
	return found
}

// SendDomainFacts returns the messages that send the summed facts of this failure domain to a box of
// another one. The version is the time in seconds, so that any box of the domain may send them.
func (n *Node) SendDomainFacts(address string, domain ID, now clock.Millis, sums Facts) []Outgoing {
	n.sequence++
	p := n.packet(kindDomainFacts, n.sequence)
	p.Updates = []update{{ID: n.id, Incarnation: n.incarnation, Status: Alive, Box: &n.self}}
	p.Facts = []factEntry{{ID: domain, Version: uint32(now / clock.Second), Facts: sums}}
	return n.send(address, p)
}
