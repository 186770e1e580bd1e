package balance

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/registry"
)

// Upstreams that asked a box for rest got its next requests all the same, as what they say in
// answers was heard nowhere: an upstream that refuses holds nothing, and looked the least loaded.

const restMs clock.Millis = 3000

// rested returns a fixture whose first choice for a session asked for rest.
func rested(t *testing.T, count int) (f *fixture, first *Lease) {
	t.Helper()
	f = newFixture(t, count).started()
	first = f.pick(t, sticky("s"))
	first.Rest(restMs, "r")
	first.Release(Neutral)
	return f, first
}

// assertTakes checks whether some of many requests of a pool go to an upstream.
func assertTakes(t *testing.T, f *fixture, id string, want bool) {
	t.Helper()
	taken := false
	for i := range 50 {
		for _, ask := range []Ask{{Pool: "p"}, sticky("s"), sticky(fmt.Sprint("s", i))} {
			l, err := f.Pick(ask)
			if err != nil {
				continue
			}
			taken = taken || l.ID == id
			l.Release(Succeeded)
		}
	}
	assert.Equal(t, want, taken)
}

func TestRest(t *testing.T) {
	t.Run("an upstream at rest gets nothing, and is the session's first again after it", func(t *testing.T) {
		f, first := rested(t, 6)
		l := f.pick(t, sticky("s"))
		assert.Equal(t, Passed{Upstream: first.ID, Why: PassedRest}, l.Passed)
		l.Release(Succeeded)
		f.now += restMs - 1
		assertTakes(t, f, first.ID, false)
		f.now++
		assert.Equal(t, first.ID, f.pick(t, sticky("s")).ID)
	})
	t.Run("the latest end holds", func(t *testing.T) {
		f, first := rested(t, 3)
		first.Rest(restMs/2, "later")
		f.now += restMs - 1
		assertTakes(t, f, first.ID, false)
	})
	t.Run("it is news once a rest", func(t *testing.T) {
		f, first := rested(t, 3)
		assert.False(t, first.Rest(restMs, "again"))
		f.now += restMs
		assert.True(t, first.Rest(restMs, "again"))
	})
	t.Run("it holds though the others are ejected", func(t *testing.T) {
		f, first := rested(t, 3)
		for range 2 {
			l := f.pick(t, Ask{Pool: "p"})
			l.Release(Unreachable)
		}
		assertTakes(t, f, first.ID, false)
	})
	t.Run("ejection and its end leave it as it is", func(t *testing.T) {
		f, first := rested(t, 3)
		first.manager.judge(first.Member, Unreachable)
		f.now += restMs - 1
		assertTakes(t, f, first.ID, false)
	})
	t.Run("an entry that changes, lapses and comes back leaves it as it is", func(t *testing.T) {
		f, first := rested(t, 3)
		f.SetUpstreams(nil)
		f.now += restMs / 2
		f.list[0].Address, f.list[1].Slots, f.list[2].Draining = "127.0.0.1:99", 9, false
		f.SetUpstreams(f.list)
		f.now += restMs/2 - 1
		assertTakes(t, f, first.ID, false)
		f.now++
		assertTakes(t, f, first.ID, true)
	})
	t.Run("a cut that heals leaves it as it is", func(t *testing.T) {
		f, first := rested(t, 3)
		f.Probed(first.FailureDomain, false)
		f.Probed(first.FailureDomain, true)
		assertTakes(t, f, first.ID, false)
	})
	t.Run("a new start ends it, if it was surely asked for before", func(t *testing.T) {
		f := newFixture(t, 3).started()
		first := f.pick(t, sticky("s"))
		first.Rest(10*restMs, "r")
		first.Release(Neutral)
		f.now += newsLateMs + 1
		assertTakes(t, f, first.ID, false)
		f.restart(first.ID)
		assertTakes(t, f, first.ID, true)
	})
	t.Run("in doubt it goes on", func(t *testing.T) {
		// A server crashed while a box sent it nothing, and its next life refused the box's next
		// request 0.7 s before its start was told.
		f, first := rested(t, 3)
		f.now += 700
		f.restart(first.ID)
		assertTakes(t, f, first.ID, false)
		f.now += restMs - 700
		assertTakes(t, f, first.ID, true)
	})
	t.Run("a request that was picked before is not sent", func(t *testing.T) {
		f := newFixture(t, 3)
		one, two := f.pick(t, sticky("s")), f.pick(t, sticky("s"))
		require.Equal(t, one.ID, two.ID)
		require.NoError(t, two.MaySend())
		one.Rest(restMs, "r")
		require.ErrorIs(t, two.MaySend(), ErrAtRest)
		f.now += restMs
		require.NoError(t, two.MaySend())
	})
	t.Run("nothing is fetched from an upstream at rest", func(t *testing.T) {
		f := newFixture(t, 6)
		ask := sticky("s")
		ask.Transfers = true
		first := f.pick(t, ask)
		first.Answered()
		first.Release(Succeeded)
		first.Rest(restMs, "r")
		elsewhere := f.pick(t, ask)
		assert.Empty(t, elsewhere.FetchFrom)
		assert.Equal(t, Reading{Tokens: 1000, Why: ReadBehind}, elsewhere.Reading)
	})
	t.Run("single requests try it after its rest, until one is answered", func(t *testing.T) {
		f, first := rested(t, 6)
		f.now += restMs
		trial := f.pick(t, sticky("s"))
		assert.Equal(t, first.ID, trial.ID)
		assert.NotEqual(t, first.ID, f.pick(t, sticky("s")).ID)
		trial.Answered()
		assert.Equal(t, first.ID, f.pick(t, sticky("s")).ID)
	})
	t.Run("an answer that comes while the entry is gone, or after, counts", func(t *testing.T) {
		f := newFixture(t, 3).started()
		one, two := f.pick(t, sticky("s")), f.pick(t, sticky("s"))
		require.Equal(t, one.ID, two.ID)
		f.SetUpstreams(nil)
		one.Rest(restMs, "r")
		f.SetUpstreams(f.list)
		assertTakes(t, f, one.ID, false)
		f.now += restMs
		two.Rest(restMs, "r")
		assertTakes(t, f, one.ID, false)
	})
	t.Run("one that its next life asked for before the former's entry was gone goes on", func(t *testing.T) {
		f := newFixture(t, 3).started()
		first := f.pick(t, sticky("s"))
		first.Release(Unreachable)
		f.now += clock.Second
		first.Rest(restMs, "r")
		f.SetUpstreams(nil)
		f.now += clock.Second
		f.restart(first.ID)
		assertTakes(t, f, first.ID, false)
		f.now += restMs - clock.Second
		assertTakes(t, f, first.ID, true)
	})
	t.Run("one that its next life asked for before the news of its start goes on", func(t *testing.T) {
		// A server crashed, was back under its id within a second, and asked six boxes for rest before
		// they heard of its start: the rest was laid to the former life, and 4 to 8 requests came in it.
		f := newFixture(t, 3).started()
		first := f.pick(t, sticky("s"))
		first.Release(Unreachable)
		f.now += clock.Second
		next := &Lease{Member: first.Member, manager: f.Manager, path: first.path}
		next.Rest(restMs, "r")
		f.now += clock.Second
		f.restart(first.ID)
		assertTakes(t, f, first.ID, false)
		f.now += restMs - clock.Second
		assertTakes(t, f, first.ID, true)
	})
	t.Run("words of upstreams that are gone are forgotten in time", func(t *testing.T) {
		f, _ := rested(t, 3)
		f.SetUpstreams(nil)
		f.Refresh()
		assert.Len(t, f.unseen, 3)
		f.now += wordMemoryMs + 1
		f.Refresh()
		assert.Empty(t, f.unseen)
	})
}

