package mesh

import (
	"cmp"
	"maps"
	"slices"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/route"
)

// peer is this box's view of another box.
type peer struct {
	Identity
	lastSeenMs clock.Millis
	// firstSeenMs is when this incarnation sent its first message, or 0 if it has sent none.
	firstSeenMs    clock.Millis
	stateSummary   StateSummary
	inFlight       map[namekey.Key]int
	inFlightByPool map[namekey.Key]int
	unreachable    []namekey.Key
	takesForwarded bool
	keepsStreams   bool
	// confirmsUpstreams is set if the box tells the age of its list of upstreams.
	confirmsUpstreams bool
	draining          bool
	// former is set if this process has given up the address of its box, which another process may have.
	former bool
	// unacked is the number of pings sent since the box's last message.
	unacked int
	// sentAnnouncements is the sequence number of the next cached prompt part to send to the box.
	sentAnnouncements int64
	// receivedCrashEvents is the sequence number up to which this box has received the peer's
	// reports of crashed upstreams. ackedCrashEvents is the one up to which the peer has
	// acknowledged this box's reports.
	receivedCrashEvents int64
	ackedCrashEvents    int64
	// receivedPartEvents and ackedPartEvents are the same for reports by parts of prompts.
	receivedPartEvents int64
	ackedPartEvents    int64
	// permitTimeoutMs is when this box as an owner last did not answer a permit request in time.
	permitTimeoutMs clock.Millis
	// admissionAnswerMs is when this box as an owner last answered an ask. admissionTimeoutMs is when it last did not
	// answer one in time, unless it has answered one since. Both are 0 if there was none.
	admissionAnswerMs, admissionTimeoutMs clock.Millis
	// admissionMisses is the number of asks in a row that it did not answer in time, the last one at admissionMissedMs.
	admissionMisses   int
	admissionMissedMs clock.Millis
	// readsLongAsks is set if this process of the box has answered an ask in a form that tells that it reads long asks.
	readsLongAsks bool
}

// recordPeer stores the sender of a datagram and the boxes that it names. If the sender has restarted, it returns the
// address of its earlier process, otherwise an empty string.
func (m *Mesh) recordPeer(p *packet) (restarted string) {
	now := m.clock.Monotonic()
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.peers[p.From.Box]
	if m.isLateLocked(p, known, now) {
		return ""
	}
	updated := &peer{
		Identity: p.From, lastSeenMs: now, firstSeenMs: now, stateSummary: p.StateSummary, inFlight: p.InFlight,
		inFlightByPool: p.InFlightByPool, draining: p.Draining,
		unreachable: p.Unreachable, takesForwarded: p.TakesForwarded, keepsStreams: p.KeepsStreams,
		confirmsUpstreams: p.ConfirmsUpstreams, former: p.GaveUpAddress,
	}
	if known != nil && known.Incarnation == p.From.Incarnation && known.firstSeenMs > 0 {
		updated.firstSeenMs, updated.sentAnnouncements = known.firstSeenMs, known.sentAnnouncements
		updated.receivedCrashEvents, updated.ackedCrashEvents = known.receivedCrashEvents, known.ackedCrashEvents
		updated.receivedPartEvents, updated.ackedPartEvents = known.receivedPartEvents, known.ackedPartEvents
	}
	if known != nil && known.Incarnation == p.From.Incarnation {
		updated.admissionAnswerMs, updated.admissionTimeoutMs = known.admissionAnswerMs, known.admissionTimeoutMs
		updated.admissionMisses, updated.admissionMissedMs = known.admissionMisses, known.admissionMissedMs
		updated.readsLongAsks = known.readsLongAsks
	}
	updated.receivedCrashEvents = max(updated.receivedCrashEvents, p.CrashEventsNext)
	updated.ackedCrashEvents = max(updated.ackedCrashEvents, p.CrashEventsAcked)
	updated.receivedPartEvents = max(updated.receivedPartEvents, p.PartEventsNext)
	updated.ackedPartEvents = max(updated.ackedPartEvents, p.PartEventsAcked)
	switch {
	case updated.former && known == nil:
		m.addFormerLocked(updated)
	case updated.former:
	case known == nil || known.firstSeenMs == 0:
		m.directPeers++
	}
	if known != nil && known.Incarnation != p.From.Incarnation && known.firstSeenMs > 0 {
		restarted = known.Address
		m.ledger.ReleaseBox(restarted)
	}
	m.peers[p.From.Box] = updated
	for _, other := range p.Known {
		if other.Box != m.self.Box && m.peers[other.Box] == nil {
			// A box that another box named counts as alive once it sends a message itself.
			m.peers[other.Box] = &peer{Identity: other, lastSeenMs: now}
		}
	}
	return restarted
}

