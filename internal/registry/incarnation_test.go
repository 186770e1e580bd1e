package registry

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/position"
)

// Servers may start again under the id that they had. Boxes that took an id for one life
// believed of the new one what held of the former: what it keeps, what it runs, that it
// leaves; and a word of the former that came late undid the new one's.

// started is a put of one incarnation.
func started(id string, at clock.Millis, revision int64) Change {
	c := put(id, revision)
	c.Upstream.StartedMs = at
	return c
}

func assertStarted(t *testing.T, f *fixture, want clock.Millis) {
	t.Helper()
	all := f.All()
	if assert.Len(t, all, 1) {
		assert.Equal(t, want, all[0].StartedMs)
	}
}

func TestIncarnations(t *testing.T) {
	t.Run("a new start is news, with the address that it had", func(t *testing.T) {
		f := newFixture()
		f.Apply([]Change{started("a", 100, 1)})
		assert.Len(t, f.Apply([]Change{started("a", 200, 2)}), 1)
		assertStarted(t, f, 200)
	})
	t.Run("an older start that arrives after a newer one is void, whatever its revision", func(t *testing.T) {
		f := newFixture()
		f.Apply([]Change{started("a", 200, 1)})
		assert.Empty(t, f.Apply([]Change{started("a", 100, 2)}))
		assertStarted(t, f, 200)
	})
	t.Run("also once the newer one is gone", func(t *testing.T) {
		f := newFixture()
		f.Apply([]Change{started("a", 200, 1), gone("a", 2, 0)})
		assert.Empty(t, f.Apply([]Change{started("a", 100, 3)}))
		assertIDs(t, f.Registry)
		f.Apply([]Change{started("a", 200, 4)})
		assertStarted(t, f, 200)
	})
	t.Run("also among all entries", func(t *testing.T) {
		f := newFixture()
		f.Apply([]Change{started("a", 200, 1)})
		f.Replace([]Change{started("a", 100, 2)}, position.At(0, 3), 0)
		assertStarted(t, f, 200)
	})
	t.Run("the former's leaving is not the new one's", func(t *testing.T) {
		f := newFixture()
		leaving := started("a", 100, 1)
		leaving.Upstream.Draining = true
		f.Apply([]Change{leaving, started("a", 200, 2)})
		assert.False(t, f.All()[0].Draining)
	})
	t.Run("an entry without a start goes on as before", func(t *testing.T) {
		f := newFixture()
		f.Apply([]Change{put("a", 1)})
		f.Apply([]Change{put("a", 2)})
		assertStarted(t, f, 0)
		assert.Equal(t, "a", f.All()[0].Incarnation())
	})
	t.Run("two lives of a server have two names", func(t *testing.T) {
		one, two := started("a", 100, 1).Upstream, started("a", 200, 1).Upstream
		assert.NotEqual(t, one.Incarnation(), two.Incarnation())
		assert.NotEqual(t, one.Key(), two.Key())
	})
}
