package membership

import (
	"cmp"
	"slices"

	"dooryard.example/dooryard/internal/clock"
)

// foreignBox is a box of another failure domain that was in touch.
type foreignBox struct {
	Box
	heardMs clock.Millis
}

// Foreign returns the boxes of other failure domains that were in touch within a
// span, by name. They are no members here.
func (n *Node) Foreign(now, span clock.Millis) []Box {
	boxes := []Box{}
	for _, f := range n.foreign {
		if now-f.heardMs <= span {
			boxes = append(boxes, f.Box)
		}
	}
	slices.SortFunc(boxes, func(a, b Box) int { return cmp.Compare(a.Name, b.Name) })
	return boxes
}

// maxForeign bounds the boxes of other failure domains that are remembered.
const maxForeign = 1000

func (n *Node) meetForeign(box Box, now clock.Millis) {
	if _, known := n.foreign[box.Name]; known || len(n.foreign) < maxForeign {
		n.foreign[box.Name] = foreignBox{Box: box, heardMs: now}
	}
}

// SetFacts sets what this box tells of itself.
func (n *Node) SetFacts(facts Facts) { n.facts.setOwn(n.id, facts) }

// FactsOf returns what each other live box last told, by name.
func (n *Node) FactsOf() map[string]Facts {
	found := map[string]Facts{}
	for id, m := range n.members {
		if entry, known := n.facts.entries[id]; known && m.status <= Suspect {
			found[m.box.Name] = entry.Facts
		}
	}
	return found
}

// DomainFacts returns the sums of other failure domains that were heard within
// a span, by the id of their name.
func (n *Node) DomainFacts(now, span clock.Millis) map[ID]Facts {
	found := map[ID]Facts{}
	for id, entry := range n.facts.entries {
		if entry.Facts.Boxes > 0 && now-entry.heardMs <= span {
			found[id] = entry.Facts
		}
	}
	return found
}

// TellSums tells the box at an address, of another failure domain, the sums of
// this one. The version is the time in seconds, so that any box may tell them.
func (n *Node) TellSums(address string, domain ID, now clock.Millis, sums Facts) []Outgoing {
	n.sequence++
	p := n.packet(kindSums, n.sequence)
	p.Updates = []update{{ID: n.id, Incarnation: n.incarnation, Status: Alive, Box: &n.self}}
	p.Facts = []factEntry{{ID: domain, Version: uint32(now / clock.Second), Facts: sums}}
	return n.send(address, p)
}