// isLateLocked reports whether a datagram of a known box is of an earlier process, or from before its process gave up
// the address of the box. One that comes when the later process is silent is of a box whose clock was set back before
// it restarted.
func (m *Mesh) isLateLocked(p *packet, known *peer, now clock.Millis) bool {
	if known != nil && known.Incarnation > p.From.Incarnation && now-known.lastSeenMs < m.aliveTimeoutLocked() {
		return true
	}
	if m.formerPeers == 0 || p.GaveUpAddress {
		return false
	}
	former := m.peers[p.From.process()]
	return former != nil && former.former
}

// target is a box to ping. Its name is empty when only its address is known.
type target struct{ box, address string }

// targets returns the boxes to ping in one round.
func (m *Mesh) targets(now clock.Millis) []target {
	m.mu.Lock()
	defer m.mu.Unlock()
	targets := []target{}
	add := func(box, address string) {
		known := slices.ContainsFunc(targets, func(t target) bool { return t.address == address })
		if address != m.self.Address && address != m.movedTo && !known {
			targets = append(targets, target{box: box, address: address})
		}
	}
	for _, reader := range m.storeReadersLocked(now) {
		add(reader.Box, reader.Address)
	}
	m.forgetLocked(now)
	for range m.fanoutLocked() {
		if p := m.nextPeerLocked(); p != nil {
			add(p.Box, p.Address)
		}
	}
	if !m.largeLocked() {
		for _, p := range m.uncoveredDomainPeersLocked(now, targets) {
			add(p.Box, p.Address)
		}
	}
	for _, address := range m.contactAddressesLocked(now) {
		add("", address)
	}
	if m.gaveUpAddress {
		// A later process of this box has to know what this one has in flight.
		targets = append(targets, target{address: m.self.Address})
	}
	return targets
}

// uncoveredDomainPeersLocked returns one box of each failure domain that has no box among the
// targets, so that each round checks whether each domain is alive.
func (m *Mesh) uncoveredDomainPeersLocked(now clock.Millis, targets []target) []*peer {
	covered := map[string]bool{}
	for _, t := range targets {
		if p := m.peers[t.box]; p != nil && p.alive(now, m.aliveTimeoutLocked()) {
			covered[p.FailureDomain] = true
		}
	}
	found := []*peer{}
	for _, p := range m.peers {
		if !covered[p.FailureDomain] && p.alive(now, m.aliveTimeoutLocked()) {
			covered[p.FailureDomain] = true
			found = append(found, p)
		}
	}
	return found
}

// DomainPingIntervals returns the interval at which at least one box of a failure domain is pinged,
// by domain. It omits domains without a live box. It is empty in a large fleet, whose rounds reach
// only a few boxes.
func (m *Mesh) DomainPingIntervals() map[string]clock.Millis {
	now := m.clock.Monotonic()
	intervals := map[string]clock.Millis{}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.largeLocked() {
		return intervals
	}
	aliveTimeout := m.aliveTimeoutLocked()
	for _, p := range m.peers {
		if p.alive(now, aliveTimeout) {
			intervals[p.FailureDomain] = m.period
		}
	}
	return intervals
}

// nextPeerLocked returns the next box to ping. Each box is pinged once per cycle, in a random order
// that changes with each cycle.
func (m *Mesh) nextPeerLocked() *peer {
	if len(m.toPing) == 0 {
		m.toPing = slices.Sorted(maps.Keys(m.peers))
		m.random.Shuffle(len(m.toPing), func(i, j int) { m.toPing[i], m.toPing[j] = m.toPing[j], m.toPing[i] })
	}
	if len(m.toPing) == 0 {
		return nil
	}
	next := m.toPing[0]
	m.toPing = m.toPing[1:]
	return m.peers[next]
}

func (m *Mesh) fanoutLocked() int {
	if m.largeLocked() {
		return largeFanout
	}
	return min(maxFanout, max(minFanout, (len(m.peers)+roundsPerCycle-1)/roundsPerCycle))
}

// Period returns the time between two rounds.
func (m *Mesh) Period() clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.periodLocked()
}

func (m *Mesh) periodLocked() clock.Millis {
	if m.largeLocked() {
		return largePeriodMs
	}
	return m.period
}

