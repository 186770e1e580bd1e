package balance

import (
	"slices"

	"dooryard.example/dooryard/internal/clock"
)

// Spans after which a refused caller comes back.
const (
	// showUpMs is about the time in which a new upstream shows up in the registry, for a
	// pool that has none.
	showUpMs clock.Millis = 250
	// leastComeBackMs is about the time that a short request takes: an upstream that is full
	// has hardly any place before, and a caller that is refused twice is worse off.
	leastComeBackMs clock.Millis = 60
	// leastEndsGapMs and mostEndsGapMs bound what is taken for the time between the ends of
	// two requests of a pool: a box that has seen few ends knows little.
	leastEndsGapMs clock.Millis = 2
	mostEndsGapMs  clock.Millis = 250
	// firstEndsGapMs is taken for it before any end was seen.
	firstEndsGapMs clock.Millis = 25
	// endsWeight makes the usual gap follow about the last 16 ends.
	endsWeight = 1.0 / 16
	// mostComeBackMs is the longest span that a caller is told where nothing rests: later, what
	// is known now says nothing.
	mostComeBackMs = 5 * clock.Second
	// mostRestToldMs bounds what callers are told of a rest. Meanwhile new upstreams may show
	// up, and a refusal costs a caller some milliseconds a minute.
	mostRestToldMs = 60 * clock.Second
	// maxReturning bounds the callers that are remembered.
	maxReturning = 256
)

// returns is what a pool's refused callers were told.
type returns struct {
	// lastEndMs is when a request of the pool last ended here, gapMs the usual time
	// between two ends: as often a place is free.
	lastEndMs clock.Millis
	gapMs     float64
	// told are the callers that will be back.
	told []returning
}

// returning is a caller that was told when to come back.
type returning struct {
	atMs     clock.Millis
	priority int
}

func (m *Manager) returnsTo(pool string) *returns {
	r := m.returning[pool]
	if r == nil {
		r = &returns{gapMs: float64(firstEndsGapMs)}
		m.returning[pool] = r
	}
	return r
}

// ended notes the end of a request.
func (r *returns) ended(now clock.Millis) {
	gap := min(max(leastEndsGapMs, now-r.lastEndMs), mostEndsGapMs)
	r.lastEndMs = now
	r.gapMs += endsWeight * (float64(gap) - r.gapMs)
}

// place gives a caller an instant of its own after all that are as urgent or more so, and
// returns the span until then.
func (r *returns) place(now, from clock.Millis, priority int) clock.Millis {
	r.told = slices.DeleteFunc(r.told, func(other returning) bool { return other.atMs <= now })
	ahead := 0
	for _, other := range r.told {
		if other.priority <= priority {
			ahead++
		}
	}
	// Behind the end of a rest callers come back one after the other, too.
	span := from + min(clock.Millis(r.gapMs*float64(ahead+1)), mostComeBackMs-min(from, showUpMs))
	if len(r.told) < maxReturning {
		r.told = append(r.told, returning{atMs: now + span, priority: priority})
	}
	return span
}

// ComeBackMs is after which span a caller that is refused now should come back: when the
// first upstream of the pool may take work again, or when a place becomes free, each caller
// at a time of its own, those of a lower priority number first. Of 50 callers that are
// refused together, where requests end each 10 ms, two at most come back within any 20 ms.
func (m *Manager) ComeBackMs(pool string, priority int) clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.steady()
	from := max(leastComeBackMs, m.takesWorkIn(pool, now))
	return m.returnsTo(pool).place(now, from, priority)
}

// takesWorkIn is the span until an upstream of the pool may take work: one that rests doesn't
// before its rest ends, and no other can be told to come back sooner for it.
func (m *Manager) takesWorkIn(pool string, now clock.Millis) clock.Millis {
	span, found := showUpMs, false
	for _, member := range m.pools[pool] {
		if member.leaves() {
			continue
		}
		own := m.memberTakesWorkIn(member, now)
		if !found || own < span {
			span, found = own, true
		}
	}
	return min(span, mostRestToldMs)
}

// memberTakesWorkIn is the span until an upstream that stays may take work.
func (m *Manager) memberTakesWorkIn(member *Member, now clock.Millis) clock.Millis {
	rest := max(0, member.said.restUntilMs-now)
	d := m.pathTo(member.FailureDomain)
	switch {
	case d.cut:
		return max(rest, min(showUpMs, max(0, d.probeEndedMs+probeAgainMs-now)))
	case member.health.Ejected(now):
		return max(rest, min(showUpMs, member.health.UntilMs()-now))
	default:
		return rest
	}
}
