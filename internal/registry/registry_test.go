package registry

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/position"
)

type fixture struct {
	*Registry
	now clock.Millis
}

func newFixture() *fixture {
	f := &fixture{now: 1000}
	f.Registry = New(func() clock.Millis { return f.now })
	return f
}

func put(id string, revision int64) Change {
	return Change{Upstream: Upstream{ID: id, Pool: "p", Address: "127.0.0.1:1"}, Position: position.At(0, revision)}
}

func gone(id string, revision int64, lapse clock.Millis) Change {
	return Change{Upstream: Upstream{ID: id}, Gone: true, Position: position.At(0, revision), LapseMs: lapse}
}

func assertIDs(t *testing.T, r *Registry, want ...string) {
	t.Helper()
	ids := []string{}
	for _, u := range r.All() {
		ids = append(ids, u.ID)
	}
	assert.ElementsMatch(t, want, ids)
}

func TestApply(t *testing.T) {
	t.Run("an older change is void, whatever order sources tell it in", func(t *testing.T) {
		f := newFixture()
		f.Apply([]Change{put("a", 1), gone("a", 5, 0)})
		assert.Empty(t, f.Apply([]Change{put("a", 3)}))
		assertIDs(t, f.Registry)
	})
	t.Run("an entry that disappears is given up at once", func(t *testing.T) {
		f := newFixture()
		f.Apply([]Change{put("a", 1), put("b", 2), gone("a", 3, 0)})
		assertIDs(t, f.Registry, "b")
	})
	t.Run("an entry that lapsed with its store may come back", func(t *testing.T) {
		f := newFixture()
		f.Apply([]Change{put("a", 1), put("b", 2)})
		f.Apply([]Change{gone("a", 3, 1700), gone("b", 4, 1700)})
		assertIDs(t, f.Registry, "a", "b")
		f.Apply([]Change{put("a", 5)})
		f.now += 1700
		f.Expire()
		assertIDs(t, f.Registry, "a")
	})
	t.Run("an upstream that said it leaves gets no time to come back", func(t *testing.T) {
		f := newFixture()
		leaving := put("a", 1)
		leaving.Upstream.Draining = true
		f.Apply([]Change{leaving, gone("a", 2, 1700)})
		assertIDs(t, f.Registry)
	})
}

func TestReplace(t *testing.T) {
	t.Run("what is not listed has disappeared", func(t *testing.T) {
		f := newFixture()
		f.Apply([]Change{put("a", 1), put("b", 2)})
		f.Replace([]Change{put("b", 2), put("c", 3)}, position.At(0, 9), 0)
		assertIDs(t, f.Registry, "b", "c")
		assert.Equal(t, position.At(0, 9), f.Position())
	})
	t.Run("what is newer than the list stays", func(t *testing.T) {
		f := newFixture()
		f.Apply([]Change{put("a", 12)})
		f.Replace([]Change{put("b", 2)}, position.At(0, 9), 0)
		assertIDs(t, f.Registry, "a", "b")
	})
}

func TestSince(t *testing.T) {
	t.Run("tells single changes while it knows them all", func(t *testing.T) {
		from, to := newFixture(), newFixture()
		from.Apply([]Change{put("a", 1), put("b", 2)})
		to.Merge(from.Since(position.Position{}))
		from.Apply([]Change{gone("a", 3, 0)})
		update := from.Since(to.Position())
		assert.False(t, update.Whole)
		assert.Len(t, update.Changes, 1)
		to.Merge(update)
		assertIDs(t, to.Registry, "b")
		assert.Equal(t, from.Position(), to.Position())
	})
	t.Run("tells the whole when its journal begins later", func(t *testing.T) {
		from, to := newFixture(), newFixture()
		from.Replace([]Change{put("a", 4)}, position.At(0, 7), 0)
		to.Apply([]Change{put("old", 1)})
		update := from.Since(to.Position())
		assert.True(t, update.Whole)
		to.Merge(update)
		assertIDs(t, to.Registry, "a")
	})
	t.Run("forgets the oldest changes and says so by telling the whole", func(t *testing.T) {
		from, to := newFixture(), newFixture()
		for i := range int64(4 * journalLength) {
			from.Apply([]Change{put("a", i+1)})
		}
		assert.True(t, from.Since(position.At(0, 1)).Whole)
		to.Merge(from.Since(position.At(0, 1)))
		assertIDs(t, to.Registry, "a")
	})
}
