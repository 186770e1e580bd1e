package balance

import (
	"errors"
	"math"

	"dooryard.example/dooryard/internal/clock"
)

const (
	// denialWindowMs is the time constant with which decisions on prompts are forgotten.
	denialWindowMs = 2 * clock.Second
	// priorDecisions is the number of admitted prompts that are assumed beside those seen, so that a single denial says
	// little.
	priorDecisions = 8
	// maxDenialFactor bounds by how much the share of denied prompts lengthens a delay.
	maxDenialFactor = 8
	// patienceDivisor bounds a longer delay to a part of the time that the caller has left, so that it can still be
	// served.
	patienceDivisor = 3
)

// admissionShare is the share of a pool's recent prompts that were denied.
type admissionShare struct {
	denied, decided float64
	atMs            clock.Millis
}

func (s *admissionShare) decay(now clock.Millis) {
	factor := math.Exp(-float64(now-s.atMs) / float64(denialWindowMs))
	s.denied, s.decided, s.atMs = s.denied*factor, s.decided*factor, now
}

// factor returns how many returns a denied caller would need on average until it is admitted, by the decisions on
// others.
func (s *admissionShare) factor(now clock.Millis) float64 {
	s.decay(now)
	others := max(0, s.decided-1)
	return min(maxDenialFactor, (others+priorDecisions)/(s.decided-s.denied+priorDecisions))
}

func (m *Manager) admissionShareOf(pool string) *admissionShare {
	s := m.admissionShares[pool]
	if s == nil {
		s = &admissionShare{}
		m.admissionShares[pool] = s
	}
	return s
}

// recordAdmission counts the decision on a prompt, unless it is sent whatever the load is.
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
// until an owner expects to grant a prompt like it, longer while many prompts are denied, since others come meanwhile
// and a caller that is refused again has waited in vain. It varies by a quarter so that callers that were refused
// together return apart, and is 0 if the caller would then have no time to be served.
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
