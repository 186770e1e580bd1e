package mesh

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/route"
)

// A process that is killed or crashes tells nobody of its end. The other boxes know when they last heard from it and
// whether it left in order, and tell the next process of its box.

// Timing and limits of what boxes remember of processes.
const (
	// tellAfterMs is how long after the first box told of an earlier process the others are waited for. One of them may
	// have heard from it later, or of its end.
	tellAfterMs clock.Millis = 2000
	// tellMarginMs covers the start of a process until the first box tells it of earlier ones.
	tellMarginMs clock.Millis = 1000
	// formerTimeoutMs is how long a process that has given up its address may be silent until it counts as ended. It
	// exceeds the pauses of a process.
	formerTimeoutMs clock.Millis = 10_000
	// lifetimeTTLMs is how long the processes of a silent box are remembered. It is longer than forgetAfterMs, since it
	// may take an operator minutes to start the next one.
	lifetimeTTLMs = 10 * 60 * clock.Second
	// maxLifetimes limits the processes of a box that are remembered, and those of which a datagram tells.
	maxLifetimes = 4
	// maxLifetimeBoxes limits the boxes whose processes are remembered.
	maxLifetimeBoxes = 8192
	// restartWitnesses is how many boxes are witnesses of a restart. More than one box may restart at a time. In a large
	// fleet it is one: only the store reader of the failure domain hears from each box in each round.
	restartWitnesses = 3
)

// Ending is how a process has ended, as far as other boxes know.
type Ending string

// Endings of a process.
const (
	EndedInOrder        Ending = "in order"
	EndedWithoutLeaving Ending = "without leaving"
	// EndedWhileStopping is the ending of a process that had announced its stop.
	EndedWhileStopping Ending = "while stopping"
)

// phase is the last that is known of a process. A later phase has a higher number.
type phase uint8

const (
	phaseRunning phase = iota
	phaseStopping
	// phaseFormer is that of a process that has given up the address of its box.
	phaseFormer
	phaseEnded
)

func (p phase) ending() Ending {
	switch p {
	case phaseRunning:
		return EndedWithoutLeaving
	case phaseEnded:
		return EndedInOrder
	case phaseStopping, phaseFormer:
		return EndedWhileStopping
	default:
		return EndedWhileStopping
	}
}

// Restart is the start of a process of another box whose earlier process has not ended in order.
type Restart struct {
	Box    string
	Ending Ending
	// SilentMs is the time from the last message of the earlier process to the first one of the next, and RanMs how long
	// the earlier one had run until then, by the clock of its box, or 0 if that was set back.
	SilentMs, RanMs clock.Millis
	// Witness is set if this box is one of the few that report the restart.
	Witness bool
}

// ProcessEnd is how an earlier process of this box has ended.
type ProcessEnd struct {
	Ending Ending
	// SilentMs is the time since its last message, which ToldBy has received, and RanMs as in Restart.
	SilentMs, RanMs clock.Millis
	ToldBy          string
}

// lifetime is what a datagram tells of an earlier process of the receiver.
type lifetime struct {
	Incarnation int64 `cbor:"1,keyasint"`
	Phase       phase `cbor:"2,keyasint,omitempty"`
	// SilentMs is the time since the last message of the process.
	SilentMs clock.Millis `cbor:"3,keyasint,omitempty"`
}

func (l lifetime) check() error {
	if l.Phase > phaseEnded || l.SilentMs < 0 {
		return fmt.Errorf("%w: earlier process: phase %d, silent for %d ms", ErrInvalid, l.Phase, l.SilentMs)
	}
	return nil
}

// knownLifetime is what this box knows of a process of another box, or of an earlier one of its own.
type knownLifetime struct {
	incarnation int64
	phase       phase
	lastSeenMs  clock.Millis
	// toldBy is the box that heard from an earlier process of this box last, and reported is set once that was reported.
	toldBy   string
	reported bool
}

// lifetimes are the processes that a box remembers, by box, the latest last.
type lifetimes struct {
	known map[string][]knownLifetime
	// startedMs is when this process joined the mesh, and firstToldMs when a box first told it of an earlier one, or 0.
	startedMs, firstToldMs clock.Millis
	// ended is set once this process is about to end in order.
	ended bool
}

// box returns the name of the sender's box.
func (p *packet) box() string {
	if !p.GaveUpAddress {
		return p.From.Box
	}
	return strings.TrimSuffix(p.From.Box, Identity{Incarnation: p.From.Incarnation}.process())
}

