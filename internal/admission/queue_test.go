package admission

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestQueueOrder(t *testing.T) {
	t.Run("urgent prompts don't wait for others", func(t *testing.T) {
		f := learnt()
		head, long, short := f.busy(t), f.long(), f.short()
		f.ask(t, long, Queued)
		f.now += 200
		f.ask(t, short, Queued)
		assert.Equal(t, []ID{short.ID, long.ID}, f.order(head))
	})
	t.Run("callers that came back don't wait for new ones", func(t *testing.T) {
		f := learnt()
		head, first, returned := f.busy(t), f.long(), f.long()
		returned.InTimeMs, returned.PatienceMs = 1900, 11_900
		f.ask(t, first, Queued)
		f.ask(t, returned, Queued)
		assert.Equal(t, []ID{returned.ID, first.ID}, f.order(head))
	})
	t.Run("an organisation with many prompts doesn't delay one with few", func(t *testing.T) {
		f := learnt()
		head := f.busy(t)
		for range 3 {
			a := f.long()
			a.PrefillTokens = 2000
			f.ask(t, a, Queued)
		}
		few := f.long()
		few.Organisation = 2
		f.ask(t, few, Queued)
		assert.Equal(t, few.ID, f.order(head)[0])
	})
	t.Run("no urgency starves, and none takes more than an eighth of the time", func(t *testing.T) {
		f := learnt()
		head, long := f.busy(t), f.long()
		long.PrefillTokens = 1800 // 100 ms, as two urgent ones take.
		f.ask(t, long, Queued)
		f.now += 300
		for range 20 {
			a := f.short()
			a.InTimeMs = 5000
			f.ask(t, a, Queued)
		}
		before := slices.Index(f.order(head), long.ID)
		assert.GreaterOrEqual(t, before, turnEvery-1, "it takes no more than its turn")
		assert.LessOrEqual(t, before, 2*(turnEvery-1), "and it is served")
	})
	t.Run("a withdrawn ask doesn't keep its place", func(t *testing.T) {
		f := learnt()
		head, withdrawn, next := f.busy(t), f.long(), f.long()
		f.ask(t, withdrawn, Queued)
		f.ask(t, next, Queued)
		f.Release(withdrawn.ID, false)
		assert.Equal(t, []ID{next.ID}, f.order(head))
	})
	t.Run("a full queue doesn't keep out more urgent asks or another organisation", func(t *testing.T) {
		f := learnt()
		f.busy(t)
		for range minQueueLength {
			a := f.long()
			a.Slots, a.InTimeMs, a.PatienceMs = 1, 100_000, 100_000
			f.ask(t, a, Queued)
		}
		urgent, other, own := f.short(), f.long(), f.long()
		urgent.InTimeMs, other.InTimeMs, own.InTimeMs = 100_000, 100_000, 100_000
		other.Organisation = 2
		urgent.Slots, other.Slots, own.Slots = 1, 1, 1
		for _, a := range []Ask{urgent, other} {
			answer, grants := f.Ask(a)
			assert.Equal(t, Queued, answer.Verdict)
			require.Len(t, grants, 1)
			assert.Equal(t, Denied, grants[0].Answer.Verdict)
		}
		f.ask(t, own, Denied)
		assert.Equal(t, minQueueLength, f.Sizes().Queued)
	})
	t.Run("callers that came back don't lower the target", func(t *testing.T) {
		f := learnt()
		a := f.short()
		a.InTimeMs, a.PatienceMs = 20, 9520
		f.ask(t, a, Granted)
		assert.InDelta(t, 250, f.pools[1].objectives.targetMs(f.now), 0)
	})
	t.Run("the queue isn't unbounded", func(t *testing.T) {
		f := learnt()
		f.busy(t)
		for i := range minQueueLength + 1 {
			a := f.short()
			a.Slots, a.InTimeMs, a.PatienceMs = 1, 100_000, 100_000
			f.ask(t, a, map[bool]Verdict{true: Queued, false: Denied}[i < minQueueLength])
		}
	})
}

func TestLate(t *testing.T) {
	// overload fills the queue until asks of 2 s would be late.
	overload := func(t *testing.T, f *fixture) {
		t.Helper()
		f.busy(t)
		f.ask(t, f.long(), Queued)
	}
	t.Run("a short burst isn't refused", func(t *testing.T) {
		f := learnt()
		overload(t, f)
		late := f.long()
		late.PrefillTokens *= 2
		assert.True(t, f.ask(t, late, Queued).Late)
	})
	t.Run("in a lasting overload callers don't wait for late responses", func(t *testing.T) {
		f := learnt()
		overload(t, f)
		f.now += 2000
		a := f.long()
		a.PrefillTokens *= 4
		answer := f.ask(t, a, Denied)
		assert.Positive(t, answer.DrainMs)
	})
	t.Run("a queued prompt that can't be in time any more doesn't wait to the end", func(t *testing.T) {
		f := learnt()
		overload(t, f)
		f.now += 2100
		grants := f.Expire()
		require.Len(t, grants, 1)
		assert.Equal(t, Denied, grants[0].Answer.Verdict)
		assert.Zero(t, f.Sizes().Queued)
	})
	t.Run("a prompt isn't sent to an idle engine if its caller gives up before the first event", func(t *testing.T) {
		f := learnt()
		a := f.long()
		a.PatienceMs = 550
		f.ask(t, a, Denied)
		a.PatienceMs = 650
		f.ask(t, a, Granted)
	})
	t.Run("nothing is denied before the times of a pool are known", func(t *testing.T) {
		f := newFixture()
		for range minStarts - 1 {
			f.ask(t, f.long(), map[bool]Verdict{true: Granted, false: Queued}[f.number <= unknownBacklog])
		}
		f.now += 2500
		for _, g := range f.Expire() {
			assert.NotEqual(t, Denied, g.Answer.Verdict)
		}
	})
	t.Run("a less urgent kind isn't accepted late while a more urgent one is denied", func(t *testing.T) {
		f := learnt()
		overload(t, f)
		f.now += 1
		denied := f.short()
		denied.InTimeMs, denied.PatienceMs = 10, 20
		f.ask(t, denied, Denied)
		a := f.long()
		a.PrefillTokens *= 2
		f.ask(t, a, Denied)
	})
}
