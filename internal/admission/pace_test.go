package admission

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

// TestToldPace guards against slow upstreams that an owner knows and doesn't tell of, and against boxes that avoid an
// upstream because of an old or incomplete finding.
func TestToldPace(t *testing.T) {
	// told returns the pace in the answer to an ask that reports a pace.
	told := func(f *fixture, reported int) int {
		a := f.short()
		a.SlowPercent = reported
		answer, _ := f.Ask(a)
		f.Release(a.ID, false)
		return answer.SlowPercent
	}
	t.Run("boxes are told what another one reported, for half a spell, and not what they report themselves", func(t *testing.T) {
		f := learnt()
		assert.Zero(t, told(f, slowPercent))
		assert.Zero(t, told(f, 0), "a usual pace")
		assert.Zero(t, told(f, 300))
		f.now += maxAnsweredAgeMs - 1
		assert.InDelta(t, 300, told(f, 0), 30)
		f.now++
		assert.Zero(t, told(f, 0))
	})
	t.Run("an owner that has just begun to count tells nothing", func(t *testing.T) {
		f := newFixture()
		told(f, 300)
		assert.Zero(t, told(f, 0))
	})
	t.Run("starts tell that an engine is slow, and that it is as usual again", func(t *testing.T) {
		f := learnt()
		read := func(times clock.Millis) {
			for i := range namekey.Key(64) {
				a := f.short()
				a.Upstream = 4 - i%4
				f.Ask(a)
				f.now += 50
				if a.Upstream == 1 {
					f.now += (times - 1) * 50
				}
				f.Started(a.ID)
				f.Release(a.ID, true)
			}
		}
		read(4)
		assert.Greater(t, told(f, 0), 2*usualPercent)
		f.now += maxAnsweredAgeMs
		assert.Zero(t, told(f, 0), "without prompts nothing new is known")
		read(1)
		assert.Zero(t, told(f, 0))
	})
	t.Run("a start that is overdue tells that an engine is slow, also in answer to a repeated ask", func(t *testing.T) {
		f := learnt()
		a := f.short()
		f.ask(t, a, Granted)
		f.now += 50 + minOverdueMs
		assert.Zero(t, told(f, 0), "not by more than starts vary")
		f.now += 80
		assert.InDelta(t, 300, told(f, 0), 10)
		assert.InDelta(t, 300, f.ask(t, a, Granted).SlowPercent, 10)
		f.now += reportTTLMs - 100
		assert.Zero(t, told(f, 0), "a lost start shows a slow engine for no longer than a spell")
	})
}

// TestSuspectEngines guards against boxes that each send a prompt to an engine that may still be slow.
func TestSuspectEngines(t *testing.T) {
	first := func(f *fixture) Ask {
		a := f.short()
		a.MayQueue = false
		return a
	}
	t.Run("after a slow start, one prompt at a time shows whether the engine still is", func(t *testing.T) {
		f := learnt()
		slow, trial := first(f), first(f)
		f.ask(t, slow, Granted)
		f.now += 300
		f.Started(slow.ID)
		f.ask(t, trial, Granted)
		f.ask(t, first(f), Denied)
		f.ask(t, f.short(), Granted)
		f.now += 50
		f.Started(trial.ID)
		f.ask(t, first(f), Granted)
	})
	t.Run("prompts are sent elsewhere while a start is overdue", func(t *testing.T) {
		f := learnt()
		overdue := first(f)
		f.ask(t, overdue, Granted)
		f.now += 50 + minOverdueMs - 1
		f.ask(t, first(f), Granted)
		f.now++
		f.ask(t, first(f), Denied)
		f.ask(t, f.short(), Granted)
		f.Started(overdue.ID)
		f.ask(t, first(f), Granted)
	})
}
