package balance

import (
	"maps"
	"slices"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/upstream"
)

// A path may be stalled: connections to the upstreams of a pool open, but nothing comes back. A slow pool looks the
// same to one box. So a box that gets no response from a pool for some time asks others how many of their attempts got
// one that began in the same span. If most did, the pool is stalled for this box, and other boxes serve its requests.

const (
	// attemptBucketMs and attemptBuckets are the resolution and the length of the counts of attempts.
	attemptBucketMs clock.Millis = 100
	attemptBuckets  int64        = 40
	// minSilentAttempts is how many attempts must have got no response before a box asks others about the pool.
	minSilentAttempts int = 3
	// maxStalledProbes is how many upstreams of a stalled pool are probed at once.
	maxStalledProbes int = 2
)

// silenceAgesMs are the ages of attempts from which on they should have got a response, for pools of different speeds.
func silenceAgesMs() []clock.Millis { return []clock.Millis{2000, 1000, maxUpstreamSilenceMs} }

// attemptBucket counts the attempts that began within attemptBucketMs.
type attemptBucket struct {
	number            int64
	started, answered int
	// upstream is the first upstream that got one, and several is set if others did, too.
	upstream string
	several  bool
	// fastestMs is the shortest time that one of the answered took to get its response.
	fastestMs clock.Millis
}

// attemptCounts counts the attempts at the upstreams of a pool by the time at which they began.
type attemptCounts struct {
	buckets [attemptBuckets]attemptBucket
	firstBytes
}

func (c *attemptCounts) bucket(at clock.Millis) *attemptBucket {
	number := int64(at / attemptBucketMs)
	b := &c.buckets[number%attemptBuckets]
	if b.number != number {
		*b = attemptBucket{number: number}
	}
	return b
}

func (c *attemptCounts) recordStart(id string, at clock.Millis) {
	b := c.bucket(at)
	if b.started == 0 {
		b.upstream = id
	}
	b.started++
	b.several = b.several || b.upstream != id
}

// recordAnswer counts the response to an attempt that began at a time, unless that is too long ago.
func (c *attemptCounts) recordAnswer(startedMs, now clock.Millis) {
	number := int64(startedMs / attemptBucketMs)
	b := &c.buckets[number%attemptBuckets]
	if b.number != number {
		return
	}
	if elapsed := now - startedMs; b.answered == 0 || elapsed < b.fastestMs {
		b.fastestMs = elapsed
	}
	b.answered++
}

// anyWithin reports whether a recent attempt got its response in less than a time.
func (c *attemptCounts) anyWithin(span, now clock.Millis) bool {
	oldest := now - clock.Millis(attemptBuckets-1)*attemptBucketMs
	return slices.ContainsFunc(c.buckets[:], func(b attemptBucket) bool {
		return b.answered > 0 && b.fastestMs < span && clock.Millis(b.number)*attemptBucketMs >= oldest
	})
}

// attemptSpan is the sum of the buckets of a span.
type attemptSpan struct {
	firstMs           clock.Millis
	started, answered int
	several           bool
}

// between sums the attempts of the buckets that lie within a span.
func (c *attemptCounts) between(from, to clock.Millis) attemptSpan {
	sum, upstream := attemptSpan{}, ""
	for _, b := range c.buckets {
		at := clock.Millis(b.number) * attemptBucketMs
		if b.started == 0 || at < from || at+attemptBucketMs > to {
			continue
		}
		if sum.started == 0 || at < sum.firstMs {
			sum.firstMs = at
		}
		sum.several = sum.several || b.several || upstream != "" && upstream != b.upstream
		upstream = b.upstream
		sum.started += b.started
		sum.answered += b.answered
	}
	return sum
}

// recordSent counts an attempt that is about to be sent.
func (l *Lease) recordSent(now clock.Millis) {
	if l.sentMs > 0 {
		return
	}
	l.sentMs = now
	l.silence.recordSent(now)
	l.recordPaceSend(now)
	l.manager.attemptsOf(l.Pool).recordStart(l.ID, now)
}

// RecordAnswered records that the attempt got a response, whatever its status.
func (l *Lease) RecordAnswered() {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	l.silence.recordAnswer()
	l.endUnanswered()
	if l.sentMs > 0 {
		counts, now := l.manager.attemptsOf(l.Pool), l.manager.monotonic()
		counts.recordAnswer(l.sentMs, now)
		counts.recordFirstByte(now-l.sentMs, now)
	}
}

func (m *Manager) attemptsOf(pool string) *attemptCounts {
	c := m.attempts[pool]
	if c == nil {
		c = &attemptCounts{}
		m.attempts[pool] = c
	}
	return c
}

