package admission

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

// fixture is a ledger with one upstream, whose engine takes 10 ms and 0.05 ms per token for a prompt.
type fixture struct {
	*Ledger
	now    clock.Millis
	number uint32
}

func newFixture() *fixture {
	f := &fixture{now: 1000}
	f.Ledger = New(func() clock.Millis { return f.now })
	return f
}

// learnt returns a fixture that has learnt the times of its engine.
func learnt() *fixture {
	f := newFixture()
	for i := range minStarts {
		a := f.short()
		a.PrefillTokens = 400 + 400*(i%2)
		f.Ask(a)
		f.now += clock.Millis(10 + a.PrefillTokens/20)
		f.Started(a.ID)
		f.now += 300
		f.Release(a.ID, true)
	}
	f.now += settleMs
	return f
}

// short is an urgent ask of 50 ms, and long one of 600 ms.
func (f *fixture) short() Ask {
	f.number++
	return Ask{
		ID: ID{Box: "box", Number: f.number}, Pool: 1, Upstream: 1, Organisation: 1, Session: namekey.Key(f.number),
		PrefillTokens: 800, OwnTokens: 150, SharedTokens: 700, Slots: 64, MemoryTokens: 425_000,
		InTimeMs: 500, PatienceMs: 10_000, MayQueue: true,
	}
}

func (f *fixture) long() Ask {
	a := f.short()
	a.Urgency, a.PrefillTokens, a.OwnTokens, a.SharedTokens = 1, 11_800, 1600, 10_500
	a.InTimeMs, a.PatienceMs = 2000, 12_000
	return a
}

func (f *fixture) ask(t *testing.T, a Ask, want Verdict) Answer {
	t.Helper()
	answer, _ := f.Ask(a)
	assert.Equal(t, want, answer.Verdict, "%+v", answer)
	return answer
}

// busy lets the engine read a long prompt, and returns its ID.
func (f *fixture) busy(t *testing.T) ID {
	t.Helper()
	a := f.long()
	f.ask(t, a, Granted)
	return a.ID
}

// order starts a request and each that is granted after it, and returns the IDs of those.
func (f *fixture) order(first ID) (ids []ID) {
	for queue := []ID{first}; len(queue) > 0; queue = queue[1:] {
		for _, g := range append(f.Started(queue[0]), f.Release(queue[0], true)...) {
			if g.Answer.Verdict == Granted {
				ids, queue = append(ids, g.ID), append(queue, g.ID)
			}
		}
	}
	return ids
}

func TestGrants(t *testing.T) {
	t.Run("urgent prompts don't find an engine that is far behind", func(t *testing.T) {
		f := learnt()
		for range 5 {
			f.ask(t, f.short(), Granted)
		}
		f.ask(t, f.short(), Queued)
	})
	t.Run("an idle engine isn't left idle for a prompt beyond the target", func(t *testing.T) {
		f := learnt()
		f.ask(t, f.long(), Granted)
		f.ask(t, f.long(), Queued)
	})
	t.Run("a prompt beyond the target is granted behind a small backlog if nothing else waits", func(t *testing.T) {
		f := learnt()
		f.ask(t, f.short(), Granted)
		f.ask(t, f.long(), Granted)
		f.ask(t, f.long(), Queued)
	})
	t.Run("a box that doesn't wait isn't queued", func(t *testing.T) {
		f := learnt()
		f.busy(t)
		a := f.short()
		a.MayQueue = false
		answer := f.ask(t, a, Denied)
		assert.InDelta(t, 650, int(answer.StartInMs), 10)
		assert.InDelta(t, 400, int(answer.DrainMs), 10)
		assert.Zero(t, f.Sizes().Queued)
	})
	t.Run("a slow engine isn't expected to be as fast as usual", func(t *testing.T) {
		f := learnt()
		a := f.long()
		a.SlowPercent = 250
		assert.InDelta(t, 1500, int(f.ask(t, a, Granted).StartInMs), 20)
	})
	t.Run("slots and the load bound aren't exceeded", func(t *testing.T) {
		f := learnt()
		a, b, c := f.short(), f.short(), f.short()
		a.Slots, b.Slots, c.Bound = 1, 1, 1
		f.ask(t, a, Granted)
		f.ask(t, b, Queued)
		f.ask(t, c, Denied)
		c.Force = true
		f.ask(t, c, Granted)
		assert.Equal(t, Sizes{Upstreams: 1, Permits: 2, Queued: 1}, f.Sizes())
	})
}

