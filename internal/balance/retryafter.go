package balance

import (
	"slices"

	"dooryard.example/dooryard/internal/clock"
)

// Bounds and estimates for the delay after which a refused caller should retry.
const (
	// discoveryMs approximates how long a new upstream takes to appear in the registry, for a pool
	// that has none.
	discoveryMs clock.Millis = 250
	// minRetryAfterMs is the minimum delay, about the duration of a short request. A full upstream rarely
	// frees capacity sooner, and a second refusal is worse for a caller than the wait.
	minRetryAfterMs clock.Millis = 60
	// minCompletionGapMs and maxCompletionGapMs clamp the measured gap between two completions of
	// requests in a pool, because a box that has seen few completions estimates it poorly.
	minCompletionGapMs clock.Millis = 2
	maxCompletionGapMs clock.Millis = 250
	// initialCompletionGapMs is the estimated gap before any completion was seen.
	initialCompletionGapMs clock.Millis = 25
	// completionGapWeight makes the average gap cover about the last 16 completions.
	completionGapWeight = 1.0 / 16
	// maxRetryAfterMs is the maximum delay if no upstream is backing off: the current state does not
	// predict anything beyond it.
	maxRetryAfterMs = 5 * clock.Second
	// maxAvailabilityDelayMs caps how much of an upstream's backoff is passed on to callers. New
	// upstreams may appear in the meantime, and one refused retry a minute costs a caller only some
	// milliseconds.
	maxAvailabilityDelayMs = 60 * clock.Second
	// evacuationRetryMs is the delay if all upstreams are evacuated. The end of an evacuation is not known
	// in advance, and most last for seconds or longer.
	evacuationRetryMs = clock.Second
	// maxScheduledRetries bounds the number of callers that are remembered.
	maxScheduledRetries = 256
)

// retrySchedule spreads the retries of a pool's refused callers over time.
type retrySchedule struct {
	// lastCompletionMs is when a request of the pool last completed here. completionGapMs is the
	// average time between two completions, which is how often capacity becomes free.
	lastCompletionMs clock.Millis
	completionGapMs  float64
	// scheduled are the callers whose retries are still to come.
	scheduled []scheduledRetry
}

// scheduledRetry is a caller with the time at which it should retry.
type scheduledRetry struct {
	dueMs    clock.Millis
	priority int
}

func (m *Manager) retryScheduleFor(pool string) *retrySchedule {
	r := m.retries[pool]
	if r == nil {
		r = &retrySchedule{completionGapMs: float64(initialCompletionGapMs)}
		m.retries[pool] = r
	}
	return r
}

// recordCompletion updates the average gap with a completed request.
func (r *retrySchedule) recordCompletion(now clock.Millis) {
	gap := min(max(minCompletionGapMs, now-r.lastCompletionMs), maxCompletionGapMs)
	r.lastCompletionMs = now
	r.completionGapMs += completionGapWeight * (float64(gap) - r.completionGapMs)
}

// schedule assigns the caller a retry time of its own, after all callers that are as urgent or more
// urgent (an equal or lower priority number), and returns the delay until then.
func (r *retrySchedule) schedule(now, earliest clock.Millis, priority int) clock.Millis {
	r.scheduled = slices.DeleteFunc(r.scheduled, func(other scheduledRetry) bool { return other.dueMs <= now })
	ahead := 0
	for _, other := range r.scheduled {
		if other.priority <= priority {
			ahead++
		}
	}
	// The spread is added to the earliest time, so that callers don't all retry when a backoff ends.
	delay := earliest + min(clock.Millis(r.completionGapMs*float64(ahead+1)), maxRetryAfterMs-min(earliest, discoveryMs))
	if len(r.scheduled) < maxScheduledRetries {
		r.scheduled = append(r.scheduled, scheduledRetry{dueMs: now + delay, priority: priority})
	}
	return delay
}

// RetryAfterMs returns how long a caller that is refused now should wait before it retries: until the
// first upstream of the pool may be available, or until capacity becomes free. Each caller gets a
// time of its own, lower priority numbers first. If requests complete every 10 ms, at most two of
// 50 callers that are refused together retry within any 20 ms.
func (m *Manager) RetryAfterMs(pool string, priority int) clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.monotonic()
	earliest := max(minRetryAfterMs, m.availableIn(pool, now))
	return m.retryScheduleFor(pool).schedule(now, earliest, priority)
}

// returnsPerObjective is how often a caller could return within its latency objective.
const returnsPerObjective = 8

// RetryWithinObjectiveMs returns how long a caller should wait whose request would be late now, because all upstreams
// have too long queues, but which can still be in time when it returns: a part of its latency objective, varied by a
// quarter so that callers that were refused together return apart.
func (m *Manager) RetryWithinObjectiveMs(objective clock.Millis) clock.Millis {
	span := objective / returnsPerObjective
	return max(1, span-span/4+clock.Millis(m.random(int(max(1, span/2))))) //nolint:mnd // A quarter either way.
}

// availableIn returns the delay until the first upstream of the pool may accept requests. The delay of
// an upstream that is backing off is at least the rest of its backoff. If all upstreams are draining
// or the pool has none, the delay is discoveryMs.
func (m *Manager) availableIn(pool string, now clock.Millis) clock.Millis {
	delay, found := discoveryMs, false
	for _, member := range m.pools[pool] {
		if member.draining() {
			continue
		}
		memberDelay := m.memberAvailableIn(member, now)
		if !found || memberDelay < delay {
			delay, found = memberDelay, true
		}
	}
	return min(delay, maxAvailabilityDelayMs)
}

// memberAvailableIn returns the delay until an upstream that is not draining may accept requests.
func (m *Manager) memberAvailableIn(member *Member, now clock.Millis) clock.Millis {
	backoff := max(0, member.signals.backoffUntilMs-now, m.coldDelayMs(member, now))
	p := m.pathTo(member.FailureDomain)
	switch {
	case member.evacuated:
		return max(backoff, evacuationRetryMs)
	case p.partitioned:
		return max(backoff, min(discoveryMs, max(0, p.probeEndedMs+probeIntervalMs-now)))
	case member.health.Ejected(now):
		return max(backoff, min(discoveryMs, member.health.UntilMs()-now))
	default:
		return backoff
	}
}
