package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/occupancy"
)

// midSizeFleet is a fleet of dozens of boxes, in which each box learns the load of each other one about once per cycle.
// Engines of one of three failure domains are evacuated, so the others hold the whole load.
func midSizeFleet(cycleMs clock.Millis, permits bool) *largeFleet {
	const exchangeMs clock.Millis = 250
	f := newLargeFleet(78, 90)
	f.kinds = []requestKind{
		{perSecond: 189, sessions: 589, tokens: 8620, streamMs: 400},
		{perSecond: 232, sessions: 184, tokens: 2041, streamMs: 250},
		{perSecond: 145, sessions: 200, tokens: 603, streamMs: 2000},
	}
	f.gossip = func() {
		if f.now%exchangeMs == 0 {
			f.exchangeLoads(cycleMs)
		}
	}
	for _, m := range f.boxes {
		m.SetEnginePermits(permits)
		m.SetOthersInFlightAge(reportTTLMs)
		m.SetEvacuations(evacuated(0, "d1"))
	}
	return f
}

// TestEvacuationInMidSizeFleet plays the load of a pool on two of its three failure domains. It guards against engines
// above twice the mean load of the pool, evacuated engines included, and against sessions that leave the engine that
// has their prompts cached, because boxes learn late of each other's requests.
func TestEvacuationInMidSizeFleet(t *testing.T) {
	t.Run("engines keep the bound while boxes start and know little of each other", func(t *testing.T) {
		worst := func(permits bool) float64 {
			fractions, worst := midSizeFleet(4*clock.Second, permits).run(t, 12), 0.0
			for i := range len(fractions) - 4 {
				worst = max(worst, mean(fractions[i:i+5]))
			}
			return worst
		}
		t.Logf("requests to engines above the bound without permits: %.4f", worst(false))
		assert.LessOrEqual(t, worst(true), 0.03)
	})
	t.Run("engines keep the bound after all owners restarted", func(t *testing.T) {
		f := midSizeFleet(2500, true)
		f.run(t, 6)
		f.ledger = occupancy.New(func() clock.Millis { return f.now })
		assert.LessOrEqual(t, mean(f.run(t, 5)), 0.03)
	})
	t.Run("more sessions stay at their first engine", func(t *testing.T) {
		atFirst := func(permits bool) float64 {
			f := midSizeFleet(2500, permits)
			f.run(t, 4)
			f.sent, f.atFirst = 0, 0
			f.run(t, 8)
			return float64(f.atFirst) / float64(f.sent)
		}
		with, without := atFirst(true), atFirst(false)
		t.Logf("with permits: %.3f, without: %.3f", with, without)
		assert.Greater(t, with, without)
	})
}
