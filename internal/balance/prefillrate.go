package balance

import (
	"dooryard.example/dooryard/internal/clock"
)

// RecordFirstEvent records that the first event, or the first byte of the body, of a successful response has come.
// Only the first call has an effect.
func (l *Lease) RecordFirstEvent() {
	if l.admitted == nil || l.admitted.done.Load() {
		return
	}
	l.manager.mu.Lock()
	first := l.endPrefill(true)
	l.manager.mu.Unlock()
	if first {
		l.admitted.started()
	}
}

// endPrefill ends the prefill of an admitted prompt, and reports whether it had not ended before. If it has come to its
// end, its duration is learnt.
func (l *Lease) endPrefill(finished bool) bool {
	a := l.admitted
	if a == nil || a.done.Swap(true) {
		return false
	}
	l.unstartedTokens -= a.prefillTokens
	if finished {
		l.manager.prefillRateOf(l.Pool).record(l.manager.monotonic()-a.sentMs, a.aheadTokens)
	}
	return true
}

// estimateStartMs estimates the time to the first event of a prompt at an engine by the prompts of this box there. It
// is 0 while nothing is known of the time that prefills take.
func (m *Manager) estimateStartMs(member *Member, prefillTokens int) clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	rate := m.prefillRates[member.Pool]
	if !rate.known() {
		return 0
	}
	return rate.forTokens(float64(member.unstartedTokens)*m.boxesPerReport + float64(prefillTokens))
}

func (m *Manager) prefillRateOf(pool string) *prefillRate {
	rate := m.prefillRates[pool]
	if rate == nil {
		rate = &prefillRate{}
		m.prefillRates[pool] = rate
	}
	return rate
}

const (
	// prefillDecay makes sums cover about the last 32 prefills.
	prefillDecay = 1 - 1.0/32
	// minPrefills is the number of prefills after which their time is known.
	minPrefills = 8
)

// prefillRate is the time that prefills take by the number of tokens. The sums are weighted by age, and long prompts
// count more than short ones, whose time depends less on their length.
type prefillRate struct {
	tookMs, tokens float64
	samples        int
}

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

func (r *prefillRate) forTokens(tokens float64) clock.Millis {
	return clock.Millis(r.tookMs / r.tokens * tokens)
}
