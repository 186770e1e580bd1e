package balance

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/prompt"
	"dooryard.example/dooryard/internal/registry"
)

// A server that starts again under its id holds and knows nothing of before. Boxes that went
// by the id fetched from it what its former life had read, passed it over for a load that was
// gone, and left it ejected.

// restart has an upstream start again under its id and at its address.
func (f *fixture) restart(id string) {
	list := slices.Clone(f.list)
	for i := range list {
		if list[i].ID == id {
			list[i].StartedMs += 1000
		}
	}
	f.list = list
	f.SetUpstreams(list)
}

// started gives all upstreams a start.
func (f *fixture) started() *fixture {
	for i := range f.list {
		f.list[i].StartedMs = 1
	}
	f.SetUpstreams(f.list)
	return f
}

func keyOf(list []registry.Upstream, id string) namekey.Key {
	at := slices.IndexFunc(list, func(u registry.Upstream) bool { return u.ID == id })
	return list[at].Key()
}

func TestRestart(t *testing.T) {
	ask := sticky("s")
	ask.Transfers = true
	t.Run("what it kept is gone", func(t *testing.T) {
		f := newFixture(t, 6).started()
		former := f.pick(t, ask)
		former.Answered()
		former.Release(Succeeded)
		f.restart(former.ID)
		again := f.pick(t, ask)
		assert.Equal(t, former.ID, again.ID)
		assert.Equal(t, 1000, again.Reading.Tokens, "it reads the prompt anew")
		assert.Equal(t, ReadLost, again.Reading.Why)
	})
	t.Run("nothing is fetched from its former life", func(t *testing.T) {
		f := newFixture(t, 6).started()
		former := f.pick(t, ask)
		former.Answered()
		former.Release(Succeeded)
		f.restart(former.ID)
		f.SetOthers(map[namekey.Key]int{keyOf(f.list, former.ID): 30})
		elsewhere := f.pick(t, ask)
		assert.NotEqual(t, former.ID, elsewhere.ID)
		assert.Empty(t, elsewhere.FetchFrom)
	})
	t.Run("its load and what other boxes said of the former are gone", func(t *testing.T) {
		f := newFixture(t, 3).started()
		former := f.pick(t, ask)
		old := keyOf(f.list, former.ID)
		f.SetOthers(map[namekey.Key]int{old: 30})
		f.restart(former.ID)
		f.SetOthers(map[namekey.Key]int{old: 30})
		again := f.pick(t, ask)
		assert.Equal(t, former.ID, again.ID)
		assert.Zero(t, again.Load)
		former.Release(Broken)
		assert.Equal(t, 1, f.InFlight()[keyOf(f.list, former.ID)], "the former's end is not the new one's")
	})
	t.Run("a word of its former life on its load is void", func(t *testing.T) {
		f := newFixture(t, 3).started()
		former := f.pick(t, ask)
		f.restart(former.ID)
		former.Report(30)
		assert.Zero(t, f.pick(t, ask).Load)
	})
	t.Run("a late word of other boxes on what the former kept is void", func(t *testing.T) {
		f := newFixture(t, 6).started()
		former := f.pick(t, ask)
		old := keyOf(f.list, former.ID)
		f.restart(former.ID)
		f.LearnKept([]prompt.Kept{{Part: namekey.Of("s"), Upstream: old}})
		assert.Equal(t, 1000, f.pick(t, ask).Reading.Tokens)
	})
	t.Run("it is not ejected for its former life", func(t *testing.T) {
		f := newFixture(t, 6).started()
		former := f.pick(t, ask)
		former.Release(Unreachable)
		assert.NotEqual(t, former.ID, f.pick(t, ask).ID)
		f.restart(former.ID)
		assert.Equal(t, former.ID, f.pick(t, ask).ID)
	})
}
