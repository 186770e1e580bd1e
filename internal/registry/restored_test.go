package registry

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/position"
)

// A store restored from a copy lists outdated records: draining servers appear ready, and
// removed servers appear alive. The newest record that a server wrote itself must take
// precedence.

// record is a record that a server wrote about itself.
type record struct {
	id       string
	started  clock.Millis
	sequence int64
	draining bool
}

// at returns the change that results from reading the record at a position.
func (r record) at(era, offset int64) Change {
	return Change{
		Upstream: Upstream{ID: r.id, StartedMs: r.started, Pool: "p", Address: "127.0.0.1:1", Draining: r.draining},
		Position: position.At(era, offset), Sequence: r.sequence,
	}
}

// copied returns the change that results from reading the record as part of a snapshot.
func (r record) copied(era, offset int64) Change {
	c := r.at(era, offset)
	c.Copied = true
	return c
}

func removalAt(id string, era, offset int64) Change {
	return Change{Upstream: Upstream{ID: id}, Removed: true, Position: position.At(era, offset)}
}

const reappearMs clock.Millis = 1700

func assertDraining(t *testing.T, f *fixture, id string, want bool) {
	t.Helper()
	for _, u := range f.All() {
		if u.ID == id {
			assert.Equal(t, want, u.Draining)
			return
		}
	}
	assert.Fail(t, "no upstream "+id)
}

func TestRestored(t *testing.T) {
	ready := record{id: "a", started: 100, sequence: 3}
	shuttingDown := record{id: "a", started: 100, sequence: 7, draining: true}
	t.Run("an older record does not undo draining", func(t *testing.T) {
		f := newFixture()
		f.Apply([]Change{shuttingDown.at(1, 9)})
		f.ApplySnapshot([]Change{ready.copied(2, 4)}, position.At(2, 5), reappearMs)
		assertDraining(t, f, "a", true)
	})
	t.Run("a newer record undoes draining", func(t *testing.T) {
		f := newFixture()
		f.Apply([]Change{shuttingDown.at(1, 9)})
		f.ApplySnapshot([]Change{ready.copied(2, 4)}, position.At(2, 5), reappearMs)
		f.Apply([]Change{{Upstream: ready.at(0, 0).Upstream, Position: position.At(2, 6), Sequence: 9}})
		assertDraining(t, f, "a", false)
	})
	t.Run("a newer record in the copy is accepted", func(t *testing.T) {
		f := newFixture()
		f.Apply([]Change{ready.at(1, 9)})
		f.ApplySnapshot([]Change{shuttingDown.copied(2, 4)}, position.At(2, 5), reappearMs)
		assertDraining(t, f, "a", true)
	})
	t.Run("an older record does not bring back a removed upstream", func(t *testing.T) {
		f := newFixture()
		f.Apply([]Change{ready.at(1, 4), removalAt("a", 1, 9)})
		f.ApplySnapshot([]Change{ready.copied(2, 4)}, position.At(2, 5), reappearMs)
		assertIDs(t, f.Registry)
		f.Apply([]Change{removalAt("a", 2, 6)})
		f.now += staleRecordMs
		f.Expire()
		assertIDs(t, f.Registry)
	})
	t.Run("a removed upstream is restored if the store keeps listing it", func(t *testing.T) {
		f := newFixture()
		f.Apply([]Change{ready.at(1, 4), removalAt("a", 1, 9)})
		f.ApplySnapshot([]Change{ready.copied(2, 4)}, position.At(2, 5), reappearMs)
		f.now += staleRecordMs
		f.Expire()
		assertIDs(t, f.Registry)
		f.Confirm(position.At(2, 5), f.now-1)
		f.Expire()
		assertIDs(t, f.Registry)
		f.Confirm(position.At(2, 5), f.now)
		f.Expire()
		assertIDs(t, f.Registry, "a")
	})
	t.Run("an upstream missing from the copy may reappear within the grace period", func(t *testing.T) {
		f := newFixture()
		f.Apply([]Change{ready.at(1, 9), record{id: "b"}.at(1, 10)})
		f.ApplySnapshot(nil, position.At(2, 5), reappearMs)
		assertIDs(t, f.Registry, "a", "b")
		f.Apply([]Change{ready.at(2, 6)})
		f.now += reappearMs
		f.Expire()
		assertIDs(t, f.Registry, "a")
	})
	t.Run("an older incarnation in the copy does not keep an upstream", func(t *testing.T) {
		f := newFixture()
		f.Apply([]Change{record{id: "a", started: 200}.at(1, 9)})
		f.ApplySnapshot([]Change{ready.copied(2, 5)}, position.At(2, 5), reappearMs)
		assertIDs(t, f.Registry, "a")
		f.now += reappearMs
		f.Expire()
		assertIDs(t, f.Registry)
	})
	t.Run("another writer's entry in the copy removes the upstream only after the grace period", func(t *testing.T) {
		f := newFixture()
		f.Apply([]Change{ready.at(1, 9)})
		foreign := removalAt("a", 2, 4)
		foreign.Unusable, foreign.Copied = true, true
		f.ApplySnapshot([]Change{foreign}, position.At(2, 5), reappearMs)
		assertIDs(t, f.Registry, "a")
		f.now += reappearMs
		f.Expire()
		assertIDs(t, f.Registry)
	})
	t.Run("an upstream replaced by another writer returns with its own record", func(t *testing.T) {
		f := newFixture()
		foreign := removalAt("a", 1, 9)
		foreign.Unusable = true
		f.Apply([]Change{ready.at(1, 4), foreign})
		f.ApplySnapshot([]Change{ready.copied(2, 4)}, position.At(2, 5), reappearMs)
		assertIDs(t, f.Registry, "a")
	})
	t.Run("a late change of an earlier era is ignored", func(t *testing.T) {
		f := newFixture()
		f.ApplySnapshot([]Change{ready.copied(2, 4)}, position.At(2, 5), 0)
		assert.Empty(t, f.Apply([]Change{removalAt("a", 1, 99)}))
		assert.Empty(t, f.ApplySnapshot(nil, position.At(1, 99), 0))
		assertIDs(t, f.Registry, "a")
	})
}

