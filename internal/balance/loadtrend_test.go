package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

// TestLoadTrend guards against a bound that follows requests which have ended since other boxes reported them, and
// against one that follows the noise of few samples.
func TestLoadTrend(t *testing.T) {
	const engines, stepMs = 12, clock.Millis(200)
	// boundAfter returns the bound after the others' load of each engine went through some values, a step each.
	boundAfter := func(t *testing.T, enginePermits bool, loads ...int) int {
		t.Helper()
		f := newFixture(t, engines)
		f.SetEnginePermits(enginePermits)
		f.SetOthersInFlightAge(clock.Second)
		bound := 0
		for _, load := range loads {
			reports := map[namekey.Key]int{}
			for _, member := range f.byID {
				reports[member.key] = load
			}
			f.SetOthersInFlight(reports)
			f.now += stepMs
			l := f.pick(t, sticky("s"))
			bound = l.bound
			l.Release(Neutral)
		}
		return bound
	}
	assert.Equal(t, 31, boundAfter(t, true, 20, 20, 20, 20, 20, 20), "1.4 times the mean, the request itself, and two")
	assert.InDelta(t, 17, boundAfter(t, true, 30, 28, 26, 24, 22, 20), 2, "ten fewer in a second")
	assert.Equal(t, 31, boundAfter(t, true, 10, 12, 14, 16, 18, 20), "a rise is not continued")
	assert.Equal(t, 31, boundAfter(t, true, 30, 25, 20), "too few samples")
	assert.Equal(t, 17, boundAfter(t, true, 200, 160, 120, 80, 40, 20), "at most by half")
	assert.Zero(t, boundAfter(t, false, 30, 28, 26, 24, 22, 20), "a small fleet has no permits")
}
