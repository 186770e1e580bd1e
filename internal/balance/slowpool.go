package balance

import "dooryard.example/dooryard/internal/clock"

// A pool is slow if most of its upstreams respond late, because more work arrives than they can do or because all of
// them work slowly. A request that waits there is not served sooner by another upstream.

const (
	// firstByteWeight makes the mean time to the first byte cover about the last 16 responses.
	firstByteWeight = 1.0 / 16
	// minSlowAttempts is how many attempts must be old enough to show that a pool is slow, and minSlowPercent how many
	// of them must have no response.
	minSlowAttempts = 5
	minSlowPercent  = 50
)

// recordFirstByte updates the mean time that a pool's upstreams take to respond.
func (c *attemptCounts) recordFirstByte(elapsed clock.Millis) {
	c.firstByteMs += firstByteWeight * (float64(elapsed) - c.firstByteMs)
}

// RespondsWithin reports whether an attempt at another upstream of the pool would likely get a response within a time.
// It says so unless the upstreams usually take longer than half of it, or have not responded in that time to most of
// the attempts of the last seconds.
func (m *Manager) RespondsWithin(pool string, within clock.Millis) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.attempts[pool]
	if c == nil {
		return true
	}
	half := within / 2 //nolint:mnd // Half of the time.
	if clock.Millis(c.firstByteMs) > half {
		return false
	}
	now := m.monotonic()
	sum := c.between(now-clock.Millis(attemptBuckets-1)*attemptBucketMs, now-half)
	unanswered := sum.started - sum.answered
	return sum.started < minSlowAttempts || percent*unanswered < minSlowPercent*sum.started
}