// aliveTimeoutLocked returns how long a box counts as alive after its last message.
func (m *Mesh) aliveTimeoutLocked() clock.Millis {
	fanout := m.fanoutLocked()
	cycle := clock.Millis((len(m.peers)+fanout-1)/fanout) * m.periodLocked()
	return max(minAliveMs, aliveCycles*cycle)
}

func (m *Mesh) aliveCountLocked(now clock.Millis) int {
	count := 0
	aliveTimeout := m.aliveTimeoutLocked()
	for _, p := range m.peers {
		if p.alive(now, aliveTimeout) {
			count++
		}
	}
	return count
}

// alive reports whether the box is alive and not draining.
func (p *peer) alive(now, aliveTimeout clock.Millis) bool {
	return !p.draining && p.heard(now, aliveTimeout)
}

// heard reports whether the box has sent a message within the alive timeout.
func (p *peer) heard(now, aliveTimeout clock.Millis) bool {
	return p.firstSeenMs > 0 && now-p.lastSeenMs < aliveTimeout
}

// samplePeersLocked returns a few live boxes. In a large fleet half of them are owners of
// upstreams, which all boxes have to discover soon.
func (m *Mesh) samplePeersLocked(count int) []Identity {
	known := []Identity{}
	if m.largeLocked() {
		known = m.sampleOwnersLocked((count + 1) / 2)
	}
	now, aliveTimeout := m.clock.Monotonic(), m.aliveTimeoutLocked()
	for _, p := range m.peers {
		if len(known) == count {
			break
		}
		if p.alive(now, aliveTimeout) {
			known = append(known, p.Identity)
		}
	}
	return known
}

// IsLarge reports whether the fleet is so large that each box exchanges messages with only a few
// others.
func (m *Mesh) IsLarge() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.largeLocked()
}

// EnginePermits reports whether the fleet is so large that the boxes' reports are too old to bound the load of an
// engine, so that the engine's owner has to count the requests there. Boxes that others named count, because a box
// hears from most of them only seconds after its start.
func (m *Mesh) EnginePermits() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers)-m.formerPeers > smallFleetBoxes
}

// largeLocked reports whether the fleet is so large that bandwidth is the limit.
func (m *Mesh) largeLocked() bool { return m.directPeers > largeFleetBoxes }

// OthersInFlight returns the requests in flight of the other boxes, by upstream.
func (m *Mesh) OthersInFlight() map[namekey.Key]int {
	now := m.clock.Monotonic()
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := map[namekey.Key]int{}
	aliveTimeout := m.aliveTimeoutLocked()
	for _, p := range m.peers {
		// A draining box still runs its requests in flight.
		if now-p.lastSeenMs >= aliveTimeout {
			continue
		}
		for id, count := range p.inFlight {
			sum[id] += count
		}
	}
	return sum
}

// Windows over which reported request counts are averaged. About forty boxes report within the
// longer window and a dozen within the shorter one. The average of the shorter window follows a
// surge sooner.
const (
	longWindowMs  clock.Millis = 5000
	shortWindowMs clock.Millis = 1500
)

// FleetInFlightByPool returns the estimated requests in flight of the whole fleet, by pool, or nil
// unless the fleet is large. It extrapolates recent reports and takes the larger of two averages,
// because a bound that lags behind a surge rejects requests for engines that have capacity.
func (m *Mesh) FleetInFlightByPool() map[namekey.Key]int {
	own := m.inFlightByPool()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.largeLocked() {
		return nil
	}
	all := m.fleetInFlightByPoolLocked(own, longWindowMs)
	for pool, count := range m.fleetInFlightByPoolLocked(own, shortWindowMs) {
		all[pool] = max(all[pool], count)
	}
	return all
}

// fleetInFlightByPoolLocked extrapolates from this box and those that reported within the window to
// all known boxes.
func (m *Mesh) fleetInFlightByPoolLocked(own map[namekey.Key]int, window clock.Millis) map[namekey.Key]int {
	sums := maps.Clone(own)
	now := m.clock.Monotonic()
	reporting, boxes := 1, 1
	for _, p := range m.peers {
		if !p.draining {
			boxes++
		}
		if p.firstSeenMs == 0 || now-p.lastSeenMs >= window {
			continue
		}
		reporting++
		for pool, count := range p.inFlightByPool {
			sums[pool] += count
		}
	}
	for pool, count := range sums {
		sums[pool] = (count*boxes + reporting/2) / reporting
	}
	return sums
}

