// Package retry limits retries by a budget that first attempts replenish.
package retry

import (
	"math"
	"sync"

	"dooryard.example/dooryard/internal/clock"
)

// Budget limits retries to a percentage of first attempts, plus a small reserve so that a box with
// little traffic can retry at all. It is safe for concurrent use.
type Budget struct {
	// percent is what each first attempt adds to the balance, in percent of one retry.
	percent int
	// reserve is the maximum balance in retries, without the burst allowance.
	reserve int
	// burstPercent is what each first attempt in the last window adds to the maximum balance, in
	// percent of one retry.
	burstPercent int
	windowMs     clock.Millis
	monotonicNow func() clock.Millis

	mu      sync.Mutex
	balance int
	// recent is an exponentially decayed count of the first attempts in the last window, as of
	// updatedMs.
	recent    float64
	updatedMs clock.Millis
}

const (
	retryCost = 100
	// reserve is the default of a budget's reserve. It allows retries of a short burst of failures,
	// while lasting failures are limited to the percentage of first attempts.
	reserve = 20
)

// Option configures a new Budget.
type Option func(*Budget)

// WithReserve sets the maximum balance in retries, without the burst allowance.
func WithReserve(retries int) Option { return func(b *Budget) { b.reserve = retries } }

// WithBurst raises the maximum balance above the reserve by a percentage of the first attempts in
// the last window, so that requests that fail together can be retried together. Over one window,
// retries stay below the reserve plus the sum of the budget's percentage and the burst percentage of
// the window's first attempts.
func WithBurst(percent int, window clock.Millis, monotonicNow func() clock.Millis) Option {
	return func(b *Budget) { b.burstPercent, b.windowMs, b.monotonicNow = percent, window, monotonicNow }
}

// NewBudget returns a budget with a full balance that limits retries to a percentage of first
// attempts.
func NewBudget(attemptPercent int, options ...Option) *Budget {
	b := &Budget{percent: attemptPercent, reserve: reserve}
	for _, option := range options {
		option(b)
	}
	b.balance = b.reserve * retryCost
	return b
}

// RecordAttempt records a first attempt, which adds to the balance.
func (b *Budget) RecordAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.countAttempt()
	b.balance = min(b.balance+b.percent, b.capacity())
}

// countAttempt adds a first attempt to the decayed count of the last window.
func (b *Budget) countAttempt() {
	if b.windowMs <= 0 {
		return
	}
	now := b.monotonicNow()
	b.recent = b.recent*math.Exp(-float64(now-b.updatedMs)/float64(b.windowMs)) + 1
	b.updatedMs = now
}

// capacity returns the maximum balance.
func (b *Budget) capacity() int { return b.reserve*retryCost + int(b.recent*float64(b.burstPercent)) }

// TryRetry spends one retry from the balance. It returns false if the balance is too low.
func (b *Budget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < retryCost {
		return false
	}
	b.balance -= retryCost
	return true
}

// ReturnRetry gives back a retry of TryRetry that was not made.
func (b *Budget) ReturnRetry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+retryCost, b.capacity())
}

// CanRetry reports whether the balance allows a retry now, without spending it.
func (b *Budget) CanRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balance >= retryCost
}

func (b *Budget) setReserve(retries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserve = retries
	b.balance = min(b.balance, b.capacity())
}
