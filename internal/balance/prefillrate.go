package balance

import (
	"dooryard.example/dooryard/internal/clock"
)

// RecordFirstEvent records that the first event, or the first byte of the body, of a successful response has arrived,
// and informs the engine's owner. Only the first call has an effect.
func (l *Lease) RecordFirstEvent() {
	if l.admitted == nil || l.admitted.prefillEnded.Load() {
		return
	}
	l.manager.mu.Lock()
	first := l.endPrefill(true)
	l.manager.mu.Unlock()
	if first {
		l.admitted.started()
	}
}

// endPrefill records that the prefill of an admitted prompt has ended, and reports whether it had not ended before.
// Only the duration of a finished prefill is learnt.
func (l *Lease) endPrefill(finished bool) bool {
	a := l.admitted
	if a == nil || a.prefillEnded.Swap(true) {
		return false
	}
	l.unstartedTokens -= a.prefillTokens
	if finished {
		l.manager.prefillRateOf(l.Pool).record(l.manager.monotonic()-a.sentMs, a.aheadTokens)
	}
	return true
}

// estimateStartMs estimates the time to the first event of a prompt at an engine by the prompts of this box there,
// scaled to all boxes. It is 0 while the time that prefills take is unknown: no prompt is refused on this ground then.
func (m *Manager) estimateStartMs(member *Member, prefillTokens int) clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	rate := m.prefillRates[member.Pool]
	if !rate.known() {
		return 0
	}
	return rate.forTokens(float64(member.unstartedTokens)*m.boxesPerReport + float64(prefillTokens))
}

// prefillRateOf returns the rate of a pool, which is created if there is none.
func (m *Manager) prefillRateOf(pool string) *prefillRate {
	rate := m.prefillRates[pool]
	if rate == nil {
		rate = &prefillRate{}
		m.prefillRates[pool] = rate
	}
	return rate
}

const (
	// prefillDecay is the factor by which each prefill reduces the weight of those before it. The sums cover about the
	// last 32 prefills, as many as an owner must have seen before it denies anything on grounds of time.
	prefillDecay = 1 - 1.0/32
	// minPrefills is the number of prefills from which on the rate is used. A rate from fewer could, by chance, send
	// prompts away from the engines that cache them, or refuse them.
	minPrefills = 8
)

// prefillRate is the mean time that prefills take per token: the quotient of two sums that are weighted by age. Long
// prompts count more in it than short ones, whose time depends less on their length.
type prefillRate struct {
	tookMs, tokens float64
	samples        int
}

// record adds a prefill of some tokens, the tokens that were prefilled before it at the engine included.
func (r *prefillRate) record(tookMs clock.Millis, tokens float64) {
	if tokens <= 0 {
		return
	}
	r.samples++
	r.tookMs = prefillDecay*r.tookMs + float64(tookMs)
	r.tokens = prefillDecay*r.tokens + tokens
}

// known reports whether enough prefills were seen. A nil rate has seen none.
func (r *prefillRate) known() bool { return r != nil && r.samples >= minPrefills && r.tokens > 0 }

// forTokens returns the expected time to prefill some tokens. The rate must be known.
func (r *prefillRate) forTokens(tokens float64) clock.Millis {
	return clock.Millis(r.tookMs / r.tokens * tokens)
}
