package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/namekey"
)

// TestAskAttempts guards against a box that can't learn from others whether a pool responds.
func TestAskAttempts(t *testing.T) {
	pool := namekey.Of("p")
	answer := Attempts{Started: 900, Answered: 400}
	ask := func(f *fixture) ([]Attempts, time.Duration) {
		start := time.Now()
		answers := f.boxes[0].AskAttempts(f.t.Context(), pool, 900, 400)
		return answers, time.Since(start)
	}
	t.Run("a few boxes answer", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			f.startStreamFleet(6)
			answers, took := ask(f)
			assert.Equal(f.t, []Attempts{answer, answer, answer}, answers)
			assert.Zero(f.t, took)
		})
	})
	t.Run("a box that repeats its answer counts once", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			f.startStreamFleet(3)
			delays := map[string]time.Duration{"box-1": 15 * time.Millisecond, "box-2": 35 * time.Millisecond}
			f.network.SetPacketDelay(func(from, _ string) time.Duration { return delays[from] })
			answers, _ := ask(f)
			assert.Len(f.t, answers, 2)
			assert.Greater(f.t, f.boxes[1].questions, 1)
		})
	})
	t.Run("lost datagrams are sent again", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			f.startStreamFleet(4)
			sent := 0
			f.network.SetPacketLoss(func() bool {
				sent++
				return sent <= 4
			})
			answers, _ := ask(f)
			assert.Len(f.t, answers, 3)
		})
	})
	t.Run("boxes that can't reach the pool are not asked", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			f.startStreamFleet(3)
			f.boxes[1].mu.Lock()
			f.boxes[1].unreachablePools = []namekey.Key{pool}
			f.boxes[1].mu.Unlock()
			advance(f.t, 5*time.Second)
			answers, _ := ask(f)
			assert.Len(f.t, answers, 1)
			assert.Zero(f.t, f.boxes[1].questions)
		})
	})
	t.Run("nobody answers", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			f.startStreamFleet(3)
			f.network.SetPacketLoss(func() bool { return true })
			answers, took := ask(f)
			assert.Empty(f.t, answers)
			assert.Equal(f.t, originTimeoutMs.Duration(), took)
		})
	})
}
