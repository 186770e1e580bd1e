package balance

import (
	"maps"
	"math"
	"slices"

	"dooryard.example/dooryard/internal/clock"
)

const (
	// countHalfLifeMs is the interval at which the counts of this box are halved. Counting over a few
	// seconds is enough to detect a session that other boxes use too, and a session that surges is
	// spread within the first second of the surge.
	countHalfLifeMs = 2 * clock.Second
	// minHotRequests is the minimum count at which a session is hot. With fewer requests, the measured
	// share is mostly random.
	minHotRequests = 4
	// minSpreadFactor is how many times the free capacity of one engine a session must need before it
	// is spread. Below it, the excess goes to the next engines in the session's rank order.
	minSpreadFactor = 1.5
	// maxCountedSessions bounds the number of sessions that are counted.
	maxCountedSessions = 4096
)

// sessionCounts counts how often the recent requests of a pool at this box used each session.
//
// A box learns what other boxes have in flight with a delay of up to a second or more. Until then each
// box would send a hot session to the engine that ranks first for it, and overload that engine
// (TestSurgeLargeFleet). But each box can measure the session's share of the requests by itself;
// multiplied by the total load, it gives the number of engines that the session needs.
type sessionCounts struct {
	counts    map[string]float64
	total     float64
	decayedMs clock.Millis
}

func newSessionCounts(now clock.Millis) *sessionCounts {
	return &sessionCounts{counts: map[string]float64{}, decayedMs: now}
}

// record counts a request of a session.
func (h *sessionCounts) record(session string, now clock.Millis) {
	for ; now-h.decayedMs >= countHalfLifeMs && h.total > 0; h.decayedMs += countHalfLifeMs {
		h.decay()
	}
	if h.total == 0 {
		h.decayedMs = now
	}
	if _, known := h.counts[session]; known || len(h.counts) < maxCountedSessions {
		h.counts[session]++
	}
	h.total++
}

// decay halves all counts and removes sessions whose count falls below one.
func (h *sessionCounts) decay() {
	h.total /= 2
	for session, count := range h.counts {
		h.counts[session] = count / 2
	}
	maps.DeleteFunc(h.counts, func(_ string, count float64) bool { return count < 1 })
	if h.total < 1 {
		h.total = 0
	}
}

// share returns the session's share of the recent requests, or 0 if it is not hot.
func (h *sessionCounts) share(session string) float64 {
	if h.counts[session] < minHotRequests {
		return 0
	}
	return h.counts[session] / h.total
}

// spreadWidth returns the number of engines over which a session with a share of the total load is
// spread, so that none reaches the bound. Boxes don't know each other's current loads, so the number
// of requests at an engine varies randomly. Room for one standard deviation is therefore kept free:
// the square root of the bound.
func spreadWidth(share float64, total, members, bound int) int {
	room := max(1, float64(bound)-float64(total)/float64(members)-math.Sqrt(float64(bound)))
	needed := share * float64(total) / room
	if needed < minSpreadFactor {
		return 1
	}
	return min(members, int(math.Ceil(needed)))
}

// rotateFirst rotates the first count members of an order so that it begins with the one at start.
func rotateFirst(order []*Member, start, count int) []*Member {
	return slices.Concat(order[start:count], order[:start], order[count:])
}
