package membership

import (
	"slices"

	"dooryard.example/dooryard/internal/clock"
)

// probe is a ping that has not been answered yet.
type probe struct {
	target            ID
	sentMs            clock.Millis
	indirectRequested bool
}

// indirectPing is a ping sent on behalf of another box.
type indirectPing struct {
	origin   ID
	sequence uint32
	sentMs   clock.Millis
}

// checkProbes requests indirect pings of a box that has not answered a ping for one period. If
// there is no answer after two more periods, the box becomes a suspect.
func (n *Node) checkProbes(now clock.Millis) []Outgoing {
	out := []Outgoing{}
	for _, sequence := range n.sortedProbes() {
		p := n.probes[sequence]
		age := now - p.sentMs
		if !p.indirectRequested && age >= n.settings.PeriodMs {
			p.indirectRequested = true
			out = append(out, n.requestIndirectPings(sequence, p.target)...)
		}
		if age >= suspectPeriods*n.settings.PeriodMs {
			delete(n.probes, sequence)
			n.suspect(p.target, p.sentMs, now)
		}
	}
	for sequence, r := range n.indirectPings {
		if now-r.sentMs > suspectPeriods*n.settings.PeriodMs {
			delete(n.indirectPings, sequence)
		}
	}
	return out
}

const suspectPeriods = 3

// sortedProbes returns the sequence numbers of the probes in a fixed order, so that runs with the
// same seed are reproducible.
func (n *Node) sortedProbes() []uint32 {
	sequences := make([]uint32, 0, len(n.probes))
	for sequence := range n.probes {
		sequences = append(sequences, sequence)
	}
	slices.Sort(sequences)
	return sequences
}

func (n *Node) suspect(id ID, since, now clock.Millis) {
	m := n.members[id]
	if m == nil || m.status != Alive {
		return
	}
	m.status = Suspect
	m.silentSince = since
	n.updates.add(update{ID: id, Incarnation: m.incarnation, Status: Suspect, SilentMs: uint32(now - since)}, n.size())
}

func (n *Node) removeSilent(now clock.Millis) {
	for id, m := range n.members {
		switch {
		case m.status == Suspect && now-m.silentSince >= n.settings.RemoveMs:
			n.remove(id, m, Dead, now)
			n.updates.add(update{ID: id, Incarnation: m.incarnation, Status: Dead}, n.size())
		case m.status > Suspect && now-m.removedMs >= n.settings.ForgetMs:
			delete(n.members, id)
		}
	}
}

func (n *Node) remove(id ID, m *member, status Status, now clock.Millis) {
	if m.status <= Suspect {
		n.aliveCount--
		n.changed = true
	}
	m.status = status
	m.removedMs = now
	n.facts.forget(id)
}

func (n *Node) requestIndirectPings(sequence uint32, target ID) []Outgoing {
	out := []Outgoing{}
	for _, id := range n.randomLive(indirectFanout + 1) {
		if id == target || len(out) == indirectFanout {
			continue
		}
		p := n.packet(kindPingRequest, sequence)
		p.Target = target
		out = append(out, n.send(n.members[id].box.GossipAddress, p)...)
	}
	return out
}
