package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
)

func TestComeBack(t *testing.T) {
	// busy has requests end each so often.
	busy := func(t *testing.T, f *fixture, each clock.Millis) {
		t.Helper()
		for range 200 {
			l := f.pick(t, Ask{Pool: "p"})
			f.now += each
			l.Release(Succeeded)
		}
	}
	t.Run("callers come back as places become free, one after another", func(t *testing.T) {
		f := newFixture(t, 3)
		busy(t, f, 10)
		for _, want := range []int{70, 80, 90} {
			assert.InDelta(t, want, int(f.ComeBackMs("p", 0)), 1)
		}
		f.now += 100
		assert.InDelta(t, 70, int(f.ComeBackMs("p", 0)), 1, "those that were back are forgotten")
	})
	t.Run("of 50 that are refused together two at most come back within 20 ms; it was 50", func(t *testing.T) {
		f := newFixture(t, 3)
		busy(t, f, 10)
		within := map[clock.Millis]int{}
		for range 50 {
			within[f.ComeBackMs("p", 0)/20]++
		}
		for _, count := range within {
			assert.LessOrEqual(t, count, 2)
		}
	})
	t.Run("an urgent one comes before those that are less so", func(t *testing.T) {
		f := newFixture(t, 3)
		busy(t, f, 10)
		f.ComeBackMs("p", 2)
		f.ComeBackMs("p", 2)
		assert.InDelta(t, 70, int(f.ComeBackMs("p", 0)), 1)
		assert.InDelta(t, 100, int(f.ComeBackMs("p", 2)), 1)
	})
	t.Run("when all are out, once the first may be tried again", func(t *testing.T) {
		f := newFixture(t, 1)
		busy(t, f, 10)
		f.pick(t, Ask{Pool: "p"}).Release(Unreachable)
		f.now += 900
		assert.InDelta(t, 110, int(f.ComeBackMs("p", 0)), 5)
	})
	t.Run("behind a cut, after the next probe", func(t *testing.T) {
		f := newFixture(t, 1)
		busy(t, f, 10)
		f.Probed("d0", false)
		f.now += 50
		assert.InDelta(t, int(probeAgainMs)-50+10, int(f.ComeBackMs("p", 0)), 1)
	})
	t.Run("without any, after the time in which one shows up", func(t *testing.T) {
		f := newFixture(t, 1)
		assert.Equal(t, showUpMs+firstEndsGapMs, f.ComeBackMs("q", 0))
	})
	t.Run("nobody is told to wait for long", func(t *testing.T) {
		f := newFixture(t, 1)
		for range 1000 {
			assert.LessOrEqual(t, f.ComeBackMs("q", 0), mostComeBackMs)
		}
	})
}
