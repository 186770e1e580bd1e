package balance

import (
	"errors"
	"math"

	"dooryard.example/dooryard/internal/clock"
)

const (
	// denialWindowMs is the time constant of the exponential decay of past decisions on prompts. A longer one would keep
	// delays long after an overload has ended.
	denialWindowMs = 2 * clock.Second
	// priorDecisions is the number of admitted prompts that are assumed in addition to those seen. Without it, the first
	// denial at a box turned a drain of 400 ms into a delay of 751 ms.
	priorDecisions = 8
	// maxDenialFactor is the largest factor by which the share of denied prompts lengthens a delay.
	maxDenialFactor = 8
	// patienceDivisor limits a lengthened delay to a third of the time that the caller has left, so that it can still be
	// served when it returns.
	patienceDivisor = 3
)

// admissionShare counts the recent prompts of a pool, weighted by age.
type admissionShare struct {
	denied, decided float64
	atMs            clock.Millis
}

// decay reduces the weight of the decisions so far by the time since the last call.
func (s *admissionShare) decay(now clock.Millis) {
	factor := math.Exp(-float64(now-s.atMs) / float64(denialWindowMs))
	s.denied, s.decided, s.atMs = s.denied*factor, s.decided*factor, now
}

// factor returns the mean number of attempts until a prompt is admitted, the inverse of the share that is admitted. The
// latest decision, a denial, does not count.
func (s *admissionShare) factor(now clock.Millis) float64 {
	s.decay(now)
	others := max(0, s.decided-1)
	return min(maxDenialFactor, (others+priorDecisions)/(s.decided-s.denied+priorDecisions))
}

// admissionShareOf returns the counts of a pool, which are created if there are none.
func (m *Manager) admissionShareOf(pool string) *admissionShare {
	s := m.admissionShares[pool]
	if s == nil {
		s = &admissionShare{}
		m.admissionShares[pool] = s
	}
	return s
}

// recordAdmission counts the decision on a prompt, unless it is sent regardless of the load.
func (m *Manager) recordAdmission(request PickRequest, err error) {
	denied := errors.Is(err, ErrOverloaded)
	if request.forced() || err != nil && !denied {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.admissionShareOf(request.Pool)
	s.decay(m.monotonic())
	s.decided++
	if denied {
		s.denied++
	}
}

// RetryAfterOverload returns how long a caller whose prompt no engine can serve in time should wait before it returns:
// until an owner expects to grant a prompt like it, and longer while many prompts are denied, since the owner's time
// leaves out prompts that arrive in the meantime. The delay is at least minRetryAfterMs, and varies by a quarter either
// way so that callers that were refused together return apart. It is 0 if the caller would have no time to be served.
func (m *Manager) RetryAfterOverload(e *OverloadedError, pool string, remainingMs clock.Millis) clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	least := e.DrainMs()
	longer := clock.Millis(float64(max(minRetryAfterMs, least)) * m.admissionShareOf(pool).factor(m.monotonic()))
	span := max(least, min(longer, remainingMs/patienceDivisor))
	span += clock.Millis(m.random(int(span/2)+1)) - span/4 //nolint:mnd // A quarter either way.
	span = max(minRetryAfterMs, span)
	if span+e.FirstEventMs > remainingMs {
		return 0
	}
	return span
}
