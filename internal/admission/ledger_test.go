package admission

import (
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
		a.Slots, b.Slots, c.Bound, c.MayQueue = 1, 1, 1, false
		f.ask(t, a, Granted)
		f.ask(t, b, Queued)
		f.ask(t, c, Denied)
		c.Force = true
		f.ask(t, c, Granted)
		assert.Equal(t, Sizes{Upstreams: 1, Permits: 2, Queued: 1}, f.Sizes())
	})
}

// TestWaitForBound guards against prompts that are granted above the load bound because they wait.
func TestWaitForBound(t *testing.T) {
	// atBound returns a fixture whose engine holds two requests, and an ask with a bound of two.
	atBound := func(t *testing.T) (f *fixture, running ID, a Ask) {
		t.Helper()
		f = learnt()
		for range 2 {
			a = f.short()
			f.ask(t, a, Granted)
			f.now += 50
			f.Started(a.ID)
		}
		running, a = a.ID, f.short()
		a.Bound = 2
		return f, running, a
	}
	t.Run("an ask that doesn't wait is denied with the time that its work takes", func(t *testing.T) {
		f, _, a := atBound(t)
		a.MayQueue = false
		answer := f.ask(t, a, Denied)
		assert.Zero(t, answer.DrainMs)
		assert.LessOrEqual(t, answer.StartInMs, clock.Millis(60))
	})
	t.Run("one that waits is granted when a request ends", func(t *testing.T) {
		f, running, a := atBound(t)
		assert.Greater(t, f.ask(t, a, Queued).StartInMs, clock.Millis(200), "until a request of 300 ms ends")
		assert.Equal(t, []Grant(nil), f.Started(running))
		grants := f.Release(running, true)
		if assert.Len(t, grants, 1) {
			assert.Equal(t, a.ID, grants[0].ID)
			assert.Equal(t, Granted, grants[0].Answer.Verdict)
		}
	})
	t.Run("one that can't wait for so long is denied at once", func(t *testing.T) {
		f, _, a := atBound(t)
		a.PatienceMs = 100
		f.ask(t, a, Denied)
		f.ask(t, f.short(), Granted)
	})
	t.Run("others with a higher bound don't wait for it", func(t *testing.T) {
		f, _, a := atBound(t)
		f.ask(t, a, Queued)
		b := f.short()
		b.Bound = 3
		f.ask(t, b, Granted)
	})
	t.Run("its denial doesn't keep less urgent kinds from being accepted late", func(t *testing.T) {
		f, _, a := atBound(t)
		a.PatienceMs = 100
		f.ask(t, a, Denied)
		assert.Zero(t, f.pools[1].deniedMs[a.Urgency])
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
