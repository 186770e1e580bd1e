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

const (
	// rateWeight makes estimates follow from the mean rate of ends alone if the times of requests deviate by a quarter or
	// more. Then the order in which requests end is hardly that of their starts.
	rateWeight = 4
	// deviationMargin is the margin of a wait at the ask for the deviation of the times of requests. With less, up to
	// half of the refusals came after a wait.
	deviationMargin = 2
)

// maxInUse returns how many requests the upstream may hold with this one, or 0 if there is no limit. The load bound
// counts for requests that wait: others are denied at once if it is reached.
func (u *upstream) maxInUse(r *request) int {
	if r.ask.MayQueue && r.ask.Bound > 0 && (u.slots == 0 || r.ask.Bound < u.slots) {
		return r.ask.Bound
	}
	return u.slots
}

// lacking returns how many slots and tokens must become free for the requests ahead and this one.
func (u *upstream) lacking(r *request, ahead load) (slots, tokens float64) {
	if limit := u.maxInUse(r); limit > 0 {
		slots = max(0, ahead.requests+1-float64(limit-u.inUse))
	}
	if u.memory.capacity > 0 {
		tokens = max(0, ahead.memory+float64(u.memory.need(r))-u.memory.free())
	}
	return slots, tokens
}

// capacityWaitMs returns the expected time until slots and memory suffice for the requests ahead and this one. If
// requests run for equal times, it follows from the expected ends of those that were granted: where few large requests
// share the memory, a mean rate is off by seconds. At the ask, it allows for the deviation of the times and for others
// that take the place of more urgent requests.
func (u *upstream) capacityWaitMs(r *request, ahead load, atAsk bool, now clock.Millis) float64 {
	slots, tokens := u.lacking(r, ahead)
	if slots == 0 && tokens == 0 {
		return 0
	}
	deviation := u.pool.holds.deviation(r.ask.Urgency)
	weight := min(1, rateWeight*deviation)
	ends, rate := u.waitByEndsMs(r, slots, tokens, atAsk, now), u.waitByRateMs(slots, tokens)
	ms := (1-weight)*ends + weight*rate
	if atAsk {
		ms *= 1 + deviationMargin*deviation
	}
	return ms
}

// waitByEndsMs returns the expected time until so many slots and tokens become free, from the expected ends of
// requests.
func (u *upstream) waitByEndsMs(r *request, slots, tokens float64, atAsk bool, now clock.Millis) float64 {
	lastMs := 0.0
	for _, other := range u.holders {
		if atAsk && other.ask.Urgency < r.ask.Urgency {
			continue
		}
		slots--
		tokens -= u.memory.share(other)
		lastMs = max(lastMs, float64(other.expectedEnd(now)-now))
		if slots <= 0 && tokens <= 0 {
			return lastMs
		}
	}
	return lastMs + u.turnoverMs(r, slots, tokens)
}

// waitByRateMs returns the same from the mean rate at which the requests there end.
func (u *upstream) waitByRateMs(slots, tokens float64) float64 {
	slotsPerMs, tokensPerMs := 0.0, 0.0
	for _, other := range u.holders {
		if ms := u.pool.holds.ms(other.ask.Urgency); ms > 0 {
			slotsPerMs += 1 / ms
			tokensPerMs += u.memory.share(other) / ms
		}
	}
	if slotsPerMs == 0 {
		return 0
	}
	return max(0, slots/slotsPerMs, tokens/max(tokensPerMs, slotsPerMs))
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
