package mesh

import (
	"net"

	"dooryard.example/dooryard/internal/clock"
)

// A process that drains may still run requests when a later process of the same box takes over its address. It then
// goes on at another address, and counts as a box of its own: the others know its requests until it ends, and don't
// take what it sends for news of the later process.

// GiveUpAddress makes the mesh go on at another address, so that a later process of this box can use that of the box.
// Move opens another socket and returns its address and the former socket, which GiveUpAddress closes. The box must be
// draining. After an error it receives nothing more.
func (m *Mesh) GiveUpAddress(move func() (address string, former net.PacketConn, err error)) error {
	address, former, err := move()
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.movedTo, m.gaveUpAddress = address, true
	m.mu.Unlock()
	m.tellMove(former)
	return former.Close() //nolint:wrapcheck // The caller names the socket.
}

// Moved makes the other boxes use another address of this process, to which its connection has moved. The former socket
// may be dead.
func (m *Mesh) Moved(address string, former net.PacketConn) {
	m.mu.Lock()
	gaveUp := m.gaveUpAddress
	if !gaveUp {
		m.movedTo = address
	}
	m.mu.Unlock()
	if !gaveUp {
		m.tellMove(former)
	}
}

// tellMove tells the other boxes the address of this process, and moves its requests there.
func (m *Mesh) tellMove(former net.PacketConn) {
	// Owners know requests by the address from which they were asked. Some were granted during the move. Those that were
	// asked from the new address are counted once, too.
	running, permits := m.admissions.running(), m.pendingPermits.all()
	m.broadcast(func(*peer) bool { return true })
	for _, q := range running {
		q.recount()
	}
	for number, p := range permits {
		m.recountPermit(number, p)
	}
	// An owner gives a slot away once it is released, so those of the new address are counted before.
	for _, q := range running {
		m.sendFrom(former, q.owner.Address, endMessage{Kind: admissionRelease, Number: q.ask.ID.Number})
	}
	for number, p := range permits {
		m.sendFrom(former, p.owner, permitMessage{Kind: permitRelease, Number: number})
	}
}

// recountPermit makes an owner count a request that runs under the new address of this process.
func (m *Mesh) recountPermit(number uint32, p heldPermit) {
	if !m.pendingPermits.holds(number) {
		return
	}
	m.countPermit(number, p)
	if !m.pendingPermits.holds(number) {
		// It has ended meanwhile, perhaps before the owner counted it.
		m.sendPermitMessage(p.owner, permitMessage{Kind: permitRelease, Number: number})
	}
}

// addFormerLocked counts a peer that has given up the address of its box. Its requests no longer count under the name
// of the box.
func (m *Mesh) addFormerLocked(former *peer) {
	m.formerPeers++
	for _, p := range m.peers {
		if p.Incarnation == former.Incarnation && p.process() == former.Box {
			p.inFlight, p.inFlightByPool = nil, nil
		}
	}
}

// forgetLocked removes boxes that have been silent for too long. A process that has given up its address has ended.
func (m *Mesh) forgetLocked(now clock.Millis) {
	aliveTimeout := m.aliveTimeoutLocked()
	m.forgetLifetimesLocked(now, aliveTimeout)
	after := max(forgetAfterMs, aliveTimeout)
	for box, p := range m.peers {
		switch silentMs := now - p.lastSeenMs; {
		case p.former && silentMs > aliveTimeout:
			delete(m.peers, box)
			m.formerPeers--
		case !p.former && silentMs > after:
			delete(m.peers, box)
			if p.firstSeenMs > 0 {
				m.directPeers--
			}
		}
	}
}