func TestAllAtRest(t *testing.T) {
	rest := func(t *testing.T, spans ...clock.Millis) *fixture {
		t.Helper()
		f := newFixture(t, len(spans))
		for i, span := range spans {
			l := f.pick(t, Ask{Pool: "p"})
			l.Rest(span, fmt.Sprint("r", i))
			l.Release(Neutral)
		}
		return f
	}
	t.Run("says which one ends first and which request it was that", func(t *testing.T) {
		f := rest(t, 4000, 2000, 3000)
		f.now += 500
		_, err := f.Pick(Ask{Pool: "p"})
		require.ErrorIs(t, err, ErrNoUpstream)
		var all *AllRestError
		require.ErrorAs(t, err, &all)
		assert.Equal(t, 3, all.Upstreams)
		assert.EqualValues(t, 1500, all.EndsMs)
		assert.Equal(t, "r1", all.Request)
		assert.Equal(t, map[string]int{"p": 3}, f.Resting())
	})
	t.Run("callers come back after the first end, one after the other", func(t *testing.T) {
		f := rest(t, 8000, 7000)
		last := clock.Millis(0)
		for range 50 {
			span := f.ComeBackMs("p", 0)
			assert.Greater(t, span, max(7000, last))
			last = span
		}
	})
	t.Run("nobody is told to stay away for longer than a minute and a queue", func(t *testing.T) {
		f := rest(t, 24*60*60*clock.Second)
		assert.LessOrEqual(t, f.ComeBackMs("p", 0), mostRestToldMs+mostComeBackMs)
	})
	t.Run("with one that takes work they come back soon", func(t *testing.T) {
		f := rest(t, 8000)
		f.list = append(f.list, registry.Upstream{ID: "new", Pool: "p", Address: "127.0.0.1:50", FailureDomain: "d0", Slots: 8})
		f.SetUpstreams(f.list)
		assert.Less(t, f.ComeBackMs("p", 0), clock.Second)
	})
	t.Run("one that leaves is not waited for", func(t *testing.T) {
		f := rest(t, 8000, 2000)
		for _, member := range f.pools["p"] {
			if member.said.restUntilMs-f.now == 2000 {
				(&Lease{Member: member, manager: f.Manager}).Leave()
			}
		}
		assert.Greater(t, f.ComeBackMs("p", 0), clock.Millis(8000))
	})
}

