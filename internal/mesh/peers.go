package mesh

import (
	"cmp"
	"maps"
	"slices"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/route"
)

// peer is another box as this one knows it.
type peer struct {
	Identity
	heardMs clock.Millis
	// firstMs is when this incarnation was first heard.
	firstMs   clock.Millis
	knowledge Knowledge
	inFlight  map[namekey.Key]int
	running   map[namekey.Key]int
	leaving   bool
	// unanswered is how many asks were sent since it was last heard.
	unanswered int
	// toldKept is the number from which on it was not told yet of parts that engines
	// keep.
	toldKept int64
	// heardEndings is up to which number this box has heard its news of ended upstreams,
	// and ackedEndings up to which it has said to have heard this box's.
	heardEndings int64
	ackedEndings int64
}

// record notes the sender and the boxes that it names.
func (m *Mesh) record(p *packet) {
	now := m.clock.Steady()
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.peers[p.From.Box]
	if known != nil && known.Incarnation > p.From.Incarnation {
		return
	}
	heard := &peer{
		Identity: p.From, heardMs: now, firstMs: now, knowledge: p.Knowledge, inFlight: p.InFlight,
		running: p.Running, leaving: p.Leaving,
	}
	if known != nil && known.Incarnation == p.From.Incarnation && known.firstMs > 0 {
		heard.firstMs, heard.toldKept = known.firstMs, known.toldKept
		heard.heardEndings, heard.ackedEndings = known.heardEndings, known.ackedEndings
	}
	heard.heardEndings = max(heard.heardEndings, p.EndingsTo)
	heard.ackedEndings = max(heard.ackedEndings, p.EndingsHeard)
	if known == nil || known.firstMs == 0 {
		m.heard++
	}
	m.peers[p.From.Box] = heard
	for _, other := range p.Known {
		if other.Box != m.self.Box && m.peers[other.Box] == nil {
			// Named only: it counts as there once it was heard itself.
			m.peers[other.Box] = &peer{Identity: other, heardMs: now}
		}
	}
}

// target is a box that is asked; its name is empty when only its address is known.
type target struct{ box, address string }

// targets are the boxes of one round.
func (m *Mesh) targets(now clock.Millis) []target {
	m.mu.Lock()
	defer m.mu.Unlock()
	targets := []target{}
	add := func(box, address string) {
		known := slices.ContainsFunc(targets, func(t target) bool { return t.address == address })
		if address != m.self.Address && !known {
			targets = append(targets, target{box: box, address: address})
		}
	}
	for _, source := range m.sourcesLocked(now) {
		add(source.Box, source.Address)
	}
	m.forgetLocked(now)
	for range m.fanoutLocked() {
		if p := m.nextLocked(); p != nil {
			add(p.Box, p.Address)
		}
	}
	if !m.largeLocked() {
		for _, p := range m.unaskedDomainsLocked(now, targets) {
			add(p.Box, p.Address)
		}
	}
	if m.aliveCount(now) < minFanout {
		for _, contact := range m.contacts() {
			add("", contact)
		}
	}
	return targets
}

// unaskedDomainsLocked returns a box of each failure domain that no target is of, so that
// each domain gives a sign of life in each round.
func (m *Mesh) unaskedDomainsLocked(now clock.Millis, targets []target) []*peer {
	asked := map[string]bool{}
	for _, t := range targets {
		if p := m.peers[t.box]; p != nil && p.alive(now, m.lifeLocked()) {
			asked[p.FailureDomain] = true
		}
	}
	found := []*peer{}
	for _, p := range m.peers {
		if !asked[p.FailureDomain] && p.alive(now, m.lifeLocked()) {
			asked[p.FailureDomain] = true
			found = append(found, p)
		}
	}
	return found
}

// AskEach is how often some box of a failure domain is asked, by domain. Domains in which no
// box answers are left out, and in a large fleet, whose rounds reach a few boxes only, all.
func (m *Mesh) AskEach() map[string]clock.Millis {
	now := m.clock.Steady()
	asked := map[string]clock.Millis{}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.largeLocked() {
		return asked
	}
	life := m.lifeLocked()
	for _, p := range m.peers {
		if p.alive(now, life) {
			asked[p.FailureDomain] = m.period
		}
	}
	return asked
}

// forgetLocked drops boxes that were silent for long.
func (m *Mesh) forgetLocked(now clock.Millis) {
	after := max(forgetMs, m.lifeLocked())
	for box, p := range m.peers {
		if now-p.heardMs > after {
			delete(m.peers, box)
			if p.firstMs > 0 {
				m.heard--
			}
		}
	}
}

// nextLocked returns the next box to ask. Each is asked once in a cycle, in an
// order of its own.
func (m *Mesh) nextLocked() *peer {
	if len(m.order) == 0 {
		m.order = slices.Sorted(maps.Keys(m.peers))
		m.random.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
	}
	if len(m.order) == 0 {
		return nil
	}
	next := m.order[0]
	m.order = m.order[1:]
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

// lifeLocked returns how long a box counts as there after it was last heard.
func (m *Mesh) lifeLocked() clock.Millis {
	fanout := m.fanoutLocked()
	cycle := clock.Millis((len(m.peers)+fanout-1)/fanout) * m.periodLocked()
	return max(aliveMs, aliveCycles*cycle)
}

func (m *Mesh) aliveCount(now clock.Millis) int {
	count := 0
	life := m.lifeLocked()
	for _, p := range m.peers {
		if p.alive(now, life) {
			count++
		}
	}
	return count
}

// alive reports whether the box is there to stay.
func (p *peer) alive(now, life clock.Millis) bool {
	return p.firstMs > 0 && !p.leaving && now-p.heardMs < life
}

// sampleLocked returns a few boxes that are there. In a large fleet half of them are owners of
// upstreams, which all boxes have to know soon.
func (m *Mesh) sampleLocked(count int) []Identity {
	known := []Identity{}
	if m.largeLocked() {
		known = m.drawOwnersLocked((count + 1) / 2)
	}
	now, life := m.clock.Steady(), m.lifeLocked()
	for _, p := range m.peers {
		if len(known) == count {
			break
		}
		if p.alive(now, life) {
			known = append(known, p.Identity)
		}
	}
	return known
}

// Large reports whether the fleet is so large that a box tells and asks a few others only.
func (m *Mesh) Large() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.largeLocked()
}