// senderPhase returns the phase of the sender. Boxes of earlier releases tell only that they stop.
func (p *packet) senderPhase() phase {
	if p.Draining && p.Phase == phaseRunning {
		return phaseEnded
	}
	return p.Phase
}

// phaseLocked returns the phase of this process.
func (m *Mesh) phaseLocked() phase {
	switch {
	case m.lifetimes.ended:
		return phaseEnded
	case m.gaveUpAddress:
		return phaseFormer
	case m.draining:
		return phaseStopping
	default:
		return phaseRunning
	}
}

// BroadcastEnd tells all boxes, and a later process of this one, that this process ends in order.
func (m *Mesh) BroadcastEnd() {
	m.mu.Lock()
	m.lifetimes.ended = true
	replaced := m.gaveUpAddress
	m.mu.Unlock()
	m.broadcast(func(*peer) bool { return true })
	if replaced {
		m.send(m.self.Address, m.packet(typeUpdate, 0))
	}
}

// observeLifetime records that the sender of a datagram is alive, and what it tells of earlier processes of this box.
func (m *Mesh) observeLifetime(p *packet) {
	now := m.clock.Monotonic()
	m.mu.Lock()
	for _, told := range p.Predecessors[:min(maxLifetimes, len(p.Predecessors))] {
		m.recordPredecessorLocked(knownLifetime{
			incarnation: told.Incarnation, phase: told.Phase, lastSeenMs: now - told.SilentMs, toldBy: p.From.Box,
		}, now)
	}
	restart, restarted := Restart{}, false
	if !m.isLateLocked(p, m.peers[p.From.Box], now) {
		restart, restarted = m.recordLifetimeLocked(p, now)
	}
	m.mu.Unlock()
	if restarted && m.onRestart != nil {
		m.onRestart(restart)
	}
}

// recordPredecessorLocked records what is known of an earlier process of this box.
func (m *Mesh) recordPredecessorLocked(l knownLifetime, now clock.Millis) {
	if l.incarnation == m.self.Incarnation {
		return
	}
	if m.lifetimes.firstToldMs == 0 {
		m.lifetimes.firstToldMs = now
	}
	list := m.lifetimes.known[m.self.Box]
	known := findLifetime(list, l.incarnation)
	if known == nil {
		list = append(list, l)
		slices.SortFunc(list, func(a, b knownLifetime) int { return cmp.Compare(a.incarnation, b.incarnation) })
		m.lifetimes.known[m.self.Box] = list[max(0, len(list)-maxLifetimes):]
		return
	}
	known.phase = max(known.phase, l.phase)
	if l.lastSeenMs > known.lastSeenMs {
		known.lastSeenMs, known.toldBy = l.lastSeenMs, l.toldBy
	}
}

func findLifetime(list []knownLifetime, incarnation int64) *knownLifetime {
	i := slices.IndexFunc(list, func(l knownLifetime) bool { return l.incarnation == incarnation })
	if i < 0 {
		return nil
	}
	return &list[i]
}

// recordLifetimeLocked records that the sender of a datagram is alive. If it follows a process that has not ended in
// order, it returns the restart.
func (m *Mesh) recordLifetimeLocked(p *packet, now clock.Millis) (restart Restart, restarted bool) {
	box := p.box()
	seen := knownLifetime{incarnation: p.From.Incarnation, phase: p.senderPhase(), lastSeenMs: now, toldBy: m.self.Box}
	if box == m.self.Box {
		m.recordPredecessorLocked(seen, now)
		return Restart{}, false
	}
	list := m.lifetimes.known[box]
	if known := findLifetime(list, seen.incarnation); known != nil {
		known.phase, known.lastSeenMs = max(known.phase, seen.phase), now
		return Restart{}, false
	}
	switch {
	case len(list) == 0 && len(m.lifetimes.known) >= maxLifetimeBoxes:
		return Restart{}, false
	case p.GaveUpAddress:
		// A later process of the box may be known already.
		list = append([]knownLifetime{seen}, list...)
	default:
		restart, restarted = m.restartLocked(list, p, now)
		list = append(list, seen)
	}
	m.lifetimes.known[box] = list[max(0, len(list)-maxLifetimes):]
	return restart, restarted
}