func TestLeaving(t *testing.T) {
	leaves := func(t *testing.T) (*fixture, *Lease) {
		t.Helper()
		f := newFixture(t, 4).started()
		l := f.pick(t, sticky("s"))
		assert.True(t, l.Leave())
		assert.False(t, l.Leave(), "no news")
		return f, l
	}
	t.Run("an upstream that leaves gets nothing more", func(t *testing.T) {
		f, l := leaves(t)
		assertTakes(t, f, l.ID, false)
		assert.Equal(t, PassedLeaving, f.pick(t, sticky("s")).Passed.Why)
		require.ErrorIs(t, l.MaySend(), ErrLeaving)
	})
	t.Run("whatever its entry says after", func(t *testing.T) {
		f, l := leaves(t)
		f.SetUpstreams(nil)
		f.now += wordMemoryMs / 2
		f.SetUpstreams(f.list)
		assertTakes(t, f, l.ID, false)
	})
	t.Run("until it starts again", func(t *testing.T) {
		f, l := leaves(t)
		f.restart(l.ID)
		assertTakes(t, f, l.ID, true)
	})
	t.Run("an entry that said so first makes it no news", func(t *testing.T) {
		f := newFixture(t, 1).started()
		l := f.pick(t, sticky("s"))
		f.list[0].Draining = true
		f.SetUpstreams(f.list)
		assert.False(t, l.Leave())
	})
	t.Run("what it keeps is fetched until it is gone", func(t *testing.T) {
		f, l := leaves(t)
		l.Answered()
		ask := sticky("s")
		ask.Transfers = true
		assert.Equal(t, l.Address, f.pick(t, ask).FetchFrom)
	})
}
