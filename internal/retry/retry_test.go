package retry

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
)

func TestBudget(t *testing.T) {
	t.Run("holds retries to a part of first attempts", func(t *testing.T) {
		b := NewBudget(20)
		retries := 0
		for range 10_000 {
			b.First()
			if b.Take() {
				retries++
			}
		}
		assert.InDelta(t, 2000, retries, reserve+1)
	})
	t.Run("lets a quiet box retry", func(t *testing.T) {
		assert.True(t, NewBudget(1).Take())
	})
}

// banked is a budget of 10 percent, with a bank of 6 percent of the first attempts of 10 s and
// a reserve of 2, and its clock.
func banked() (b *Budget, now *clock.Millis) {
	now = new(clock.Millis)
	return NewBudget(10, WithReserve(2), WithBank(6, 10*clock.Second, func() clock.Millis { return *now })), now
}

// take takes all that there is.
func take(b *Budget) int {
	taken := 0
	for b.Take() {
		taken++
	}
	return taken
}

func TestBank(t *testing.T) {
	// send sends ten first attempts a second for a span.
	send := func(b *Budget, now *clock.Millis, span clock.Millis) {
		for end := *now + span; *now < end; *now += 100 {
			b.First()
		}
	}
	t.Run("a burst after a good time is retried: 8 of 11 requests, 2 without a bank", func(t *testing.T) {
		b, now := banked()
		send(b, now, 60*clock.Second)
		assert.Equal(t, 8, take(b))
		b, now = banked()
		b.bank = 0
		send(b, now, 60*clock.Second)
		assert.Equal(t, 2, take(b))
	})
	t.Run("no window has more than the reserve and both parts", func(t *testing.T) {
		b, now := banked()
		send(b, now, 60*clock.Second)
		taken := take(b)
		for range 100 {
			send(b, now, 100)
			taken += take(b)
		}
		assert.LessOrEqual(t, taken, 2+16*100/100)
	})
	t.Run("a burst after a quiet time is not", func(t *testing.T) {
		b, now := banked()
		send(b, now, 60*clock.Second)
		*now += 100 * clock.Second
		b.First()
		assert.LessOrEqual(t, take(b), 2)
	})
}
