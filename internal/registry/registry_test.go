package registry

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
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

func removal(id string, revision int64, grace clock.Millis) Change {
	return Change{Upstream: Upstream{ID: id}, Removed: true, Position: position.At(0, revision), GraceMs: grace}
}

func assertIDs(t *testing.T, r *Registry, want ...string) {
	t.Helper()
	ids := []string{}
	for _, u := range r.All() {
		ids = append(ids, u.ID)
	}
	assert.ElementsMatch(t, want, ids)
}

// TestConcurrentChanges guards against a list of upstreams that lacks the newer one of two concurrent changes until the
// next change.
func TestConcurrentChanges(t *testing.T) {
	const changes = 100
	for range 20 {
		f := newFixture()
		var latest atomic.Pointer[[]Upstream]
		f.OnChange(func([]Change) {
			list := f.All()
			for range len(list) % 7 {
				runtime.Gosched()
			}
			latest.Store(&list)
		})
		var applied sync.WaitGroup
		for i := range changes {
			applied.Go(func() { f.Apply([]Change{put(fmt.Sprint("u", i), int64(i+1))}) })
		}
		applied.Wait()
		assert.Len(t, *latest.Load(), len(f.All()))
	}
}

func TestApply(t *testing.T) {
	t.Run("an older change is ignored, whatever the order of arrival", func(t *testing.T) {
		f := newFixture()
		f.Apply([]Change{put("a", 1), removal("a", 5, 0)})
		assert.Empty(t, f.Apply([]Change{put("a", 3)}))
		assertIDs(t, f.Registry)
	})
	t.Run("an entry without a grace period is removed at once", func(t *testing.T) {
		f := newFixture()
		f.Apply([]Change{put("a", 1), put("b", 2), removal("a", 3, 0)})
		assertIDs(t, f.Registry, "b")
	})
	t.Run("a removed entry may reappear within its grace period", func(t *testing.T) {
		f := newFixture()
		f.Apply([]Change{put("a", 1), put("b", 2)})
		f.Apply([]Change{removal("a", 3, 1700), removal("b", 4, 1700)})
		assertIDs(t, f.Registry, "a", "b")
		f.Apply([]Change{put("a", 5)})
		f.now += 1700
		f.Expire()
		assertIDs(t, f.Registry, "a")
	})
	t.Run("a draining upstream gets no grace period", func(t *testing.T) {
		f := newFixture()
		draining := put("a", 1)
		draining.Upstream.Draining = true
		f.Apply([]Change{draining, removal("a", 2, 1700)})
		assertIDs(t, f.Registry)
	})
}

func TestApplySnapshot(t *testing.T) {
	t.Run("an upstream missing from the list is removed", func(t *testing.T) {
		f := newFixture()
		f.Apply([]Change{put("a", 1), put("b", 2)})
		f.ApplySnapshot([]Change{put("b", 2), put("c", 3)}, position.At(0, 9), 0)
		assertIDs(t, f.Registry, "b", "c")
		assert.Equal(t, position.At(0, 9), f.Position())
	})
	t.Run("an upstream newer than the list is kept", func(t *testing.T) {
		f := newFixture()
		f.Apply([]Change{put("a", 12)})
		f.ApplySnapshot([]Change{put("b", 2)}, position.At(0, 9), 0)
		assertIDs(t, f.Registry, "a", "b")
	})
}

func TestSince(t *testing.T) {
	t.Run("returns single changes while the journal is complete", func(t *testing.T) {
		from, to := newFixture(), newFixture()
		from.Apply([]Change{put("a", 1), put("b", 2)})
		to.Merge(from.Since(position.Position{}))
		from.Apply([]Change{removal("a", 3, 0)})
		update := from.Since(to.Position())
		assert.False(t, update.Complete)
		assert.Len(t, update.Changes, 1)
		to.Merge(update)
		assertIDs(t, to.Registry, "b")
		assert.Equal(t, from.Position(), to.Position())
	})
	t.Run("returns a complete list when the journal starts later", func(t *testing.T) {
		from, to := newFixture(), newFixture()
		from.ApplySnapshot([]Change{put("a", 4)}, position.At(0, 7), 0)
		to.Apply([]Change{put("old", 1)})
		update := from.Since(to.Position())
		assert.True(t, update.Complete)
		to.Merge(update)
		assertIDs(t, to.Registry, "a")
	})
	t.Run("returns a complete list after dropping the oldest changes", func(t *testing.T) {
		from, to := newFixture(), newFixture()
		for i := range int64(4 * minJournalLength) {
			from.Apply([]Change{put("a", i+1)})
		}
		assert.True(t, from.Since(position.At(0, 1)).Complete)
		to.Merge(from.Since(position.At(0, 1)))
		assertIDs(t, to.Registry, "a")
	})
}

