package balance

import "dooryard.example/dooryard/internal/clock"

// A pool is slow if most of its upstreams respond late, because more work arrives than they can do or because all of
// them work slowly. A request that waits there is not served sooner by another upstream.

const (
	// minSlowAttempts is how many attempts must be old enough to show that a pool is slow, and minSlowPercent how many
	// of them must have no response.
	minSlowAttempts = 3
	minSlowPercent  = 50
	// firstByteWeight makes the mean time to the first byte cover about the last 16 responses, and firstByteTTLMs is how
	// long it is used after the last one.
	firstByteWeight = 1.0 / 16
	firstByteTTLMs  = 4 * clock.Second
)

// firstBytes is the mean time that a pool's upstreams take to respond.
type firstBytes struct {
	meanMs float64
	atMs   clock.Millis
}

func (f *firstBytes) recordFirstByte(elapsed, now clock.Millis) {
	f.meanMs += firstByteWeight * (float64(elapsed) - f.meanMs)
	f.atMs = now
}

// usuallyAfter reports whether the last responses came later than a time on average.
func (f *firstBytes) usuallyAfter(within, now clock.Millis) bool {
	return now-f.atMs < firstByteTTLMs && clock.Millis(f.meanMs) >= within
}

// RespondsWithin reports whether the upstreams of a pool respond to this box's attempts within a time. It says so
// unless the last responses came later, or most attempts at several upstreams have no response of those that began
// more than half of that time ago, either up to one and a half times ago or up to some seconds ago, where fewer
// requests come.
func (m *Manager) RespondsWithin(pool string, within clock.Millis) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.attempts[pool]
	if c == nil {
		return true
	}
	now, half := m.monotonic(), within/2 //nolint:mnd // Half of the time.
	oldest := now - clock.Millis(attemptBuckets-1)*attemptBucketMs
	return !c.usuallyAfter(within, now) && !c.between(now-within-half, now-half).mostlyUnanswered() &&
		!c.between(oldest, now-half).mostlyUnanswered()
}

// mostlyUnanswered reports whether most of enough attempts at several upstreams have no response.
func (s attemptSpan) mostlyUnanswered() bool {
	unanswered := s.started - s.answered
	return s.started >= minSlowAttempts && s.several && percent*unanswered >= minSlowPercent*s.started
}
