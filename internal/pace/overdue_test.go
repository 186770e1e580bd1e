package pace

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
)

// timesOf learns times of 20 ms and 0.1 ms per token, each of them once with each of some factors.
func timesOf(factors ...float64) *Times {
	times := &Times{}
	for i := range 60 * len(factors) {
		tokens := 1000 * (i / len(factors) % 2)
		times.Observe(tokens, clock.Millis(factors[i%len(factors)]*(20+0.1*float64(tokens))), UsualPercent)
	}
	return times
}

// TestOverdue guards against requests that show an upstream slow because they are long or wait behind others, and
// against slow upstreams that are found only by their responses.
func TestOverdue(t *testing.T) {
	even := timesOf(1)
	for name, c := range map[string]struct {
		request   Unanswered
		overdueMs clock.Millis
	}{
		"a request of 1,000 tokens":                     {Unanswered{Tokens: 1000}, 180},
		"a long one":                                    {Unanswered{Tokens: 10_000}, 1530},
		"one of 20 ms, at least 20 ms late":             {Unanswered{}, 40},
		"behind two of this box":                        {Unanswered{Tokens: 1000, Ahead: 2, AheadTokens: 2000}, 540},
		"behind three others, of 70 ms on average":      {Unanswered{Tokens: 1000, Others: 3}, 495},
		"behind those that the owner knows, of 200 ms":  {Unanswered{Tokens: 1000, StartInMs: 300}, 480},
		"at an upstream known to be three times slower": {Unanswered{Tokens: 1000, Percent: 300}, 540},
	} {
		t.Run(name, func(t *testing.T) {
			ms, known := even.OverdueMs(c.request)
			assert.True(t, known)
			assert.InDelta(t, float64(c.overdueMs), float64(ms), 0.05*float64(c.overdueMs))
			_, overdue := even.OverduePercent(c.request, ms)
			assert.False(t, overdue)
			percent, overdue := even.OverduePercent(c.request, ms+1)
			assert.True(t, overdue)
			assert.Greater(t, percent, 2*SlowPercent-10)
		})
	}
	t.Run("times that differ much anyway make it later", func(t *testing.T) {
		ms, _ := timesOf(0.2, 0.5, 1, 1.5, 3).OverdueMs(Unanswered{Tokens: 1000})
		assert.Greater(t, ms, clock.Millis(350))
	})
}
