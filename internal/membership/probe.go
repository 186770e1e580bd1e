package membership

import (
	"slices"

	"dooryard.example/dooryard/internal/clock"
)

// probe is a ping that waits for its answer.
type probe struct {
	target  ID
	sentMs  clock.Millis
	relayed bool
}

// relay is a ping made for another box.
type relay struct {
	origin   ID
	sequence uint32
	sentMs   clock.Millis
}

// judgeProbes asks others to try a box that left a ping unanswered for a period
// and, when that brought nothing in two more, makes it a suspect.
func (n *Node) judgeProbes(now clock.Millis) []Outgoing {
	out := []Outgoing{}
	for _, sequence := range n.probeOrder() {
		p := n.probes[sequence]
		age := now - p.sentMs
		if !p.relayed && age >= n.settings.PeriodMs {
			p.relayed = true
			out = append(out, n.askRelays(sequence, p.target)...)
		}
		if age >= suspectPeriods*n.settings.PeriodMs {
			delete(n.probes, sequence)
			n.suspect(p.target, p.sentMs, now)
		}
	}
	for sequence, r := range n.relays {
		if now-r.sentMs > suspectPeriods*n.settings.PeriodMs {
			delete(n.relays, sequence)
		}
	}
	return out
}

const suspectPeriods = 3

// probeOrder keeps runs with the same seed the same.
func (n *Node) probeOrder() []uint32 {
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
	n.news.add(update{ID: id, Incarnation: m.incarnation, Status: Suspect, SilentMs: uint32(now - since)}, n.size())
}

func (n *Node) removeSilent(now clock.Millis) {
	for id, m := range n.members {
		switch {
		case m.status == Suspect && now-m.silentSince >= n.settings.RemoveMs:
			n.remove(id, m, Dead, now)
			n.news.add(update{ID: id, Incarnation: m.incarnation, Status: Dead}, n.size())
		case m.status > Suspect && now-m.goneMs >= n.settings.ForgetMs:
			delete(n.members, id)
		}
	}
}

func (n *Node) remove(id ID, m *member, status Status, now clock.Millis) {
	if m.status <= Suspect {
		n.alive--
		n.changed = true
	}
	m.status = status
	m.goneMs = now
	n.facts.forget(id)
}

func (n *Node) askRelays(sequence uint32, target ID) []Outgoing {
	out := []Outgoing{}
	for _, id := range n.randomLive(relayFanout + 1) {
		if id == target || len(out) == relayFanout {
			continue
		}
		p := n.packet(kindRelay, sequence)
		p.Target = target
		out = append(out, n.send(n.members[id].box.GossipAddress, p)...)
	}
	return out
}
