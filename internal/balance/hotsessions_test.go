package balance

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
)

func TestHotSessions(t *testing.T) {
	t.Run("returns a session's share of the recent requests", func(t *testing.T) {
		h := newSessionCounts(0)
		for i := range 100 {
			h.record(map[bool]string{true: "hot", false: fmt.Sprint(i)}[i%4 == 0], 0)
		}
		assert.InDelta(t, 0.25, h.share("hot"), 0.001)
		assert.Zero(t, h.share("1"), "a single request is not hot")
		assert.Zero(t, h.share("unknown"))
	})
	t.Run("a session that is no longer requested is forgotten", func(t *testing.T) {
		h := newSessionCounts(0)
		for range 64 {
			h.record("hot", 0)
		}
		for now := clock.Millis(0); now < 20*clock.Second; now += 100 {
			h.record("other", now)
		}
		assert.Zero(t, h.share("hot"))
		assert.Len(t, h.counts, 1)
	})
	t.Run("memory is bounded", func(t *testing.T) {
		h := newSessionCounts(0)
		for i := range 3 * maxCountedSessions {
			h.record(fmt.Sprint(i), 0)
		}
		assert.LessOrEqual(t, len(h.counts), maxCountedSessions)
	})
}

func TestSpread(t *testing.T) {
	// 12 engines with a mean load of 10 and a bound of 20, of which 4 are kept free for random variation.
	spreadOf := func(share float64) int { return spreadWidth(share, 120, 12, 20) }
	assert.Equal(t, 1, spreadOf(0), "an ordinary session")
	assert.Equal(t, 1, spreadOf(0.05), "6 requests fit into one engine or overflow to the next")
	assert.Equal(t, 3, spreadOf(0.1), "12 requests need three engines")
	assert.Equal(t, 12, spreadOf(0.9), "not more than there are")
	t.Run("each engine that a hot session needs receives some of it", func(t *testing.T) {
		f := newFixture(t, 12)
		draws := 0
		f.random = func(n int) int { draws++; return draws % n }
		taken := map[string]int{}
		for range 200 {
			taken[f.pick(t, sticky("hot")).ID]++
		}
		assert.Len(t, taken, 12)
	})
}

func TestUnreportedLoad(t *testing.T) {
	f := newFixture(t, 12)
	bound := func(running int) int {
		load := poolLoad{candidates: 12, running: running}
		return f.withoutUnreported(f.bound(load), load)
	}
	fresh := bound(240)
	assert.Equal(t, f.bound(poolLoad{candidates: 12, running: 240}), fresh)
	f.SetOthersInFlightAge(100)
	assert.Equal(t, fresh, bound(240), "reports that are 0.1 s old don't change the bound")
	f.SetOthersInFlightAge(reportTTLMs)
	assert.Equal(t, fresh-5, bound(240), "old reports reduce it by the root of 30")
	assert.GreaterOrEqual(t, bound(0), 1, "an idle engine accepts a request")
}
