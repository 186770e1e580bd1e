package pace

import (
	"math"

	"dooryard.example/dooryard/internal/clock"
)

// Unanswered is a request that was sent to an upstream and has got no first byte yet. If it is overdue, its upstream is
// slow, which is known from its response only when a short spell is over.
type Unanswered struct {
	// Tokens is the number of tokens that the request prefills.
	Tokens int
	// Ahead is the number of this box's requests ahead of it, and AheadTokens what they prefill.
	Ahead, AheadTokens int
	// Others is the number of further requests that wait there. Each counts with the mean time of the pool.
	Others int
	// StartInMs is in how long the upstream's owner, who knows the requests of all boxes, expected the prefill to end, or
	// 0 if no owner was asked.
	StartInMs clock.Millis
	// Percent is the pace of the upstream that was known when the request was sent.
	Percent int
}

// expectMs returns the expected time to the first byte at the usual pace, in milliseconds.
func (s *Times) expectMs(u Unanswered) (ms float64, known bool) {
	alone, known := s.Expect(u.Tokens, 0)
	behind, _ := s.Expect(u.Tokens+u.AheadTokens, u.Ahead)
	perToken, _ := s.PerToken()
	queueMs := max(0, float64(u.StartInMs)-perToken*float64(u.Tokens))
	return max(behind*s.median+float64(u.Others)*s.Mean(), alone*s.median+queueMs), known
}

// OverdueMs returns after how long without a first byte the request is overdue. It allows for the pace that was known,
// and for how much the times of the pool differ anyway, so that a loaded upstream is not taken for a slow one.
func (s *Times) OverdueMs(u Unanswered) (ms clock.Millis, known bool) {
	expected, known := s.expectMs(u)
	if !known {
		return 0, false
	}
	expected *= float64(max(UsualPercent, u.Percent)) / UsualPercent
	return clock.Millis(math.Ceil(max(expected*s.slowRatio(), expected+minExcessMs))), true
}

// wholeFactor is the assumed ratio of the whole time of an overdue request to the time that it has waited. That is a
// lower bound, at which requests are expected in time at many slow upstreams and stay there: with three of twelve
// upstreams four times slower that don't say so, 0.972 of the requests were in time with it, 0.976 with twice as much.
const wholeFactor = 2

// OverduePercent returns the pace of an upstream at which a request has waited for a time, as far as this shows it. It
// is not known while the request is not overdue.
func (s *Times) OverduePercent(u Unanswered, waited clock.Millis) (percent int, overdue bool) {
	overdueMs, known := s.OverdueMs(u)
	if !known || waited <= overdueMs {
		return 0, false
	}
	expected, _ := s.expectMs(u)
	percent = int(math.Min(MaxPercent, wholeFactor*float64(waited)/expected*UsualPercent))
	return percent, percent > SlowPercent
}
