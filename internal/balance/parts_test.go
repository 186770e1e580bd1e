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

// assertAnnounced checks which parts a box announces to others, and that they name an engine.
func assertAnnounced(t *testing.T, f *fixture, engine string, parts ...string) {
	t.Helper()
	want := make([]prompt.CachedPart, 0, len(parts))
	for _, part := range parts {
		want = append(want, prompt.CachedPart{Part: namekey.Of(part), Upstream: namekey.Of(engine)})
	}
	announced, _ := f.AnnouncementsSince(0, maxAnnouncements)
	assert.ElementsMatch(t, want, announced)
}

func TestAnnouncedParts(t *testing.T) {
	ask := PickRequest{Pool: "p", Sticky: true, Transfers: true, Prompt: prompt.Prompt{
		{ID: "head", Tokens: 2000}, {ID: "s", Tokens: 5000}, {ID: "own", Tokens: 10},
	}}
	t.Run("an engine fetches a session from where another box had it prefilled", func(t *testing.T) {
		f := newFixture(t, 6)
		var holder string
		for _, u := range f.list {
			if u.ID != f.pick(t, ask).ID {
				holder = u.Address
				f.clearParts()
				f.RecordAnnouncements([]prompt.CachedPart{{Part: namekey.Of("s"), Upstream: namekey.Of(u.ID)}})
				break
			}
		}
		assert.Equal(t, holder, f.pick(t, ask).FetchFrom)
	})
	t.Run("nothing is fetched that another box had the engine prefill", func(t *testing.T) {
		f := newFixture(t, 6)
		first := f.pick(t, ask)
		f.clearParts()
		f.RecordAnnouncements([]prompt.CachedPart{{Part: namekey.Of("s"), Upstream: namekey.Of(first.ID)}})
		assert.Empty(t, f.pick(t, ask).FetchFrom)
	})
	t.Run("an engine whose entry has just gone remains a fetch source for a while", func(t *testing.T) {
		f := newFixture(t, 6)
		departed := f.pick(t, ask)
		departed.Release(Succeeded)
		f.SetUpstreams(slices.DeleteFunc(slices.Clone(f.list), func(u registry.Upstream) bool { return u.ID == departed.ID }))
		assert.Equal(t, departed.Address, f.pick(t, ask).FetchFrom)
		f.clearParts()
		f.now += departedTTLMs + 1
		f.Refresh()
		assert.NotEqual(t, departed.Address, f.pick(t, ask).FetchFrom)
	})
	t.Run("parts are announced once the engine responds", func(t *testing.T) {
		f := newFixture(t, 6)
		l := f.pick(t, ask)
		assertAnnounced(t, f, l.ID)
		l.RecordResponseStart()
		assertAnnounced(t, f, l.ID, "head", "s")
	})
	t.Run("parts are announced again only when their last record is old", func(t *testing.T) {
		f := newFixture(t, 6)
		again := func() *Lease {
			l := f.pick(t, ask)
			l.RecordResponseStart()
			l.Release(Succeeded)
			return l
		}
		again()
		l := again()
		assertAnnounced(t, f, l.ID, "head", "s")
		f.now += reannounceMs + 1
		again()
		assertAnnounced(t, f, l.ID, "head", "s", "head", "s")
	})
	t.Run("parts that an engine may not have prefilled do not count", func(t *testing.T) {
		for _, result := range []Result{Unreachable, Broken} {
			f := newFixture(t, 6)
			l := f.pick(t, ask)
			l.Release(result)
			assert.Zero(t, l.parts.cachedTokens(ask.Prompt.Shared().KeyedParts(), f.now))
			assertAnnounced(t, f, l.ID)
		}
	})
	t.Run("an announcement for an unknown engine is ignored", func(t *testing.T) {
		f := newFixture(t, 2)
		f.RecordAnnouncements([]prompt.CachedPart{{Part: 1, Upstream: namekey.Of("gone")}})
		f.pick(t, ask)
	})
	t.Run("a reader that is far behind gets the newest entries, in batches", func(t *testing.T) {
		log := announceLog{}
		for i := range 5 * maxAnnouncements {
			log.add(prompt.CachedPart{Part: namekey.Key(i)})
		}
		read := []prompt.CachedPart{}
		from := int64(0)
		for from < log.next {
			var list []prompt.CachedPart
			list, from = log.since(from, 50)
			read = append(read, list...)
		}
		assert.GreaterOrEqual(t, len(read), maxAnnouncements)
		for i, entry := range read {
			assert.EqualValues(t, 5*maxAnnouncements-len(read)+i, entry.Part, fmt.Sprint("at ", i))
		}
	})
}

// clearParts clears what the box knows of the engines' caches.
func (f *fixture) clearParts() {
	for _, member := range f.byID {
		clear(member.parts)
	}
}
