package health

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
)

var limits = Limits{BaseMs: 2000, MaxMs: 60_000}

func failing(h Health, now clock.Millis, times int) Health {
	for range times {
		h = h.WithFailure(now, limits)
	}
	return h
}

func TestHealth(t *testing.T) {
	t.Run("ejects after failures in a row", func(t *testing.T) {
		assert.False(t, failing(Health{}, 0, 2).Ejected(0))
		assert.True(t, failing(Health{}, 0, 3).Ejected(1999))
		assert.False(t, failing(Health{}, 0, 3).Ejected(2000))
	})
	t.Run("forgives failures that are not in a row", func(t *testing.T) {
		h := failing(Health{}, 0, 2).WithSuccess(0, limits)
		assert.False(t, failing(h, 0, 2).Ejected(0))
	})
	t.Run("ejects one that flaps for growing times", func(t *testing.T) {
		h := failing(Health{}, 0, 3)
		for _, span := range []clock.Millis{4000, 8000, 16_000, 32_000, 60_000, 60_000} {
			now := h.UntilMs()
			h = h.WithSuccess(now, limits).WithFailure(now, limits)
			assert.Equal(t, now+span, h.UntilMs())
		}
	})
	t.Run("ejects one that can't be reached at once", func(t *testing.T) {
		assert.True(t, Health{}.WithUnreachable(0, limits).Ejected(1999))
	})
	t.Run("starts from the base after a long time well", func(t *testing.T) {
		h := failing(Health{}, 0, 3).WithSuccess(100_000, limits)
		assert.EqualValues(t, 102_000, failing(h, 100_000, 3).UntilMs())
	})
}
