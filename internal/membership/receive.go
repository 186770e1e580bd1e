package membership

import (
	"dooryard.example/dooryard/internal/clock"
)

// Receive processes a message and returns the messages to send in response. An error means that the
// message was dropped.
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
		out = append(out, n.applyUpdate(u, now, p.Kind != kindMembers)...)
	}
	n.refreshSender(&p)
	n.applyFacts(&p, now)
	return append(out, n.handle(now, from, &p)...), nil
}

// applyFacts stores facts about live boxes and summed facts of other failure domains.
func (n *Node) applyFacts(p *packet, now clock.Millis) {
	for _, f := range p.Facts {
		m := n.members[f.ID]
		if f.Facts.Boxes > 0 || m != nil && m.status <= Suspect {
			n.facts.add(f, now)
		}
	}
}

// refreshSender marks a suspect sender as alive, unless the packet has an outdated incarnation.
func (n *Node) refreshSender(p *packet) {
	m := n.members[p.From]
	if m == nil || m.status != Suspect || p.Incarnation < m.incarnation {
		return
	}
	m.status = Alive
	m.incarnation = p.Incarnation
}

func (n *Node) handle(now clock.Millis, from string, p *packet) []Outgoing {
	switch p.Kind {
	case kindPing:
		return n.send(from, n.packet(kindAck, p.Sequence))
	case kindAck:
		return n.handleAck(p)
	case kindPingRequest:
		return n.indirectPing(now, p)
	case kindJoin:
		return n.sendMembers(from, p)
	case kindMembers, kindDomainFacts:
		return nil
	default:
		return nil
	}
}

// handleAck completes a probe, or forwards the ack to the box that requested an indirect ping.
func (n *Node) handleAck(p *packet) []Outgoing {
	if probed, found := n.probes[p.Sequence]; found && (probed.target == p.From || probed.target == p.Target) {
		delete(n.probes, p.Sequence)
		return nil
	}
	r, found := n.indirectPings[p.Sequence]
	if !found {
		return nil
	}
	delete(n.indirectPings, p.Sequence)
	origin := n.members[r.origin]
	if origin == nil {
		return nil
	}
	forwarded := n.packet(kindAck, r.sequence)
	forwarded.Target = p.From
	return n.send(origin.box.GossipAddress, forwarded)
}

func (n *Node) indirectPing(now clock.Millis, p *packet) []Outgoing {
	target := n.members[p.Target]
	if target == nil {
		return nil
	}
	n.sequence++
	n.indirectPings[n.sequence] = indirectPing{origin: p.From, sequence: p.Sequence, sentMs: now}
	return n.send(target.box.GossipAddress, n.packet(kindPing, n.sequence))
}

// membersPerPacket keeps each response to a join request within the maximum packet size.
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

// applyUpdate processes an update about a box and queues it for gossip if forward is set. Updates
// in the response to a join request are not forwarded, because the other boxes know them. A higher
// incarnation takes precedence. Within an incarnation the higher status does.
func (n *Node) applyUpdate(u update, now clock.Millis, forward bool) []Outgoing {
	if u.ID == n.id {
		return n.refute(u)
	}
	if u.Box != nil && u.Box.Domain != n.self.Domain {
		n.recordForeign(*u.Box, now)
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
	n.updateMember(u, m, now)
	if forward {
		n.updates.add(u, n.size())
	}
	return nil
}

// refute responds to an update that declares this box suspect, dead or departed, or alive with a
// higher incarnation than its own. It raises the incarnation and pings several boxes immediately to
// spread it.
func (n *Node) refute(u update) []Outgoing {
	if u.Incarnation < n.incarnation || u.Status == Alive && u.Incarnation == n.incarnation || n.leaving {
		return nil
	}
	n.incarnation = u.Incarnation + 1
	n.announceAlive()
	return n.pingRandom(refuteFanout)
}

func (n *Node) updateMember(u update, m *member, now clock.Millis) {
	wasLive := m.status <= Suspect
	isLive := u.Status <= Suspect
	m.incarnation = u.Incarnation
	if u.Box != nil {
		m.box = *u.Box
	}
	switch {
	case isLive && !wasLive:
		n.aliveCount++
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
