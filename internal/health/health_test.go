package health

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
)

var limits = Limits{BaseMs: 2000, MaxMs: 60_000}

func withFailures(h Health, now clock.Millis, times int) Health {
	for range times {
		h = h.WithFailure(now, limits)
	}
	return h
}

func TestHealth(t *testing.T) {
	t.Run("ejects after consecutive failures", func(t *testing.T) {
		assert.False(t, withFailures(Health{}, 0, 2).Ejected(0))
		assert.True(t, withFailures(Health{}, 0, 3).Ejected(1999))
		assert.False(t, withFailures(Health{}, 0, 3).Ejected(2000))
	})
	t.Run("does not eject when a success separates the failures", func(t *testing.T) {
		h := withFailures(Health{}, 0, 2).WithSuccess(0, limits)
		assert.False(t, withFailures(h, 0, 2).Ejected(0))
	})
	t.Run("doubles the ejection time of a flapping upstream up to the maximum", func(t *testing.T) {
		h := withFailures(Health{}, 0, 3)
		for _, duration := range []clock.Millis{4000, 8000, 16_000, 32_000, 60_000, 60_000} {
			now := h.UntilMs()
			h = h.WithSuccess(now, limits).WithFailure(now, limits)
			assert.Equal(t, now+duration, h.UntilMs())
		}
	})
	t.Run("ejects an unreachable upstream immediately", func(t *testing.T) {
		assert.True(t, Health{}.WithUnreachable(0, limits).Ejected(1999))
	})
	t.Run("resets the ejection time after a long healthy period", func(t *testing.T) {
		h := withFailures(Health{}, 0, 3).WithSuccess(100_000, limits)
		assert.EqualValues(t, 102_000, withFailures(h, 100_000, 3).UntilMs())
	})
}
