package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/namekey"
)

func TestPassed(t *testing.T) {
	for _, c := range []struct {
		why PassedWhy
		// strike makes a session's first engine unfit.
		strike func(f *fixture, first *Lease)
	}{
		{PassedLeaving, func(f *fixture, first *Lease) {
			for i := range f.list {
				f.list[i].Draining = f.list[i].ID == first.ID
			}
			f.SetUpstreams(f.list)
		}},
		{PassedEjected, func(_ *fixture, first *Lease) { first.Release(Unreachable) }},
		{PassedDomain, func(f *fixture, first *Lease) {
			f.Probed(first.FailureDomain, false)
		}},
		{PassedLoad, func(f *fixture, first *Lease) {
			f.SetOthers(map[namekey.Key]int{namekey.Of(first.ID): 30})
		}},
	} {
		t.Run("an engine is passed over: "+string(c.why), func(t *testing.T) {
			f := newFixture(t, 6)
			first := f.pick(t, sticky("s"))
			assert.Equal(t, Passed{}, first.Passed)
			c.strike(f, first)
			assert.Equal(t, Passed{Upstream: first.ID, Why: c.why}, f.pick(t, sticky("s")).Passed)
		})
	}
	t.Run("an engine that was tried before", func(t *testing.T) {
		f := newFixture(t, 6)
		first := f.pick(t, sticky("s"))
		again := sticky("s")
		again.Tried = []string{first.ID}
		assert.Equal(t, Passed{Upstream: first.ID, Why: PassedTried}, f.pick(t, again).Passed)
	})
}