// largeLocked reports whether the fleet is so large that bytes bind.
func (m *Mesh) largeLocked() bool { return m.heard > largeFleet }

// Others returns what the other boxes have in flight, by upstream.
func (m *Mesh) Others() map[namekey.Key]int {
	now := m.clock.Steady()
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := map[namekey.Key]int{}
	life := m.lifeLocked()
	for _, p := range m.peers {
		// A box that leaves still runs what it has.
		if now-p.heardMs >= life {
			continue
		}
		for id, count := range p.inFlight {
			sum[id] += count
		}
	}
	return sum
}

// Spans over which what boxes told of their requests is averaged: some forty boxes are heard in the
// longer one, and a dozen in the shorter one, which follows a surge.
const (
	recentMs clock.Millis = 5000
	surgeMs  clock.Millis = 1500
)

// Running returns how many requests all boxes run, by pool, from those that were heard lately: the
// larger of two averages, since a bound that lags behind a surge turns requests away from engines
// that have room. It is nil unless the fleet is large.
func (m *Mesh) Running() map[namekey.Key]int {
	own := m.running()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.largeLocked() {
		return nil
	}
	all := m.runningLocked(own, recentMs)
	for pool, count := range m.runningLocked(own, surgeMs) {
		all[pool] = max(all[pool], count)
	}
	return all
}

// runningLocked extrapolates from this box and those that were heard within a span to all that are
// known.
func (m *Mesh) runningLocked(own map[namekey.Key]int, span clock.Millis) map[namekey.Key]int {
	sums := maps.Clone(own)
	now := m.clock.Steady()
	heard, boxes := 1, 1
	for _, p := range m.peers {
		if !p.leaving {
			boxes++
		}
		if p.firstMs == 0 || now-p.heardMs >= span {
			continue
		}
		heard++
		for pool, count := range p.running {
			sums[pool] += count
		}
	}
	for pool, count := range sums {
		sums[pool] = (count*boxes + heard/2) / heard
	}
	return sums
}

// OthersAgeMs is how old, on average, what Others returns is. In a large fleet boxes don't tell
// their loads, and it is as old as can be.
func (m *Mesh) OthersAgeMs() clock.Millis {
	now := m.clock.Steady()
	m.mu.Lock()
	defer m.mu.Unlock()
	life := m.lifeLocked()
	if m.largeLocked() {
		return life
	}
	sum, count := clock.Millis(0), clock.Millis(0)
	for _, p := range m.peers {
		if p.firstMs > 0 && now-p.heardMs < life {
			sum += now - p.heardMs
			count++
		}
	}
	return sum / max(1, count)
}

// Resumed is to be called when this box has stood still for a span: that nobody was heard
// meanwhile says nothing of the others.
func (m *Mesh) Resumed(span clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		p.heardMs += span
	}
}

// Missing reports whether a box that was there a short while ago is not heard now and did
// not say that it leaves.
func (m *Mesh) Missing() bool {
	now := m.clock.Steady()
	m.mu.Lock()
	defer m.mu.Unlock()
	life := m.lifeLocked()
	for _, p := range m.peers {
		if p.firstMs > 0 && !p.leaving && now-p.heardMs >= life {
			return true
		}
	}
	return false
}

// Boxes returns how many boxes are there, this one included.
func (m *Mesh) Boxes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return 1 + m.aliveCount(m.clock.Steady())
}

// IsSource reports whether this box is one that reads the store for its failure
// domain, as far as it knows.
func (m *Mesh) IsSource() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, source := range m.sourcesLocked(m.clock.Steady()) {
		if source.Box == m.self.Box {
			return true
		}
	}
	return false
}

// maxUnanswered is how many asks in a row a source may leave without an answer: two datagrams may be
// lost.
const maxUnanswered = 3

// silentLocked reports whether a box of a large fleet, where one counts as there for minutes, answers no
// asks.
func (m *Mesh) silentLocked(p *peer) bool { return m.largeLocked() && p.unanswered >= maxUnanswered }

// sourcesLocked are the first boxes of this failure domain by the hash of their
// names, among those that are there and can read the store; among all, when none
// of them can.
func (m *Mesh) sourcesLocked(now clock.Millis) []Identity {
	all, able := []Identity{m.self}, []Identity{}
	if !m.knowledge().StoreLost {
		able = append(able, m.self)
	}
	life := m.lifeLocked()
	for _, p := range m.peers {
		if !p.alive(now, life) || p.FailureDomain != m.self.FailureDomain || m.silentLocked(p) {
			continue
		}
		all = append(all, p.Identity)
		if !p.knowledge.StoreLost {
			able = append(able, p.Identity)
		}
	}
	if len(able) == 0 {
		able = all
	}
	slices.SortFunc(able, func(a, b Identity) int {
		return cmp.Or(cmp.Compare(route.HashName(a.Box), route.HashName(b.Box)), cmp.Compare(a.Box, b.Box))
	})
	return able[:min(sources, len(able))]
}
