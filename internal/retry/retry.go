// Package retry bounds repeated attempts by a budget that first attempts fill.
package retry

import (
	"math"
	"sync"

	"dooryard.example/dooryard/internal/clock"
)

// Budget allows retries as a part of first attempts, with a small reserve so
// that a quiet box may retry at all. It is safe for concurrent use.
type Budget struct {
	// part is what each first attempt adds, in percent of one retry.
	part int
	// reserve is how many retries the balance holds at most, beside the bank.
	reserve int
	// bank is what each first attempt of the last window adds to that, in percent of one
	// retry.
	bank     int
	windowMs clock.Millis
	steady   func() clock.Millis

	mu      sync.Mutex
	balance int
	// recent is about how many first attempts came in the last window, at sinceMs.
	recent  float64
	sinceMs clock.Millis
}

const (
	oneRetry = 100
	// reserve is how many retries the balance holds at most: a short burst may
	// be repeated, a lasting one is held to the part.
	reserve = 20
)

// Option changes a Budget under construction.
type Option func(*Budget)

// WithReserve sets how many retries the balance holds at most.
func WithReserve(retries int) Option { return func(b *Budget) { b.reserve = retries } }

// WithBank lets the balance hold a part of the first attempts of the last window beside the
// reserve, in percent of one retry each: what fails together is retried together. Over a
// window retries stay below the reserve and both parts of its first attempts.
func WithBank(percent int, window clock.Millis, steady func() clock.Millis) Option {
	return func(b *Budget) { b.bank, b.windowMs, b.steady = percent, window, steady }
}

// NewBudget returns a full budget that allows this part of first attempts.
func NewBudget(partPercent int, options ...Option) *Budget {
	b := &Budget{part: partPercent, reserve: reserve}
	for _, option := range options {
		option(b)
	}
	b.balance = b.reserve * oneRetry
	return b
}

// First counts a first attempt.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.countRecent()
	b.balance = min(b.balance+b.part, b.most())
}

// countRecent counts a first attempt of now among those of the last window.
func (b *Budget) countRecent() {
	if b.windowMs <= 0 {
		return
	}
	now := b.steady()
	b.recent = b.recent*math.Exp(-float64(now-b.sinceMs)/float64(b.windowMs)) + 1
	b.sinceMs = now
}

// most is how much the balance may hold.
func (b *Budget) most() int { return b.reserve*oneRetry + int(b.recent*float64(b.bank)) }

// Take asks for one retry.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < oneRetry {
		return false
	}
	b.balance -= oneRetry
	return true
}

func (b *Budget) setReserve(retries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserve = retries
	b.balance = min(b.balance, b.most())
}
