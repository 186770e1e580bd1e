package work

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestLengths guards against reserving memory for outputs that are far longer, or shorter, than those that callers get.
func TestLengths(t *testing.T) {
	hinted, unhinted := Demand{HintTokens: 200, MaxOutputTokens: 1000}, Demand{MaxOutputTokens: 1000}
	t.Run("without observations it is the hint, or half of the maximum", func(t *testing.T) {
		l := NewLengths()
		assert.Equal(t, 200, l.Expect("r", hinted))
		assert.Equal(t, 500, l.Expect("r", unhinted))
		assert.Equal(t, 100, l.Expect("r", Demand{HintTokens: 200, MaxOutputTokens: 100}), "never above the maximum")
		assert.Zero(t, l.Expect("r", Demand{}))
	})
	t.Run("it follows the outputs of the route", func(t *testing.T) {
		l := NewLengths()
		for range minLengths {
			l.Observe("r", hinted, 300)
			l.Observe("r", unhinted, 100)
		}
		assert.Equal(t, 300, l.Expect("r", hinted))
		assert.Equal(t, 100, l.Expect("r", unhinted))
		assert.Equal(t, 200, l.Expect("other", hinted))
	})
	t.Run("a few outputs change nothing", func(t *testing.T) {
		l := NewLengths()
		l.Observe("r", unhinted, 10)
		assert.Equal(t, 500, l.Expect("r", unhinted))
	})
	t.Run("events are counted in tokens by hints that are right in the median only", func(t *testing.T) {
		l, random := NewLengths(), rand.New(rand.NewPCG(1, 2)) //nolint:gosec // A fixed seed.
		for range 400 {
			tokens := 100 + random.IntN(400)
			d := Demand{HintTokens: int(float64(tokens) * math.Exp(random.NormFloat64())), MaxOutputTokens: 1000}
			l.ObserveEvents("r", d, tokens/4)
			l.ObserveEvents("r", unhinted, 50)
		}
		assert.InDelta(t, 200, l.Expect("r", unhinted), 60, "50 events of 4 tokens")
	})
	t.Run("nothing is learnt of events whose tokens are unknown", func(t *testing.T) {
		l := NewLengths()
		for range 100 {
			l.ObserveEvents("r", unhinted, 50)
			l.ObserveEvents("r", Demand{}, 50)
		}
		assert.Equal(t, 500, l.Expect("r", unhinted))
	})
}

// TestAllowForStream guards against prompts that are sent when their streams can't end before the caller gives up.
func TestAllowForStream(t *testing.T) {
	l := NewLengths()
	assert.Zero(t, l.AllowForStream("r"), "an unknown route")
	for range minStreams - 1 {
		l.ObserveStream("r", 300)
	}
	assert.Zero(t, l.AllowForStream("r"), "too few streams")
	l.ObserveStream("r", 300)
	assert.InDelta(t, 600, int(l.AllowForStream("r")), 1)
}
