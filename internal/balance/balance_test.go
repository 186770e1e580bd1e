package balance

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/prompt"
	"dooryard.example/dooryard/internal/registry"
)

type fixture struct {
	*Manager
	now  clock.Millis
	list []registry.Upstream
}

func newFixture(t *testing.T, count int) *fixture {
	t.Helper()
	f := &fixture{now: 1000, list: testUpstreams("u", count, 8)}
	f.Manager = newTestManager(&f.now, func(int) int { return 0 }, f.list, Settings{
		FailureDomain: "d0", BoundPercent: 140, PanicPercent: 60,
	})
	return f
}

// setEntry changes the registry entry of an upstream.
func (f *fixture) setEntry(id string, change func(u *registry.Upstream)) {
	f.list = slices.Clone(f.list)
	change(&f.list[slices.IndexFunc(f.list, func(u registry.Upstream) bool { return u.ID == id })])
	f.SetUpstreams(f.list)
}

func sticky(session string) PickRequest {
	return PickRequest{Pool: "p", Sticky: true, Prompt: prompt.Prompt{{ID: session, Tokens: 1000}, {ID: "own", Tokens: 10}}}
}

func (f *fixture) pick(t *testing.T, request PickRequest) *Lease {
	t.Helper()
	l, err := f.Pick(request)
	require.NoError(t, err)
	return l
}

func TestPickSticky(t *testing.T) {
	t.Run("a session returns to the same engine on every box", func(t *testing.T) {
		one, two := newFixture(t, 12), newFixture(t, 12)
		for i := range 50 {
			a := sticky(fmt.Sprint("s", i))
			first := one.pick(t, a)
			first.Release(Succeeded)
			second := two.pick(t, a)
			second.Release(Succeeded)
			assert.Equal(t, first.ID, second.ID)
		}
	})
	t.Run("a session that surges is spread and stays below twice the mean", func(t *testing.T) {
		f := newFixture(t, 12)
		for range 240 {
			f.pick(t, sticky("hot"))
		}
		for id, count := range f.InFlight() {
			assert.LessOrEqual(t, count, 2*240/12+3, id)
		}
	})
	t.Run("the requests that other boxes have in flight count", func(t *testing.T) {
		f := newFixture(t, 3)
		first := f.pick(t, sticky("s"))
		first.Release(Succeeded)
		f.SetOthersInFlight(map[namekey.Key]int{namekey.Of(first.ID): 30})
		assert.NotEqual(t, first.ID, f.pick(t, sticky("s")).ID)
	})
	t.Run("an engine's own load report counts while it is recent", func(t *testing.T) {
		f := newFixture(t, 3)
		first := f.pick(t, sticky("s"))
		first.Release(Succeeded)
		first.RecordLoad(30)
		second := f.pick(t, sticky("s"))
		second.Release(Succeeded)
		assert.NotEqual(t, first.ID, second.ID)
		f.now += reportTTLMs
		assert.Equal(t, first.ID, f.pick(t, sticky("s")).ID)
	})
	t.Run("an engine that receives the overflow of a session fetches from the one that caches it", func(t *testing.T) {
		f := newFixture(t, 3)
		a := sticky("s")
		a.Transfers = true
		first := f.pick(t, a)
		assert.Empty(t, first.FetchFrom)
		f.SetOthersInFlight(map[namekey.Key]int{namekey.Of(first.ID): 30})
		assert.Equal(t, first.Address, f.pick(t, a).FetchFrom)
	})
}

func TestPickLeast(t *testing.T) {
	f := newFixture(t, 3)
	t.Run("prefers its own failure domain while there is capacity", func(t *testing.T) {
		l := f.pick(t, PickRequest{Pool: "p"})
		assert.Equal(t, "u0", l.ID)
	})
	t.Run("uses other domains before its own one is full", func(t *testing.T) {
		seen := map[string]bool{}
		for range 8 {
			seen[f.pick(t, PickRequest{Pool: "p"}).ID] = true
		}
		assert.Len(t, seen, 3)
	})
}