// restartLocked returns the restart of a box whose next process has sent its first message.
func (m *Mesh) restartLocked(earlier []knownLifetime, p *packet, now clock.Millis) (restart Restart, restarted bool) {
	if len(earlier) == 0 {
		return Restart{}, false
	}
	last := earlier[len(earlier)-1]
	if last.phase >= phaseFormer {
		return Restart{}, false
	}
	return Restart{
		Box: p.From.Box, Ending: last.phase.ending(), SilentMs: now - last.lastSeenMs,
		RanMs: last.ranMs(p.From.Incarnation, now), Witness: m.isWitnessLocked(p.From, now),
	}, true
}

// ranMs returns how long the process ran until its last message, or 0 if that is unknown. A later process of its box
// with an incarnation began at startedMs. Incarnations are start times by the clock of the box.
func (l knownLifetime) ranMs(incarnation int64, startedMs clock.Millis) clock.Millis {
	return max(0, clock.Millis(incarnation-l.incarnation)-max(0, startedMs-l.lastSeenMs))
}

// isWitnessLocked reports whether this box is among the few that report a restart of another one: the first live ones
// in the order of their name hashes, those of its failure domain before others.
func (m *Mesh) isWitnessLocked(restarted Identity, now clock.Millis) bool {
	witnesses := restartWitnesses
	if m.largeLocked() {
		witnesses = 1
	}
	aliveTimeout := m.aliveTimeoutLocked()
	for _, p := range m.peers {
		if p.Box != restarted.Box && p.alive(now, aliveTimeout) && !m.unresponsiveLocked(p) &&
			compareWitnesses(p.Identity, m.self, restarted.FailureDomain) < 0 {
			witnesses--
		}
	}
	return witnesses > 0
}

func compareWitnesses(a, b Identity, domain string) int {
	if aInside, bInside := a.FailureDomain == domain, b.FailureDomain == domain; aInside != bInside {
		if aInside {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(route.HashName(a.Box), route.HashName(b.Box)), cmp.Compare(a.Box, b.Box))
}

// addPredecessorsLocked tells a new process of the earlier ones of its box.
func (m *Mesh) addPredecessorsLocked(p *packet, receiver *peer) {
	now := m.clock.Monotonic()
	if now-receiver.firstSeenMs >= newPeerMs {
		return
	}
	for _, l := range m.lifetimes.known[receiver.Box] {
		if l.incarnation != receiver.Incarnation {
			p.Predecessors = append(p.Predecessors, lifetime{
				Incarnation: l.incarnation, Phase: l.phase, SilentMs: now - l.lastSeenMs,
			})
		}
	}
}

// reportProcessEnds reports how earlier processes of this box have ended.
func (m *Mesh) reportProcessEnds() {
	m.mu.Lock()
	ends := m.processEndsLocked(m.clock.Monotonic())
	m.mu.Unlock()
	for _, e := range ends {
		if m.onProcessEnd != nil {
			m.onProcessEnd(e)
		}
	}
}

// processEndsLocked returns the ends to report: that of the last process, and those of earlier ones if the processes
// after them ended too soon to report them.
func (m *Mesh) processEndsLocked(now clock.Millis) []ProcessEnd {
	l := &m.lifetimes
	if l.firstToldMs == 0 || now-l.firstToldMs < tellAfterMs {
		return nil
	}
	ends, list := []ProcessEnd{}, l.known[m.self.Box]
	for i := len(list) - 1; i >= 0; i-- {
		process := &list[i]
		ranMs := process.ranMs(m.self.Incarnation, l.startedMs)
		mayRun := process.phase == phaseFormer && now-process.lastSeenMs < formerTimeoutMs
		if !process.reported && !mayRun {
			process.reported = true
			ends = append(ends, ProcessEnd{
				Ending: process.phase.ending(), SilentMs: now - process.lastSeenMs, RanMs: ranMs, ToldBy: process.toldBy,
			})
		}
		if ranMs > tellAfterMs+tellMarginMs {
			break
		}
	}
	slices.Reverse(ends)
	return ends
}

// forgetLifetimesLocked forgets the processes of other boxes that have been silent for long.
func (m *Mesh) forgetLifetimesLocked(now, aliveTimeout clock.Millis) {
	for box, list := range m.lifetimes.known {
		if box != m.self.Box && now-list[len(list)-1].lastSeenMs > max(lifetimeTTLMs, aliveTimeout) {
			delete(m.lifetimes.known, box)
		}
	}
}