func TestRelayRestored(t *testing.T) {
	one, two := record{id: "a", sequence: 1}, record{id: "b", sequence: 1}
	// source returns a box that has read both upstreams in one era, and the draining of the
	// first one in the next.
	source := func() *fixture {
		f := newFixture()
		f.ApplySnapshot([]Change{one.copied(1, 1), two.copied(1, 2)}, position.At(1, 2), 0)
		f.ApplySnapshot([]Change{record{id: "a", sequence: 5, draining: true}.copied(2, 1)}, position.At(2, 1), reappearMs)
		return f
	}
	t.Run("a box of the previous era gets a complete list with a grace period for missing upstreams", func(t *testing.T) {
		from, to := source(), newFixture()
		to.ApplySnapshot([]Change{one.copied(1, 1), two.copied(1, 2)}, position.At(1, 2), 0)
		update := from.Since(to.Position())
		assert.True(t, update.Complete)
		to.Merge(update)
		assertDraining(t, to, "a", true)
		assertIDs(t, to.Registry, "a", "b")
		assert.Equal(t, from.Position(), to.Position())
		to.now += reappearMs
		to.Expire()
		assertIDs(t, to.Registry, "a")
	})
	t.Run("a box with changes the source lacks gets a complete list", func(t *testing.T) {
		from, to := source(), newFixture()
		to.Apply([]Change{one.at(1, 1), two.at(1, 2), record{id: "c"}.at(1, 3)})
		update := from.Since(to.Position())
		assert.True(t, update.Complete)
		to.Merge(update)
		to.now += reappearMs
		to.Expire()
		assertIDs(t, to.Registry, "a")
	})
	t.Run("a starting box does not get upstreams that the store lacks", func(t *testing.T) {
		from, to := newFixture(), newFixture()
		from.ApplySnapshot([]Change{one.copied(1, 1), two.copied(1, 2)}, position.At(1, 2), 0)
		from.Merge(Update{Position: position.At(2, 4), Complete: true, Changes: []Change{record{id: "c"}.at(2, 4)}})
		to.Merge(from.Since(position.Position{}))
		assertIDs(t, to.Registry, "c")
		assertIDs(t, from.Registry, "a", "b", "c")
	})
	t.Run("a box that received a draining record rejects the older record of the copy", func(t *testing.T) {
		from, to := newFixture(), newFixture()
		from.Apply([]Change{record{id: "a", sequence: 5, draining: true}.at(1, 9)})
		from.ApplySnapshot([]Change{one.copied(2, 1)}, position.At(2, 1), 0)
		to.Merge(from.Since(position.Position{}))
		to.ApplySnapshot([]Change{one.copied(2, 1), record{id: "c"}.copied(2, 4)}, position.At(2, 4), 0)
		assertDraining(t, to, "a", true)
	})
}
