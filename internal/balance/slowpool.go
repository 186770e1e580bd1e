package balance

import "dooryard.example/dooryard/internal/clock"

// A pool is slow if most of its upstreams respond late, because more work arrives than they can do or because all of
// them work slowly. A retry at another upstream then doesn't serve a request sooner, and adds work.

const (
	// minSlowAttempts is the least number of attempts in a span that show that a pool is slow. One or two may be
	// unanswered by chance.
	minSlowAttempts = 3
	// minSlowPercent is the least percentage of them that have no response.
	minSlowPercent = 50
	// firstByteWeight is the weight of a response in the mean time to the first byte, which covers about the last 16.
	firstByteWeight = 1.0 / 16
	// firstByteTTLMs is how long the mean is used after the last response, as long as attempts are counted. Later, it
	// says nothing of the current load.
	firstByteTTLMs = 4 * clock.Second
)

// firstBytes is the moving mean of the time that a pool's upstreams take to respond.
type firstBytes struct {
	meanMs float64
	// atMs is when the last response began.
	atMs clock.Millis
}

func (f *firstBytes) recordFirstByte(elapsed, now clock.Millis) {
	f.meanMs += firstByteWeight * (float64(elapsed) - f.meanMs)
	f.atMs = now
}

// meanReaches reports whether recent responses took at least the time on average.
func (f *firstBytes) meanReaches(within, now clock.Millis) bool {
	return now-f.atMs < firstByteTTLMs && clock.Millis(f.meanMs) >= within
}

// RespondsWithin reports whether the upstreams of a pool usually respond to this box's attempts within a time. It is
// false if recent responses took longer on average, or if most attempts of one of two spans, at several upstreams, have
// no response. Both spans end half of the time ago. One begins one and a half times the time ago, and the other, for
// pools with few requests, with the oldest counted attempts, almost 4 s ago.
func (m *Manager) RespondsWithin(pool string, within clock.Millis) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.attempts[pool]
	if c == nil {
		return true
	}
	now, half := m.monotonic(), within/2 //nolint:mnd // Half of the time.
	oldest := now - clock.Millis(attemptBuckets-1)*attemptBucketMs
	return !c.meanReaches(within, now) && !c.between(now-within-half, now-half).mostlyUnanswered() &&
		!c.between(oldest, now-half).mostlyUnanswered()
}

// NoneWithin reports whether the upstreams of a pool recently took at least a time for each response to this box's
// attempts. The mean alone would be raised by a few responses that take long.
func (m *Manager) NoneWithin(pool string, span clock.Millis) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, now := m.attempts[pool], m.monotonic()
	return c != nil && c.meanReaches(span, now) && !c.anyWithin(span, now)
}

// mostlyUnanswered reports whether most of enough attempts at several upstreams have no response.
func (s attemptSpan) mostlyUnanswered() bool {
	unanswered := s.started - s.answered
	return s.started >= minSlowAttempts && s.several && percent*unanswered >= minSlowPercent*s.started
}
