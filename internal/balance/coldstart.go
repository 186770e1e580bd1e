package balance

import (
	"fmt"
	"math"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/route"
)

// A cold upstream is slow for some seconds after its start and falls over if it gets many requests. All boxes
// together must stay within its admission rate, also while they can't reach each other, so each box limits
// itself by the number of boxes alone:
//
//   - If the rate is at least one request a second for each box, a box sends at most its share of the rate in
//     any second.
//   - In a larger fleet, a box may send one request in each of its slots. A slot is short and recurs with a long
//     period, and its phase differs by box and upstream. The period is such that hardly ever so many slots of
//     different boxes meet in one second that the limit is exceeded, even if every slot is used.
//
// This answers the load of a cold start among warm upstreams, where sessions go to the next engine in their order,
// and the load on a pool that is cold as a whole, where requests go to any engine with a slot or are refused at once.

// ColdStart describes the upstreams of a pool while they are cold.
type ColdStart struct {
	// RequestsPerSecond is the rate of requests that a cold upstream bears. 0 sets no limit.
	RequestsPerSecond float64
	// DurationMs is how long an upstream is cold after its start.
	DurationMs clock.Millis
}

// ColdTolerance is how far the requests in any one second may exceed the rate of a cold upstream: they may be Factor
// times as many and Slack more. The zero value allows none.
type ColdTolerance struct {
	Factor float64
	Slack  float64
}

const (
	// coldSlotMs is the length of a slot.
	coldSlotMs clock.Millis = 250
	// coldSendDelayMs is how much later than it was picked a request may arrive: the timeout for opening a
	// connection.
	coldSendDelayMs clock.Millis = 200
	// coldDeviations is how many standard deviations the mean number of slots in one second stays below the limit. Of
	// ten million seconds about one exceeds seven.
	coldDeviations = 7
)

// ErrAllCold means that the upstreams that would accept the request are cold, and this box may not send them a
// request now. It wraps ErrNoUpstream.
var ErrAllCold = fmt.Errorf("%w: they are cold", ErrNoUpstream)

// coldAdmission is this box's share of the admission rate of a cold upstream.
type coldAdmission struct {
	// perSecond is the number of requests that this box may send in any second. If it is 0, slots apply.
	perSecond int
	// periodMs is the period of this box's slots.
	periodMs clock.Millis
}

// admissionFor returns the share of one of a number of boxes.
func admissionFor(c ColdStart, tolerance ColdTolerance, boxes int) coldAdmission {
	perSecond := int(c.RequestsPerSecond) / max(1, boxes)
	if perSecond > 0 {
		return coldAdmission{perSecond: perSecond}
	}
	limit := math.Max(c.RequestsPerSecond, c.RequestsPerSecond*tolerance.Factor+tolerance.Slack)
	// The largest mean for which the mean and coldDeviations times its root are within the limit.
	root := (math.Sqrt(coldDeviations*coldDeviations+4*limit) - coldDeviations) / 2 //nolint:mnd // Quadratic formula.
	mean := math.Min(root*root, c.RequestsPerSecond)
	window := clock.Second + coldSlotMs + coldSendDelayMs
	return coldAdmission{periodMs: clock.Millis(math.Ceil(float64(boxes) * float64(window) / mean))}
}

// coldState is what a box keeps of a cold upstream.
type coldState struct {
	// entryUntilMs is the monotonic time until which the upstream is cold, according to its entry.
	entryUntilMs clock.Millis
	// assumedUntilMs is the monotonic time until which it is assumed to be cold.
	assumedUntilMs clock.Millis
	// sentMs are the times of the newest requests of this box, oldest first, at most as many as it may send in a
	// second, or one.
	sentMs []clock.Millis
}

// untilMs returns the monotonic time until which the upstream is cold.
func (s *coldState) untilMs() clock.Millis { return max(s.entryUntilMs, s.assumedUntilMs) }

// nextSendMs returns the earliest time, from now on, at which this box may send a request to the upstream.
func (s *coldState) nextSendMs(a coldAdmission, phase, now clock.Millis) clock.Millis {
	switch {
	case now >= s.untilMs():
		return now
	case a.perSecond > 0 && len(s.sentMs) < a.perSecond:
		return now
	case a.perSecond > 0:
		return max(now, s.sentMs[0]+clock.Second+coldSendDelayMs)
	}
	inPeriod := (now + phase) % a.periodMs
	slotMs := now - inPeriod
	used := len(s.sentMs) > 0 && s.sentMs[len(s.sentMs)-1] >= slotMs
	if inPeriod < coldSlotMs && !used {
		return now
	}
	return slotMs + a.periodMs
}

// recordSend records that this box sends a request to the upstream.
func (s *coldState) recordSend(a coldAdmission, now clock.Millis) {
	if now >= s.untilMs() {
		s.sentMs = nil
		return
	}
	s.sentMs = append(s.sentMs, now)
	if excess := len(s.sentMs) - max(1, a.perSecond); excess > 0 {
		s.sentMs = s.sentMs[excess:]
	}
}

// SetColdStarts sets the cold starts of the pools.
func (m *Manager) SetColdStarts(pools map[string]ColdStart) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.coldStarts = pools
}

// SetFleetSize sets the number of boxes that may send requests to a cold upstream, including this one. It may be too
// high, but must not be too low.
func (m *Manager) SetFleetSize(boxes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleetSize = boxes
}

// admission returns this box's share of the admission rate of a cold member, or false if there is no limit.
func (m *Manager) admission(member *Member) (coldAdmission, bool) {
	c := m.coldStarts[member.Pool]
	if c.RequestsPerSecond <= 0 {
		return coldAdmission{}, false
	}
	return admissionFor(c, m.settings.ColdTolerance, m.fleetSize), true
}

// coldDelayMs returns how long this box may not send a request to the member because it is cold.
func (m *Manager) coldDelayMs(member *Member, now clock.Millis) clock.Millis {
	if now >= member.cold.untilMs() {
		return 0
	}
	a, limited := m.admission(member)
	if !limited {
		return 0
	}
	return min(member.cold.nextSendMs(a, m.coldPhase(member), now), member.cold.untilMs()) - now
}

// coldPhase returns the phase of this box's slots at a member.
func (m *Manager) coldPhase(member *Member) clock.Millis {
	return clock.Millis(route.HashName(m.settings.Box+"\n"+member.Incarnation()) >> phaseShift)
}

// phaseShift keeps a phase positive and small enough to add a time to it.
const phaseShift = 16

// recordColdSend counts a request to a member that may be cold.
func (m *Manager) recordColdSend(member *Member, now clock.Millis) {
	if a, limited := m.admission(member); limited {
		member.cold.recordSend(a, now)
	}
}

// assumeCold treats the members of a failure domain as cold until their entries must have arrived. Upstreams may have
// been restarted while their failure domain was evacuated, and their entries may be outdated when the evacuation ends.
func (m *Manager) assumeCold(failureDomain string, now clock.Millis) {
	for _, member := range m.byID {
		if member.FailureDomain == failureDomain {
			member.cold.assumedUntilMs = now + min(m.coldStarts[member.Pool].DurationMs, maxRestartLagMs)
		}
	}
}

// Cold returns the number of upstreams that are cold, by pool. Zeros are omitted.
func (m *Manager) Cold() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, counts := m.monotonic(), map[string]int{}
	for _, member := range m.byID {
		if now < member.cold.untilMs() {
			counts[member.Pool]++
		}
	}
	return counts
}