// TestColdTime guards against a cold time that starts anew, or is lost, when a box passes the upstream on.
func TestColdTime(t *testing.T) {
	now := clock.Millis(1000)
	monotonic := func() clock.Millis { return now }
	reader, other, late := New(monotonic), New(monotonic), New(monotonic)
	cold := Upstream{ID: "u", Pool: "p", ColdMs: 3000}
	reader.Apply([]Change{{Upstream: cold, Position: position.At(0, 1)}})
	now += 500
	other.Merge(reader.Since(position.Position{}))
	now += 1000
	late.ApplySnapshot(reader.snapshot(), position.At(0, 1), 0)
	assertColdMs := func(t *testing.T, r *Registry, want clock.Millis) {
		t.Helper()
		assert.Equal(t, want, r.All()[0].ColdMs)
	}
	t.Run("it runs out", func(t *testing.T) { assertColdMs(t, reader, 1500) })
	t.Run("a journaled change counts from its arrival", func(t *testing.T) { assertColdMs(t, other, 2000) })
	t.Run("a complete list carries the rest", func(t *testing.T) { assertColdMs(t, late, 1500) })
	t.Run("an entry that is missing for a while keeps it", func(t *testing.T) {
		reader.Apply([]Change{{Upstream: Upstream{ID: "u"}, Removed: true, GraceMs: 500, Position: position.At(0, 2)}})
		assertColdMs(t, reader, 1500)
	})
	t.Run("a warm record ends it", func(t *testing.T) {
		cold.ColdMs = 0
		reader.Apply([]Change{{Upstream: cold, Position: position.At(0, 3)}})
		assertColdMs(t, reader, 0)
	})
}

// snapshot returns the changes of a complete list.
func (r *Registry) snapshot() []Change {
	list := []Change{}
	for _, e := range r.entries {
		list = append(list, e.change(r.monotonic()))
	}
	return list
}

// TestConfirm guards against a registry that counts as confirmed although no read of the store has shown it.
func TestConfirm(t *testing.T) {
	f := newFixture()
	f.Apply([]Change{put("a", 4)})
	assert.Zero(t, f.ConfirmedMs(), "changes alone confirm nothing")
	f.Merge(Update{Position: position.At(0, 6), Changes: []Change{put("b", 5)}})
	assert.Zero(t, f.ConfirmedMs(), "neither do those of another box")
	f.Confirm(position.At(0, 7), 900)
	assert.Zero(t, f.ConfirmedMs(), "a change may be missing")
	f.Confirm(position.At(0, 6), 800)
	assert.Equal(t, clock.Millis(800), f.ConfirmedMs())
	f.Confirm(position.At(0, 4), 700)
	assert.Equal(t, clock.Millis(800), f.ConfirmedMs(), "an earlier confirmation")
	f.Confirm(position.At(0, 4), 850)
	assert.Equal(t, clock.Millis(850), f.ConfirmedMs(), "of a position that was passed")
	f.Confirm(position.At(0, 6), f.now+1)
	assert.Equal(t, clock.Millis(850), f.ConfirmedMs(), "a time in the future")
}

// TestOnChange guards against a change that others see only after what a later one of the same read has made of it.
func TestOnChange(t *testing.T) {
	f := newFixture()
	seen := []Change{}
	f.OnChange(func(applied []Change) {
		seen = append(seen, applied...)
		assertIDs(t, f.Registry, "a")
	})
	read := []Change{put("a", 1), put("b", 2), removal("b", 3, 0)}
	f.Apply(read)
	assert.Equal(t, read, seen)
}