// SilentPool is a pool that has not responded to any of this box's attempts of a span.
type SilentPool struct {
	Pool string
	// FromMs and ToMs are the ages of the oldest and of the newest attempts.
	FromMs, ToMs clock.Millis
	// Attempts is the number of attempts.
	Attempts int
}

// SilentPools returns the pools that may be stalled for this box, with the spans in which they have not responded. The
// span that ends first comes first.
func (m *Manager) SilentPools() map[string][]SilentPool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.monotonic()
	all := map[string][]SilentPool{}
	for pool, counts := range m.attempts {
		if _, stalled := m.stalledSinceMs[pool]; stalled || m.unreachable(m.pools[pool], now) {
			continue
		}
		if spans := m.silentSpans(pool, counts, now); len(spans) > 0 {
			all[pool] = spans
		}
	}
	return all
}

func (m *Manager) silentSpans(pool string, counts *attemptCounts, now clock.Millis) []SilentPool {
	oldest := now - clock.Millis(attemptBuckets-1)*attemptBucketMs
	if counts.between(oldest, now).started < minSilentAttempts {
		return nil
	}
	// An attempt within the bucket of the last response may have begun before it.
	since, spans := max(oldest, m.lastResponseMs(pool)+attemptBucketMs), []SilentPool{}
	for _, age := range silenceAgesMs() {
		sum := counts.between(since, now-age)
		if sum.answered == 0 && sum.started >= minSilentAttempts && (sum.several || len(m.pools[pool]) == 1) {
			spans = append(spans, SilentPool{Pool: pool, FromMs: now - sum.firstMs, ToMs: age, Attempts: sum.started})
		}
	}
	return spans
}

// lastResponseMs returns when this box last received something from an upstream of a pool, or found that the pool
// responds.
func (m *Manager) lastResponseMs(pool string) clock.Millis {
	last := m.respondingMs[pool]
	for _, member := range m.pools[pool] {
		last = max(last, clock.Millis(member.lastResponseMs.Load()))
	}
	return last
}

// AttemptsBetween returns how many attempts at a pool's upstreams began within a span of ages, and how many of them
// have got a response.
func (m *Manager) AttemptsBetween(pool namekey.Key, fromMs, toMs clock.Millis) (started, answered int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.monotonic()
	for name, counts := range m.attempts {
		if namekey.Of(name) == pool {
			sum := counts.between(now-fromMs, now-toMs)
			return sum.started, sum.answered
		}
	}
	return 0, 0
}

// SetStalled records that a pool is stalled for this box. Requests that may be retried leave it.
func (m *Manager) SetStalled(pool string) {
	for _, callback := range m.setStalled(pool) {
		callback()
	}
}

func (m *Manager) setStalled(pool string) (callbacks []func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stalledSinceMs[pool] = m.monotonic()
	delete(m.stalledTrials, pool)
	for _, member := range m.pools[pool] {
		member.client.CloseIdle()
	}
	for _, p := range m.paths {
		for lease, callback := range p.onPartition {
			if lease.Pool == pool {
				callbacks = append(callbacks, callback)
				delete(p.onPartition, lease)
			}
		}
	}
	return callbacks
}

// SetResponding records that a pool responds to this box.
func (m *Manager) SetResponding(pool string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.stalledSinceMs, pool)
	m.respondingMs[pool] = m.monotonic()
}

// ForgetSilence discards what this box knows about silent pools and upstreams. Call it when the process resumes after a
// suspension, in which it could receive nothing.
func (m *Manager) ForgetSilence() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.monotonic()
	for pool := range m.attempts {
		m.respondingMs[pool] = now
	}
	for _, member := range m.byID {
		member.silence.unanswered = 0
	}
}

// StalledPools returns the pools that are stalled for this box, and since when. A pool that has responded since is not.
func (m *Manager) StalledPools() map[string]clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.stalledSinceMs, func(pool string, since clock.Millis) bool {
		return m.lastResponseMs(pool) > since
	})
	return maps.Clone(m.stalledSinceMs)
}

// StalledTargets selects upstreams of a stalled pool to probe.
func (m *Manager) StalledTargets(pool string) []*upstream.Client {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.monotonic()
	members := slices.DeleteFunc(slices.Clone(m.pools[pool]), func(member *Member) bool {
		return member.unavailable(now)
	})
	targets := []*upstream.Client{}
	for range min(maxStalledProbes, len(members)) {
		at := m.random(len(members))
		targets = append(targets, members[at].client)
		members = slices.Delete(members, at, at+1)
	}
	return targets
}