func TestMemory(t *testing.T) {
	t.Run("shared parts aren't counted for each request of a session", func(t *testing.T) {
		f := learnt()
		for range 3 {
			a := f.short()
			a.Session, a.MemoryTokens = 7, 700+3*150
			f.ask(t, a, Granted)
		}
		assert.Equal(t, 700+3*150, f.upstreams[1].memory.held)
		f.ReleaseBox("box")
		assert.Zero(t, f.upstreams[1].memory.held)
	})
	t.Run("a prompt that doesn't fit waits here and not in the engine", func(t *testing.T) {
		f := learnt()
		a, b := f.short(), f.short()
		a.MemoryTokens, b.MemoryTokens = 1000, 1000
		f.ask(t, a, Granted)
		f.ask(t, b, Queued)
		f.Started(a.ID)
		assert.Len(t, f.Release(a.ID, true), 1)
	})
	t.Run("a prompt larger than the memory isn't refused for ever", func(t *testing.T) {
		f := learnt()
		a := f.long()
		a.MemoryTokens = 1000
		f.ask(t, a, Granted)
	})
	t.Run("a large prompt isn't overtaken without end", func(t *testing.T) {
		f := learnt()
		small := func(want Verdict) Ask {
			a := f.short()
			a.MemoryTokens, a.Session, a.PrefillTokens = 2300, 9, 0
			f.ask(t, a, want)
			return a
		}
		running := small(Granted)
		large := f.short()
		large.MemoryTokens, large.OwnTokens = 2300, 1000
		f.ask(t, large, Queued)
		for range maxOvertaken {
			f.Started(running.ID)
			next := small(Granted)
			f.Release(running.ID, true)
			running = next
		}
		f.Started(running.ID)
		small(Queued)
		grants := f.Release(running.ID, true)
		require.NotEmpty(t, grants)
		assert.Equal(t, large.ID, grants[0].ID)
	})
}

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
			a.Slots, a.InTimeMs = 1, 100_000
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
			a.Slots, a.InTimeMs = 1, 100_000
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

func TestLostMessages(t *testing.T) {
	t.Run("a repeated ask isn't counted twice", func(t *testing.T) {
		f := learnt()
		a, b := f.long(), f.long()
		for range 2 {
			f.ask(t, a, Granted)
			f.ask(t, b, Queued)
		}
		assert.Equal(t, Sizes{Upstreams: 1, Permits: 1, Queued: 1}, f.Sizes())
		require.Len(t, f.Started(a.ID), 1)
		f.ask(t, b, Granted)
		assert.Equal(t, 2, f.Sizes().Permits)
	})
	t.Run("an engine whose starts are lost isn't taken as busy for ever", func(t *testing.T) {
		f := learnt()
		f.busy(t)
		f.now += 4*600 + 10
		a := f.long()
		f.Expire()
		f.ask(t, a, Granted)
		assert.Equal(t, 2, f.Sizes().Permits)
	})
	t.Run("a lost release doesn't hold its slot for ever", func(t *testing.T) {
		f := learnt()
		f.busy(t)
		f.now += permitTTLMs
		f.Expire()
		assert.Equal(t, Sizes{Upstreams: 1}, f.Sizes())
		assert.Zero(t, f.upstreams[1].memory.held)
	})
	t.Run("a box that restarted doesn't hold what it had", func(t *testing.T) {
		f := learnt()
		f.busy(t)
		other := f.long()
		other.ID.Box = "other"
		f.ask(t, other, Queued)
		grants := f.ReleaseBox("box")
		require.Len(t, grants, 1)
		assert.Equal(t, other.ID, grants[0].ID)
	})
	t.Run("a queued ask whose box doesn't wait any more isn't left in the queue", func(t *testing.T) {
		f := learnt()
		f.busy(t)
		a, b := f.long(), f.long()
		f.ask(t, a, Queued)
		f.ask(t, b, Queued)
		a.MayQueue, b.Force = false, true
		f.ask(t, a, Denied)
		f.ask(t, b, Granted)
		assert.Equal(t, Sizes{Upstreams: 1, Permits: 2}, f.Sizes())
	})
	t.Run("callers don't wait for an owner that shuts down", func(t *testing.T) {
		f := learnt()
		f.busy(t)
		f.ask(t, f.long(), Queued)
		require.Len(t, f.DenyQueued(), 1)
		assert.Zero(t, f.Sizes().Queued)
	})
	t.Run("nonsense of another box doesn't harm", func(t *testing.T) {
		f := learnt()
		a := f.short()
		a.Urgency, a.PrefillTokens, a.OwnTokens, a.SharedTokens, a.SlowPercent = -5, -1, -1, -1, 1<<40
		f.ask(t, a, Granted)
		a = f.short()
		a.Urgency, a.InTimeMs, a.PatienceMs = 1<<40, -1<<40, -1<<40
		f.Ask(a)
		f.Expire()
		f.ReleaseBox("box")
		assert.Zero(t, f.upstreams[1].memory.held)
	})
	t.Run("a new owner doesn't answer as if it had counted all", func(t *testing.T) {
		f := newFixture()
		assert.True(t, f.ask(t, f.short(), Granted).Provisional)
		f.now += settleMs
		assert.False(t, f.ask(t, f.short(), Granted).Provisional)
	})
	t.Run("state isn't kept for ever", func(t *testing.T) {
		f := learnt()
		f.now += 2 * idleTTLMs
		f.Expire()
		assert.Empty(t, f.upstreams)
		assert.Empty(t, f.pools)
	})
}

