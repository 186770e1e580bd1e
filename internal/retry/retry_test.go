package retry

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
)

func TestBudget(t *testing.T) {
	t.Run("limits retries to a percentage of first attempts", func(t *testing.T) {
		b := NewBudget(20)
		retries := 0
		for range 10_000 {
			b.RecordAttempt()
			if b.TryRetry() {
				retries++
			}
		}
		assert.InDelta(t, 2000, retries, reserve+1)
	})
	t.Run("allows a retry on a box without traffic", func(t *testing.T) {
		assert.True(t, NewBudget(1).TryRetry())
	})
}

// newBurstBudget returns a budget of 10 percent with a reserve of 2 and a burst allowance
// of 6 percent of the first attempts of the last 10 s, and the budget's clock.
func newBurstBudget() (b *Budget, now *clock.Millis) {
	now = new(clock.Millis)
	return NewBudget(10, WithReserve(2), WithBurst(6, 10*clock.Second, func() clock.Millis { return *now })), now
}

// takeAll takes retries until the budget refuses and returns their number.
func takeAll(b *Budget) int {
	taken := 0
	for b.TryRetry() {
		taken++
	}
	return taken
}

func TestBank(t *testing.T) {
	// send records ten first attempts per second for the duration.
	send := func(b *Budget, now *clock.Millis, duration clock.Millis) {
		for end := *now + duration; *now < end; *now += 100 {
			b.RecordAttempt()
		}
	}
	t.Run("allows 8 of 11 retries in a burst after steady traffic, 2 without the allowance", func(t *testing.T) {
		b, now := newBurstBudget()
		send(b, now, 60*clock.Second)
		assert.Equal(t, 8, takeAll(b))
		b, now = newBurstBudget()
		b.burstPercent = 0
		send(b, now, 60*clock.Second)
		assert.Equal(t, 2, takeAll(b))
	})
	t.Run("keeps each window within the reserve and both percentages", func(t *testing.T) {
		b, now := newBurstBudget()
		send(b, now, 60*clock.Second)
		taken := takeAll(b)
		for range 100 {
			send(b, now, 100)
			taken += takeAll(b)
		}
		assert.LessOrEqual(t, taken, 2+16*100/100)
	})
	t.Run("allows only the reserve in a burst after a quiet period", func(t *testing.T) {
		b, now := newBurstBudget()
		send(b, now, 60*clock.Second)
		*now += 100 * clock.Second
		b.RecordAttempt()
		assert.LessOrEqual(t, takeAll(b), 2)
	})
}