// OthersInFlightAgeMs returns the average age of the counts that OthersInFlight returns. In a large
// fleet boxes don't exchange loads by upstream, so it returns the maximum age.
func (m *Mesh) OthersInFlightAgeMs() clock.Millis {
	now := m.clock.Monotonic()
	m.mu.Lock()
	defer m.mu.Unlock()
	aliveTimeout := m.aliveTimeoutLocked()
	if m.largeLocked() {
		return aliveTimeout
	}
	sum, count := clock.Millis(0), clock.Millis(0)
	for _, p := range m.peers {
		if p.firstSeenMs > 0 && now-p.lastSeenMs < aliveTimeout {
			sum += now - p.lastSeenMs
			count++
		}
	}
	return sum / max(1, count)
}

// AddPause must be called after this process was paused. It extends the liveness deadlines of the
// other boxes, because their silence during the pause says nothing about them. Its counts are incomplete, because other
// owners were asked.
func (m *Mesh) AddPause(pause clock.Millis) {
	m.unsettle(func(namekey.Key) bool { return true })
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		p.lastSeenMs += pause
	}
}

// HasMissingBox reports whether a recently live box is silent without having announced that it is
// draining.
func (m *Mesh) HasMissingBox() bool {
	now := m.clock.Monotonic()
	m.mu.Lock()
	defer m.mu.Unlock()
	aliveTimeout := m.aliveTimeoutLocked()
	for _, p := range m.peers {
		if p.firstSeenMs > 0 && !p.draining && now-p.lastSeenMs >= aliveTimeout {
			return true
		}
	}
	return false
}

// Boxes returns the number of live boxes, including this one.
func (m *Mesh) Boxes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return 1 + m.aliveCountLocked(m.clock.Monotonic())
}

// DomainBoxes returns the number of live boxes of this failure domain, including this one.
func (m *Mesh) DomainBoxes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, aliveTimeout, count := m.clock.Monotonic(), m.aliveTimeoutLocked(), 1
	for _, p := range m.peers {
		if p.alive(now, aliveTimeout) && p.FailureDomain == m.self.FailureDomain {
			count++
		}
	}
	return count
}

// KnownBoxes returns the number of boxes that were live within the last minute or that others named, including this
// one.
func (m *Mesh) KnownBoxes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return 1 + len(m.peers) - m.formerPeers
}

// IsStoreReader reports whether this box, according to its own view, reads the store on behalf of its
// failure domain.
func (m *Mesh) IsStoreReader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, reader := range m.storeReadersLocked(m.clock.Monotonic()) {
		if reader.Box == m.self.Box {
			return true
		}
	}
	return false
}

// maxUnacked is the number of consecutive unanswered pings at which a store reader counts
// as unresponsive. It tolerates two lost datagrams.
const maxUnacked = 3

// unresponsiveLocked reports whether a box of a large fleet answers no pings. In such a fleet a box
// counts as alive for minutes, so the alive timeout alone would be too slow.
func (m *Mesh) unresponsiveLocked(p *peer) bool { return m.largeLocked() && p.unacked >= maxUnacked }

// storeReadersLocked returns the first boxes of this failure domain in the order of their name
// hashes, among the live boxes that can read the store. If none of them can, it chooses among all
// live boxes. Boxes of earlier releases read for their own kind, since they don't tell the versions of upstreams, or
// how old their list of upstreams is.
func (m *Mesh) storeReadersLocked(now clock.Millis) []Identity {
	all, reachable := []Identity{m.self}, []Identity{}
	if !m.stateSummary().StoreUnavailable {
		reachable = append(reachable, m.self)
	}
	aliveTimeout := m.aliveTimeoutLocked()
	for _, p := range m.peers {
		if !p.alive(now, aliveTimeout) || p.FailureDomain != m.self.FailureDomain || m.unresponsiveLocked(p) ||
			!p.confirmsUpstreams {
			continue
		}
		all = append(all, p.Identity)
		if !p.stateSummary.StoreUnavailable {
			reachable = append(reachable, p.Identity)
		}
	}
	if len(reachable) == 0 {
		reachable = all
	}
	slices.SortFunc(reachable, func(a, b Identity) int {
		return cmp.Or(cmp.Compare(route.HashName(a.Box), route.HashName(b.Box)), cmp.Compare(a.Box, b.Box))
	})
	return reachable[:min(readersPerDomain, len(reachable))]
}
