package membership

import (
	"dooryard.example/dooryard/internal/clock"
)

// Receive takes in a message and returns the answers to it. An error means that
// the message was dropped.
func (n *Node) Receive(now clock.Millis, from string, body []byte) ([]Outgoing, error) {
	p, err := decode(body)
	if err != nil {
		return nil, err
	}
	if p.From == n.id {
		return nil, nil
	}
	out := []Outgoing{}
	for _, u := range p.Updates {
		out = append(out, n.hear(u, now, p.Kind != kindMembers)...)
	}
	n.hearFrom(&p)
	n.hearFacts(&p, now)
	return append(out, n.answer(now, from, &p)...), nil
}

// hearFacts takes in facts about live boxes and sums of other domains.
func (n *Node) hearFacts(p *packet, now clock.Millis) {
	for _, f := range p.Facts {
		m := n.members[f.ID]
		if f.Facts.Boxes > 0 || m != nil && m.status <= Suspect {
			n.facts.hear(f, now)
		}
	}
}

// hearFrom takes a packet as evidence that its sender lives, when the sender
// speaks with an incarnation that was not given up.
func (n *Node) hearFrom(p *packet) {
	m := n.members[p.From]
	if m == nil || m.status != Suspect || p.Incarnation < m.incarnation {
		return
	}
	m.status = Alive
	m.incarnation = p.Incarnation
}

func (n *Node) answer(now clock.Millis, from string, p *packet) []Outgoing {
	switch p.Kind {
	case kindPing:
		return n.send(from, n.packet(kindAck, p.Sequence))
	case kindAck:
		return n.hearAck(p)
	case kindRelay:
		return n.relay(now, p)
	case kindJoin:
		return n.sendMembers(from, p)
	case kindMembers, kindSums:
		return nil
	default:
		return nil
	}
}

// hearAck ends a probe, or passes the answer on to the box it was made for.
func (n *Node) hearAck(p *packet) []Outgoing {
	if asked, found := n.probes[p.Sequence]; found && (asked.target == p.From || asked.target == p.Target) {
		delete(n.probes, p.Sequence)
		return nil
	}
	r, found := n.relays[p.Sequence]
	if !found {
		return nil
	}
	delete(n.relays, p.Sequence)
	origin := n.members[r.origin]
	if origin == nil {
		return nil
	}
	forwarded := n.packet(kindAck, r.sequence)
	forwarded.Target = p.From
	return n.send(origin.box.GossipAddress, forwarded)
}

func (n *Node) relay(now clock.Millis, p *packet) []Outgoing {
	target := n.members[p.Target]
	if target == nil {
		return nil
	}
	n.sequence++
	n.relays[n.sequence] = relay{origin: p.From, sequence: p.Sequence, sentMs: now}
	return n.send(target.box.GossipAddress, n.packet(kindPing, n.sequence))
}

// membersPerPacket keeps the answer to a join within the size of a packet.
const membersPerPacket = 10

func (n *Node) sendMembers(to string, p *packet) []Outgoing {
	updates := []update{}
	if !n.leaving {
		updates = append(updates, update{ID: n.id, Incarnation: n.incarnation, Status: Alive, Box: &n.self})
	}
	for id, m := range n.members {
		if m.status <= Suspect || id == p.From {
			box := m.box
			updates = append(updates, update{ID: id, Incarnation: m.incarnation, Status: m.status, Box: &box})
		}
	}
	out := []Outgoing{}
	for start := 0; start < len(updates); start += membersPerPacket {
		reply := n.packet(kindMembers, p.Sequence)
		reply.Updates = updates[start:min(start+membersPerPacket, len(updates))]
		out = append(out, n.send(to, reply)...)
	}
	return out
}

// hear takes in news about a box, and spreads it unless all know it. Higher
// incarnations win; within one, the later status does.
func (n *Node) hear(u update, now clock.Millis, spread bool) []Outgoing {
	if u.ID == n.id {
		return n.contradict(u)
	}
	if u.Box != nil && u.Box.Domain != n.self.Domain {
		n.meetForeign(*u.Box, now)
		return nil
	}
	m := n.members[u.ID]
	if m == nil && u.Box == nil {
		return nil
	}
	if m == nil {
		m = &member{box: *u.Box, status: Dead}
		n.members[u.ID] = m
	} else if u.Incarnation < m.incarnation || u.Incarnation == m.incarnation && u.Status <= m.status {
		return nil
	}
	n.change(u, m, now)
	if spread {
		n.news.add(u, n.size())
	}
	return nil
}

// contradict answers news that this box is suspect or gone: with a higher
// incarnation, told to several boxes at once.
func (n *Node) contradict(u update) []Outgoing {
	if u.Incarnation < n.incarnation || u.Status == Alive && u.Incarnation == n.incarnation || n.leaving {
		return nil
	}
	n.incarnation = u.Incarnation + 1
	n.announce()
	return n.pingSome(refuteFanout)
}

func (n *Node) change(u update, m *member, now clock.Millis) {
	wasLive := m.status <= Suspect
	isLive := u.Status <= Suspect
	m.incarnation = u.Incarnation
	if u.Box != nil {
		m.box = *u.Box
	}
	switch {
	case isLive && !wasLive:
		n.alive++
		n.changed = true
		m.status = u.Status
	case !isLive:
		n.remove(u.ID, m, u.Status, now)
	default:
		m.status = u.Status
	}
	if u.Status == Suspect {
		m.silentSince = now - clock.Millis(u.SilentMs)
	}
}
