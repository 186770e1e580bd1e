package evacuation

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/position"
)

type fixture struct {
	*Tracker
	now    clock.Millis
	events []Change
}

func newFixture() *fixture {
	f := &fixture{now: 1000}
	f.Tracker = New(func() clock.Millis { return f.now }, func(e Change) { f.events = append(f.events, e) })
	return f
}

// list returns a complete list at a position.
func list(at position.Position, domains ...string) Update {
	u := Update{Position: at}
	for _, domain := range domains {
		u.Evacuations = append(u.Evacuations, Evacuation{FailureDomain: domain, AgeMs: -1})
	}
	return u
}

func start(domain string, at position.Position) Change {
	return Change{FailureDomain: domain, Position: at}
}

func end(domain string, at position.Position) Change {
	return Change{FailureDomain: domain, Ended: true, Position: at}
}

func (f *fixture) assertActive(t *testing.T, domains ...string) {
	t.Helper()
	active := []string{}
	for _, e := range f.Active() {
		active = append(active, e.FailureDomain)
	}
	assert.ElementsMatch(t, domains, active)
}

func TestTracker(t *testing.T) {
	t.Run("several failure domains are evacuated and taken back in any order", func(t *testing.T) {
		f := newFixture()
		f.Merge(list(position.At(0, 3), "a"))
		f.Apply([]Change{start("b", position.At(0, 4)), start("b", position.At(0, 5))})
		f.assertActive(t, "a", "b")
		f.Apply([]Change{end("a", position.At(0, 6))})
		f.assertActive(t, "b")
		f.Apply([]Change{end("b", position.At(0, 7)), start("b", position.At(0, 8))})
		f.assertActive(t, "b")
		assert.Len(t, f.events, 5)
	})
	t.Run("older changes and lists have no effect", func(t *testing.T) {
		f := newFixture()
		f.Merge(list(position.At(0, 9), "a"))
		f.Apply([]Change{end("a", position.At(0, 9)), start("b", position.At(0, 2))})
		f.Merge(list(position.At(0, 8), "b"))
		f.assertActive(t, "a")
	})
	t.Run("a list ends the evacuations that it lacks", func(t *testing.T) {
		f := newFixture()
		f.Merge(list(position.At(0, 1), "a", "b"))
		f.Merge(list(position.At(0, 9), "b"))
		f.assertActive(t, "b")
	})
	t.Run("the age counts from the first box that saw the start", func(t *testing.T) {
		f, other := newFixture(), newFixture()
		f.Merge(list(position.At(0, 1), "old"))
		f.Apply([]Change{start("new", position.At(0, 2))})
		f.now += 400
		other.Merge(f.Update())
		other.now += 100
		assert.Equal(t, []Evacuation{{"new", 500}, {"old", -1}}, other.Active())
	})
	t.Run("it may exceed the time for which the process has run, and stays unknown without a confirmation", func(t *testing.T) {
		f := newFixture()
		f.Merge(Update{Position: position.At(0, 1), Evacuations: []Evacuation{{"a", 60_000}}})
		f.confirmationAge = func() clock.Millis { return -1 }
		f.Apply([]Change{start("b", position.At(0, 2))})
		f.now += 100
		assert.Equal(t, []Evacuation{{"a", 60_100}, {"b", -1}}, f.Active())
	})
}

// TestStoreRestored guards against work for an evacuated failure domain after the store lost the evacuation, until
// operators have written it again.
func TestStoreRestored(t *testing.T) {
	t.Run("an evacuation that the copy lacks stays in effect until it is written again", func(t *testing.T) {
		f := newFixture()
		f.Merge(list(position.At(0, 9), "a"))
		f.Merge(list(position.At(1, 4)))
		f.now += restoreGraceMs - 1
		f.Expire()
		f.assertActive(t, "a")
		f.Apply([]Change{start("a", position.At(1, 5))})
		f.now += 2
		f.Expire()
		f.assertActive(t, "a")
	})
	t.Run("it ends if it is not written again", func(t *testing.T) {
		f := newFixture()
		f.Merge(list(position.At(0, 9), "a"))
		f.Merge(list(position.At(1, 4)))
		f.now += restoreGraceMs
		f.Expire()
		f.assertActive(t)
	})
	t.Run("its end is accepted in the new era", func(t *testing.T) {
		f := newFixture()
		f.Merge(list(position.At(0, 9), "a"))
		f.Merge(list(position.At(1, 4)))
		f.Apply([]Change{end("a", position.At(1, 5))})
		f.assertActive(t)
	})
	t.Run("an evacuation that only the copy has is in effect until its end is written again", func(t *testing.T) {
		f := newFixture()
		f.Merge(list(position.At(0, 9)))
		f.Merge(list(position.At(1, 4), "a"))
		f.assertActive(t, "a")
		f.Apply([]Change{end("a", position.At(1, 5))})
		f.assertActive(t)
	})
}

// TestAdvance guards against fetching an unchanged list from another box again and again, and against missing a change.
func TestAdvance(t *testing.T) {
	for name, c := range map[string]struct {
		own, other Update
		want       bool
	}{
		"the same list at a later position":        {list(position.At(0, 3), "a"), list(position.At(0, 9), "a"), true},
		"an older list":                            {list(position.At(0, 3), "a"), list(position.At(0, 2)), true},
		"a list with another domain":               {list(position.At(0, 3), "a"), list(position.At(0, 9), "b"), false},
		"a list without the evacuation":            {list(position.At(0, 3), "a"), list(position.At(0, 9)), false},
		"the same list of a later era":             {list(position.At(0, 3), "a"), list(position.At(1, 2), "a"), false},
		"an empty list, when nothing is known yet": {Update{}, list(position.At(0, 9)), false},
	} {
		t.Run(name, func(t *testing.T) {
			f, other := newFixture(), newFixture()
			if !c.own.Position.IsZero() {
				f.Merge(c.own)
			}
			other.Merge(c.other)
			assert.Equal(t, c.want, f.Advance(other.Summary()))
			if !c.want {
				f.Merge(other.Update())
				assert.True(t, f.Advance(other.Summary()))
			}
		})
	}
}
