package registry

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/position"
)

// Servers may restart under the same id. Boxes that treated an id as a single incarnation
// applied the state of the old one to the new one: its cache, its load and its draining. A
// late record of the old incarnation also overwrote the new one.

// started returns a put of one incarnation.
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
	t.Run("a restart at the same address is a new change", func(t *testing.T) {
		f := newFixture()
		f.Apply([]Change{started("a", 100, 1)})
		assert.Len(t, f.Apply([]Change{started("a", 200, 2)}), 1)
		assertStarted(t, f, 200)
	})
	t.Run("a late record of an older incarnation is ignored, whatever its revision", func(t *testing.T) {
		f := newFixture()
		f.Apply([]Change{started("a", 200, 1)})
		assert.Empty(t, f.Apply([]Change{started("a", 100, 2)}))
		assertStarted(t, f, 200)
	})
	t.Run("an older incarnation is ignored after the newer one is removed", func(t *testing.T) {
		f := newFixture()
		f.Apply([]Change{started("a", 200, 1), removal("a", 2, 0)})
		assert.Empty(t, f.Apply([]Change{started("a", 100, 3)}))
		assertIDs(t, f.Registry)
		f.Apply([]Change{started("a", 200, 4)})
		assertStarted(t, f, 200)
	})
	t.Run("an older incarnation in a complete list is ignored", func(t *testing.T) {
		f := newFixture()
		f.Apply([]Change{started("a", 200, 1)})
		f.ApplySnapshot([]Change{started("a", 100, 2)}, position.At(0, 3), 0)
		assertStarted(t, f, 200)
	})
	t.Run("draining of the old incarnation does not apply to the new one", func(t *testing.T) {
		f := newFixture()
		draining := started("a", 100, 1)
		draining.Upstream.Draining = true
		f.Apply([]Change{draining, started("a", 200, 2)})
		assert.False(t, f.All()[0].Draining)
	})
	t.Run("an entry without a start time is updated", func(t *testing.T) {
		f := newFixture()
		f.Apply([]Change{put("a", 1)})
		f.Apply([]Change{put("a", 2)})
		assertStarted(t, f, 0)
		assert.Equal(t, "a", f.All()[0].Incarnation())
	})
	t.Run("two incarnations of a server have different names", func(t *testing.T) {
		one, two := started("a", 100, 1).Upstream, started("a", 200, 1).Upstream
		assert.NotEqual(t, one.Incarnation(), two.Incarnation())
		assert.NotEqual(t, one.Key(), two.Key())
	})
}