func TestPrefillTimes(t *testing.T) {
	observe := func(r *prefillTimes, fixed, perToken float64, tokens ...int) {
		for range 400 {
			for _, n := range tokens {
				r.observe(n, fixed+perToken*float64(n))
			}
		}
	}
	for _, c := range []struct {
		tokens          []int
		fixed, perToken float64
	}{{[]int{800, 1300, 11_800}, 10, 0.05}, {[]int{1000}, 0, 0.06}, {[]int{0}, 10, 0}} {
		t.Run(fmt.Sprintf("both parts are found from prompts of %v tokens", c.tokens), func(t *testing.T) {
			r := &prefillTimes{}
			observe(r, 10, 0.05, c.tokens...)
			assert.InDelta(t, c.fixed, r.fixed, 0.1)
			assert.InDelta(t, c.perToken, r.perToken, 0.001)
		})
	}
	t.Run("engines that become slower aren't taken for fast ones", func(t *testing.T) {
		r := &prefillTimes{}
		observe(r, 10, 0.05, 800, 11_800)
		observe(r, 30, 0.15, 800, 11_800)
		assert.InDelta(t, 0.15, r.perToken, 0.01)
	})
}

// BenchmarkAsk asks at an upstream with 60 queued asks: for a new caller, which goes last, and for one that came back.
func BenchmarkAsk(b *testing.B) {
	for name, patience := range map[string]clock.Millis{"new": 1_010_000, "returned": 1_000_000} {
		b.Run(name, func(b *testing.B) {
			f := learnt()
			for range 61 {
				a := f.long()
				a.InTimeMs, a.PatienceMs = 1_000_000, 1_010_000
				f.Ask(a)
			}
			a := f.long()
			a.InTimeMs, a.PatienceMs = patience-10_000, patience
			for b.Loop() {
				f.Ask(a)
				f.Release(a.ID, false)
			}
		})
	}
}

// TestUnexpectedStarts guards against starts that are ignored because the ledger took the request for another state.
func TestUnexpectedStarts(t *testing.T) {
	ask := func(number uint32) Ask {
		return Ask{
			ID: ID{Box: "a", Number: number}, Pool: 1, Upstream: 1, PrefillTokens: 50_000, Slots: 8,
			InTimeMs: 20_000, PatienceMs: 30_000, MayQueue: true,
		}
	}
	t.Run("a start after the time at which it counts as lost is learnt", func(t *testing.T) {
		now := clock.Millis(1000)
		l := New(func() clock.Millis { return now })
		for i := range uint32(minStarts) {
			answer, _ := l.Ask(ask(i))
			require.Equal(t, Granted, answer.Verdict)
			now += minLostMs + 500
			l.Expire()
			l.Started(ask(i).ID)
			l.Release(ask(i).ID, true)
		}
		assert.True(t, l.pools[1].times.mayDeny())
	})
	t.Run("a request that was sent although it waits counts as running", func(t *testing.T) {
		now := clock.Millis(1000)
		l := New(func() clock.Millis { return now })
		full := ask(1)
		full.Slots = 1
		l.Ask(full)
		second := ask(2)
		second.Slots = 1
		answer, _ := l.Ask(second)
		require.Equal(t, Queued, answer.Verdict)
		l.Started(second.ID)
		assert.Equal(t, Sizes{Upstreams: 1, Permits: 2}, l.Sizes())
		l.Release(full.ID, true)
		l.Release(second.ID, true)
		assert.Equal(t, Sizes{Upstreams: 1}, l.Sizes())
	})
	t.Run("a box that knows no pace does not overwrite a report", func(t *testing.T) {
		now := clock.Millis(1000)
		l := New(func() clock.Millis { return now })
		slow := ask(1)
		slow.SlowPercent = 400
		l.Ask(slow)
		l.Ask(ask(2))
		assert.Equal(t, 400, l.upstreams[1].pace.percent)
		now += reportTTLMs
		l.Ask(ask(3))
		assert.Equal(t, usualPercent, l.upstreams[1].pace.percent)
	})
}
