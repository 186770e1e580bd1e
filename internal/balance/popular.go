package balance

import (
	"maps"
	"math"
	"slices"

	"dooryard.example/dooryard/internal/clock"
)

const (
	// popularHalfMs is after which time this box's requests count half: some seconds show a
	// session that others use too, and a surge is spread within its first second.
	popularHalfMs = 2 * clock.Second
	// leastPopular is from how many requests on a session may be popular: of fewer, chance
	// alone can make up any share.
	leastPopular = 4
	// leastSpread is how many times the room of one engine a session must need before it is
	// spread: below it the engines that come next take what the first has no room for.
	leastSpread = 1.5
	// maxPopular bounds the sessions that are counted.
	maxPopular = 4096
)

// popularity is how often the newest requests of a pool named each session, at this box.
//
// Boxes hear late of what others have in flight, in a large fleet up to 1.25 s. Until then each
// of them sends a popular session to the engine that comes first for it: of 87 boxes before 100
// engines, with one session in 12% of the requests, 6.2% of these went to engines over twice the
// mean (TestSurgeLargeFleet). Each box sees the session's share by itself, and that share of all
// load tells how many engines it needs; with it 2.6% do.
type popularity struct {
	counts   map[string]float64
	total    float64
	halvedMs clock.Millis
}

func newPopularity(now clock.Millis) *popularity {
	return &popularity{counts: map[string]float64{}, halvedMs: now}
}

// note counts a request of a session.
func (p *popularity) note(session string, now clock.Millis) {
	for ; now-p.halvedMs >= popularHalfMs && p.total > 0; p.halvedMs += popularHalfMs {
		p.halve()
	}
	if p.total == 0 {
		p.halvedMs = now
	}
	if _, known := p.counts[session]; known || len(p.counts) < maxPopular {
		p.counts[session]++
	}
	p.total++
}

// halve halves all counts; a session that fell below one request is forgotten.
func (p *popularity) halve() {
	p.total /= 2
	for session, count := range p.counts {
		p.counts[session] = count / 2
	}
	maps.DeleteFunc(p.counts, func(_ string, count float64) bool { return count < 1 })
	if p.total < 1 {
		p.total = 0
	}
}

// share is the session's part of the newest requests, or 0 if it is not popular.
func (p *popularity) share(session string) float64 {
	if p.counts[session] < leastPopular {
		return 0
	}
	return p.counts[session] / p.total
}

// spread is over how many engines a session with a share of all load goes, so that none
// reaches the bound. Boxes that don't hear of each other fill an engine by chance: room is left
// for the standard deviation of a count that is as large as the bound.
func spread(share float64, total, members, bound int) int {
	room := max(1, float64(bound)-float64(total)/float64(members)-math.Sqrt(float64(bound)))
	needs := share * float64(total) / room
	if needs < leastSpread {
		return 1
	}
	return min(members, int(math.Ceil(needs)))
}

// startAt returns an order that begins with one of its first few, which the others of those follow.
func startAt(order []*Member, start, few int) []*Member {
	return slices.Concat(order[start:few], order[:start], order[few:])
}
