package pace

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
)

// TestLearner plays responses of a pool whose upstreams take 20 ms and 0.05 ms per token, with some noise. It guards
// against upstreams that are taken for slow because of what they are sent, and against slow ones that are not found.
func TestLearner(t *testing.T) {
	play := func(spread float64, slow map[int]float64, tokens func(upstream int, r *rand.Rand) int) []int {
		random, times, learners := rand.New(rand.NewPCG(1, 1)), &PoolTimes{}, [12]Learner{}
		now, request := clock.Millis(1000), uint64(0)
		for range 100 {
			now += 50
			for i := range learners {
				n := tokens(i, random)
				took := (20 + 0.05*float64(n)) * math.Exp(spread*random.NormFloat64()) * max(1, slow[i])
				times.FirstByte.Observe(n, clock.Millis(took), UsualPercent)
				request++
				learners[i].Observe(Sample{Request: request, Tokens: n, TookMs: clock.Millis(took), AtMs: now})
			}
		}
		percents := []int{}
		for i := range learners {
			percent, known := learners[i].Percent(times, false, now)
			assert.True(t, known)
			percents = append(percents, percent)
			_, known = learners[i].Percent(times, true, now+learnSpanMs+1)
			assert.False(t, known, "samples count for 3 s")
		}
		return percents
	}
	short := func(_ int, r *rand.Rand) int { return 100 + r.IntN(1000) }
	t.Run("slow upstreams are found, and no others", func(t *testing.T) {
		for i, percent := range play(0.15, map[int]float64{0: 4, 1: 4, 2: 4}, short) {
			assert.Equal(t, i < 3, percent > SlowPercent, "%d: %d", i, percent)
		}
	})
	t.Run("an upstream that only serves long prompts is not slow", func(t *testing.T) {
		percents := play(0.15, nil, func(upstream int, r *rand.Rand) int {
			if upstream == 0 {
				return 10_000 + r.IntN(2000)
			}
			return short(upstream, r)
		})
		for _, percent := range percents {
			assert.LessOrEqual(t, percent, SlowPercent)
		}
	})
	t.Run("times that differ much, as behind queues, make no upstream slow", func(t *testing.T) {
		for _, percent := range play(1, nil, short) {
			assert.LessOrEqual(t, percent, SlowPercent)
		}
	})
	t.Run("samples of three requests are needed, and of one where the upstream was slow before", func(t *testing.T) {
		var times PoolTimes
		for range minTimesSamples {
			times.FirstByte.Observe(0, 20, UsualPercent)
			times.Gaps.Observe(0, 200, UsualPercent)
		}
		var l Learner
		observe := func(request uint64) (percent int, known bool) {
			l.Observe(Sample{Request: request, TookMs: 100, AtMs: 1000})
			l.Observe(Sample{Request: request, Gaps: true, TookMs: 600, AtMs: 1000})
			return l.Percent(&times, false, 1000)
		}
		for _, request := range []uint64{1, 1, 1, 2} {
			_, known := observe(request)
			assert.False(t, known)
		}
		percent, known := l.Percent(&times, true, 1000)
		assert.True(t, known)
		assert.Equal(t, 300, percent)
		percent, known = observe(3)
		assert.True(t, known)
		assert.Equal(t, 300, percent)
	})
}
