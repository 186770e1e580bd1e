package balance

import (
	"math"

	"dooryard.example/dooryard/internal/clock"
)

// poolLoad is the load of a pool at the time of a pick.
type poolLoad struct {
	// candidates is the number of members that may get the request, and running the load of all of them.
	candidates, running int
	// excluded is the number of members that get no requests, although they are well, because they are evacuated or
	// cold.
	excluded int
}

// withReserve returns the load if a number of the excluded members with a load of running are candidates.
func (l poolLoad) withReserve(count, running int) poolLoad {
	return poolLoad{candidates: l.candidates + count, running: l.running + running, excluded: l.excluded - count}
}

// aboveMean returns the least bound that is above the mean load of the candidates.
func (l poolLoad) aboveMean() int { return (l.running + l.candidates) / l.candidates }

// excluded returns the number of members that get no requests, although they are well, because they are evacuated or
// cold.
func (m *Manager) excluded(pool string, now clock.Millis) int {
	count := 0
	for _, member := range m.pools[pool] {
		if !member.draining() && (member.evacuated || m.coldDelayMs(member, now) > 0) {
			count++
		}
	}
	return count
}

// bound returns the maximum load of an engine. It is the configured multiple of the mean load (which
// includes this request), rounded up, plus boundSlack. The mean is that of the candidates and of excluded
// members, which count as idle: reports of requests that still run there are old, and some of the requests
// count twice. If the candidates can't hold the load under that bound, the mean is that of the candidates.
// The slack matters while the mean is small. The bound is always above the mean of the candidates.
func (m *Manager) bound(l poolLoad) int {
	bound := m.multipleOfMean(l.running, l.candidates+l.excluded)
	if !m.canHold(l) {
		bound = m.multipleOfMean(l.running, l.candidates)
	}
	return max(bound+boundSlack, l.aboveMean())
}

// canHold reports whether the candidates can hold their load under the multiple of the mean of all members.
func (m *Manager) canHold(l poolLoad) bool {
	bound := m.multipleOfMean(l.running, l.candidates+l.excluded)
	return l.excluded == 0 || bound >= minBoundPercent*(l.running+1)/(percent*l.candidates)
}

// withoutUnreported reduces a bound by the load that may be unreported.
func (m *Manager) withoutUnreported(bound int, l poolLoad) int {
	return max(bound-m.unreportedLoad(bound), l.aboveMean())
}

// minBoundPercent is the bound, in percent of the mean load of the candidates, below which it would move most sessions
// away from their engines.
const minBoundPercent = 110

// multipleOfMean returns the configured multiple of the mean load of a number of members, rounded up.
func (m *Manager) multipleOfMean(total, members int) int {
	return ((total+1)*m.settings.BoundPercent + members*percent - 1) / (members * percent)
}

// unreportedLoad returns how much of a load may be unknown to this box because the load reports of
// other boxes are old. If the reports are at least as old as requests usually take, this is the
// standard deviation of a count of that size. It is proportionally less for newer reports.
//
// Without this correction, boxes that exchange loads only every second or so overload engines without
// noticing. A few boxes exchange loads several times a second, and it does not change their bound.
func (m *Manager) unreportedLoad(load int) int {
	if m.fleetInFlightByPool != nil {
		// Boxes go by what engines report.
		return 0
	}
	staleness := min(1, float64(m.othersAgeMs)/float64(reportTTLMs))
	return int(math.Sqrt(float64(load)) * staleness)
}

// boundSlack is how many requests an engine may hold in addition to the multiple of the mean, because
// boxes don't know of each other's newest requests yet. It is one less than the number that operators
// allow in addition to the multiple.
const boundSlack = 2