func TestCandidates(t *testing.T) {
	t.Run("a draining upstream receives nothing", func(t *testing.T) {
		f := newFixture(t, 2)
		f.list[0].Draining = true
		f.SetUpstreams(f.list)
		for range 10 {
			assert.Equal(t, "u1", f.pick(t, PickRequest{Pool: "p"}).ID)
		}
	})
	t.Run("an unreachable upstream is ejected for a while", func(t *testing.T) {
		f := newFixture(t, 3)
		l := f.pick(t, PickRequest{Pool: "p"})
		l.Release(Unreachable)
		assert.NotEqual(t, l.ID, f.pick(t, PickRequest{Pool: "p"}).ID)
		f.now += 1000
		assert.Equal(t, l.ID, f.pick(t, PickRequest{Pool: "p"}).ID)
	})
	t.Run("when most upstreams seem down, all are tried", func(t *testing.T) {
		f := newFixture(t, 3)
		for _, tried := range [][]string{nil, {"u0"}, {"u0", "u1"}} {
			f.pick(t, PickRequest{Pool: "p", Tried: tried}).Release(Unreachable)
		}
		f.pick(t, PickRequest{Pool: "p"})
	})
	t.Run("no upstream of another pool is chosen", func(t *testing.T) {
		_, err := newFixture(t, 1).Pick(PickRequest{Pool: "q"})
		require.ErrorIs(t, err, ErrNoUpstream)
	})
	t.Run("the same address with another ID is another upstream", func(t *testing.T) {
		f := newFixture(t, 1)
		f.pick(t, PickRequest{Pool: "p"})
		f.list[0].ID = "new"
		f.SetUpstreams(f.list)
		assert.Empty(t, f.InFlight())
	})
}

func TestFailureRate(t *testing.T) {
	// respond has the upstreams respond in turn. An upstream fails in every nth round, where n is its
	// value in failEvery, or never if it has none.
	respond := func(f *fixture, rounds int, failEvery map[string]int) {
		for round := 1; round <= rounds; round++ {
			f.now += 100
			for _, u := range f.list {
				tried := []string{}
				for _, other := range f.list {
					if other.ID != u.ID {
						tried = append(tried, other.ID)
					}
				}
				l, err := f.Pick(PickRequest{Pool: "p", Tried: tried})
				if err != nil {
					continue
				}
				if every := failEvery[u.ID]; every > 0 && round%every == 0 {
					l.Release(Failed)
					continue
				}
				l.RecordResponseStart()
				l.Release(Succeeded)
			}
		}
	}
	t.Run("an upstream that fails every other time is ejected", func(t *testing.T) {
		f := newFixture(t, 3)
		respond(f, 8, map[string]int{"u0": 2})
		assert.NotEqual(t, "u0", f.pick(t, PickRequest{Pool: "p"}).ID)
	})
	t.Run("no upstream is ejected when all fail alike", func(t *testing.T) {
		f := newFixture(t, 3)
		respond(f, 8, map[string]int{"u0": 2, "u1": 2, "u2": 2})
		assert.Equal(t, "u0", f.pick(t, PickRequest{Pool: "p"}).ID)
	})
	t.Run("an upstream that fails occasionally is not ejected", func(t *testing.T) {
		f := newFixture(t, 3)
		respond(f, 40, map[string]int{"u0": 7, "u1": 7, "u2": 7})
		assert.Equal(t, "u0", f.pick(t, PickRequest{Pool: "p"}).ID)
	})
}

func TestFetchFrom(t *testing.T) {
	// ask returns a request whose prompt begins with a part, "head", that many sessions share.
	ask := func(session string) PickRequest {
		return PickRequest{Pool: "p", Sticky: true, Transfers: true, Prompt: prompt.Prompt{
			{ID: "head", Tokens: 2000}, {ID: session, Tokens: 5000}, {ID: "own", Tokens: 10},
		}}
	}
	t.Run("an engine that caches the session is preferred over one that caches only the head", func(t *testing.T) {
		f := newFixture(t, 6)
		f.pick(t, ask("other")).Release(Succeeded)
		holder := f.pick(t, ask("s"))
		holder.Release(Succeeded)
		f.SetOthersInFlight(map[namekey.Key]int{namekey.Of(holder.ID): 30})
		assert.Equal(t, holder.Address, f.pick(t, ask("s")).FetchFrom)
	})
	t.Run("nothing is fetched that no engine is known to cache", func(t *testing.T) {
		f := newFixture(t, 6)
		holder := f.pick(t, ask("s"))
		holder.Release(Succeeded)
		// Without these records, this box is in the same state as if another box had sent the first
		// request.
		clear(holder.parts)
		f.SetOthersInFlight(map[namekey.Key]int{namekey.Of(holder.ID): 30})
		assert.Empty(t, f.pick(t, ask("s")).FetchFrom)
	})
	t.Run("a new session fetches its head from an engine that caches it", func(t *testing.T) {
		f := newFixture(t, 6)
		holder := f.pick(t, ask("other"))
		for i := range 50 {
			l := f.pick(t, ask(fmt.Sprint("new", i)))
			l.Release(Succeeded)
			if l.ID != holder.ID {
				assert.NotEmpty(t, l.FetchFrom)
				return
			}
		}
	})
	t.Run("nothing is fetched that the engine has just prefilled", func(t *testing.T) {
		f := newFixture(t, 6)
		f.pick(t, ask("s")).Release(Succeeded)
		assert.Empty(t, f.pick(t, ask("s")).FetchFrom)
	})
}
