package admission

import (
	"cmp"
	"slices"

	"dooryard.example/dooryard/internal/clock"
)

// holders are the granted requests, which hold slots and memory, in the order in which they are expected to end.
type holders []*request

func (s *holders) add(r *request) {
	i, _ := slices.BinarySearchFunc(*s, r, compareEnds)
	*s = slices.Insert(*s, i, r)
}

func (s *holders) remove(r *request) {
	if i := slices.Index(*s, r); i >= 0 {
		*s = slices.Delete(*s, i, i+1)
	}
}

func compareEnds(a, b *request) int { return cmp.Compare(a.endMs, b.endMs) }

// expectedEnd returns when a granted request is expected to end. One that is overdue is expected to take as long again
// as it is overdue.
func (r *request) expectedEnd(now clock.Millis) clock.Millis {
	if r.endMs < now {
		return now + (now - r.endMs)
	}
	return r.endMs
}

// hold records that a granted request is expected to start at an instant, and then to run for the usual time.
func (u *upstream) hold(r *request, startMs clock.Millis) {
	u.holders.remove(r)
	r.endMs = startMs + clock.Millis(u.pool.holds.ms(r.ask.Urgency))
	u.holders.add(r)
}

// run moves a request to the running ones.
func (u *upstream) run(r *request, now clock.Millis) {
	r.phase, r.startedMs = running, now
	u.hold(r, now)
}

// roomMs returns the expected time until slots and memory suffice for the requests ahead and this one. It follows from
// the expected ends of those that were granted: where few large requests share the memory, a mean rate is off by seconds.
func (u *upstream) roomMs(r *request, ahead load, now clock.Millis) float64 {
	slots, tokens := 0.0, 0.0
	if u.slots > 0 {
		slots = ahead.requests + 1 - float64(u.slots-u.inUse)
	}
	if u.memory.capacity > 0 {
		tokens = ahead.memory + float64(u.memory.need(r)) - u.memory.free()
	}
	if slots <= 0 && tokens <= 0 {
		return 0
	}
	lastMs := 0.0
	for _, other := range u.holders {
		slots--
		tokens -= u.memory.share(other)
		lastMs = max(lastMs, float64(other.expectedEnd(now)-now))
		if slots <= 0 && tokens <= 0 {
			return lastMs
		}
	}
	return lastMs + u.turnoverMs(r, slots, tokens)
}

// turnoverMs returns the expected time until requests that have not been granted yet have ended, so many or of so many
// tokens.
func (u *upstream) turnoverMs(r *request, slots, tokens float64) float64 {
	rounds := 0.0
	if u.slots > 0 {
		rounds = max(0, slots) / float64(u.slots)
	}
	if u.memory.capacity > 0 {
		rounds = max(rounds, tokens/float64(u.memory.capacity))
	}
	return rounds * u.pool.holds.ms(r.ask.Urgency)
}
