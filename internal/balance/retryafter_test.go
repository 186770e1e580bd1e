package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
)

func TestRetryAfter(t *testing.T) {
	// busy lets 200 requests complete one after another, one per interval.
	busy := func(t *testing.T, f *fixture, interval clock.Millis) {
		t.Helper()
		for range 200 {
			l := f.pick(t, PickRequest{Pool: "p"})
			f.now += interval
			l.Release(Succeeded)
		}
	}
	t.Run("callers retry one after another, as capacity becomes free", func(t *testing.T) {
		f := newFixture(t, 3)
		busy(t, f, 10)
		for _, want := range []int{70, 80, 90} {
			assert.InDelta(t, want, int(f.RetryAfterMs("p", 0)), 1)
		}
		f.now += 100
		assert.InDelta(t, 70, int(f.RetryAfterMs("p", 0)), 1, "callers that should have retried by now are forgotten")
	})
	t.Run("of 50 callers that are refused together, at most two and not 50 retry within 20 ms", func(t *testing.T) {
		f := newFixture(t, 3)
		busy(t, f, 10)
		perWindow := map[clock.Millis]int{}
		for range 50 {
			perWindow[f.RetryAfterMs("p", 0)/20]++
		}
		for _, count := range perWindow {
			assert.LessOrEqual(t, count, 2)
		}
	})
	t.Run("an urgent caller retries before less urgent ones", func(t *testing.T) {
		f := newFixture(t, 3)
		busy(t, f, 10)
		f.RetryAfterMs("p", 2)
		f.RetryAfterMs("p", 2)
		assert.InDelta(t, 70, int(f.RetryAfterMs("p", 0)), 1)
		assert.InDelta(t, 100, int(f.RetryAfterMs("p", 2)), 1)
	})
	t.Run("when all upstreams are ejected, callers retry once the first may be tried again", func(t *testing.T) {
		f := newFixture(t, 1)
		busy(t, f, 10)
		f.pick(t, PickRequest{Pool: "p"}).Release(Unreachable)
		f.now += 900
		assert.InDelta(t, 110, int(f.RetryAfterMs("p", 0)), 5)
	})
	t.Run("behind a partition, callers retry after the next probe", func(t *testing.T) {
		f := newFixture(t, 1)
		busy(t, f, 10)
		f.RecordProbe("d0", false)
		f.now += 50
		assert.InDelta(t, int(probeIntervalMs)-50+10, int(f.RetryAfterMs("p", 0)), 1)
	})
	t.Run("without upstreams, callers retry after a new one may appear", func(t *testing.T) {
		f := newFixture(t, 1)
		assert.Equal(t, discoveryMs+initialCompletionGapMs, f.RetryAfterMs("q", 0))
	})
	t.Run("the delay is bounded", func(t *testing.T) {
		f := newFixture(t, 1)
		for range 1000 {
			assert.LessOrEqual(t, f.RetryAfterMs("q", 0), maxRetryAfterMs)
		}
	})
}
