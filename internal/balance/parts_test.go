package balance

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/prompt"
	"dooryard.example/dooryard/internal/registry"
)

// assertTold checks which parts a box tells others of, and that they name an engine.
func assertTold(t *testing.T, f *fixture, engine string, parts ...string) {
	t.Helper()
	want := make([]prompt.Kept, 0, len(parts))
	for _, part := range parts {
		want = append(want, prompt.Kept{Part: namekey.Of(part), Upstream: namekey.Of(engine)})
	}
	told, _ := f.KeptSince(0, maxKept)
	assert.ElementsMatch(t, want, told)
}

func TestKept(t *testing.T) {
	ask := Ask{Pool: "p", Sticky: true, Transfers: true, Prompt: prompt.Prompt{
		{ID: "head", Tokens: 2000}, {ID: "s", Tokens: 5000}, {ID: "own", Tokens: 10},
	}}
	t.Run("an engine fetches a session from where another box had it read", func(t *testing.T) {
		f := newFixture(t, 6)
		var holder string
		for _, u := range f.list {
			if u.ID != f.pick(t, ask).ID {
				holder = u.Address
				f.forget()
				f.LearnKept([]prompt.Kept{{Part: namekey.Of("s"), Upstream: namekey.Of(u.ID)}})
				break
			}
		}
		assert.Equal(t, holder, f.pick(t, ask).FetchFrom)
	})
	t.Run("nothing is fetched that another box had the engine read", func(t *testing.T) {
		f := newFixture(t, 6)
		first := f.pick(t, ask)
		f.forget()
		f.LearnKept([]prompt.Kept{{Part: namekey.Of("s"), Upstream: namekey.Of(first.ID)}})
		assert.Empty(t, f.pick(t, ask).FetchFrom)
	})
	t.Run("an engine whose entry has just gone is still a source, for a while", func(t *testing.T) {
		f := newFixture(t, 6)
		left := f.pick(t, ask)
		left.Release(Succeeded)
		f.SetUpstreams(slices.DeleteFunc(slices.Clone(f.list), func(u registry.Upstream) bool { return u.ID == left.ID }))
		assert.Equal(t, left.Address, f.pick(t, ask).FetchFrom)
		f.forget()
		f.now += lingerMs + 1
		f.Refresh()
		assert.NotEqual(t, left.Address, f.pick(t, ask).FetchFrom)
	})
	t.Run("others are told once the engine answers", func(t *testing.T) {
		f := newFixture(t, 6)
		l := f.pick(t, ask)
		assertTold(t, f, l.ID)
		l.Answered()
		assertTold(t, f, l.ID, "head", "s")
	})
	t.Run("others are told again only when their word grows old", func(t *testing.T) {
		f := newFixture(t, 6)
		again := func() *Lease {
			l := f.pick(t, ask)
			l.Answered()
			l.Release(Succeeded)
			return l
		}
		again()
		l := again()
		assertTold(t, f, l.ID, "head", "s")
		f.now += retellMs + 1
		again()
		assertTold(t, f, l.ID, "head", "s", "head", "s")
	})
	t.Run("what an engine was sent and may not have read does not count", func(t *testing.T) {
		for _, result := range []Result{Unreachable, Broken} {
			f := newFixture(t, 6)
			l := f.pick(t, ask)
			l.Release(result)
			assert.Zero(t, l.parts.held(ask.Prompt.Shared().Keyed(), f.now))
			assertTold(t, f, l.ID)
		}
	})
	t.Run("an engine that is not known is passed over", func(t *testing.T) {
		f := newFixture(t, 2)
		f.LearnKept([]prompt.Kept{{Part: 1, Upstream: namekey.Of("gone")}})
		f.pick(t, ask)
	})
	t.Run("a reader far behind gets the newest, in pieces", func(t *testing.T) {
		log := keptLog{}
		for i := range 5 * maxKept {
			log.add(prompt.Kept{Part: namekey.Key(i)})
		}
		read := []prompt.Kept{}
		from := int64(0)
		for from < log.next {
			var list []prompt.Kept
			list, from = log.since(from, 50)
			read = append(read, list...)
		}
		assert.GreaterOrEqual(t, len(read), maxKept)
		for i, one := range read {
			assert.EqualValues(t, 5*maxKept-len(read)+i, one.Part, fmt.Sprint("at ", i))
		}
	})
}

// forget empties what the box knows of engines' caches.
func (f *fixture) forget() {
	for _, member := range f.byID {
		clear(member.parts)
	}
}
