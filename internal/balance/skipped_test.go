package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/registry"
)

func TestSkippedEngine(t *testing.T) {
	for _, c := range []struct {
		why SkipReason
		// disrupt makes a session's first engine unavailable.
		disrupt func(f *fixture, first *Lease)
	}{
		{SkipDraining, func(f *fixture, first *Lease) {
			f.setEntry(first.ID, func(u *registry.Upstream) { u.Draining = true })
		}},
		{SkipEjected, func(_ *fixture, first *Lease) { first.Release(Unreachable) }},
		{SkipDomainUnreachable, func(f *fixture, first *Lease) {
			f.RecordProbe(first.FailureDomain, false)
		}},
		{SkipOverloaded, func(f *fixture, first *Lease) {
			f.SetOthersInFlight(map[namekey.Key]int{namekey.Of(first.ID): 30})
		}},
	} {
		t.Run("an engine is skipped: "+string(c.why), func(t *testing.T) {
			f := newFixture(t, 6)
			first := f.pick(t, sticky("s"))
			assert.Equal(t, Skipped{}, first.Skipped)
			c.disrupt(f, first)
			assert.Equal(t, Skipped{Upstream: first.ID, Reason: c.why}, f.pick(t, sticky("s")).Skipped)
		})
	}
	t.Run("an engine that was tried before is skipped", func(t *testing.T) {
		f := newFixture(t, 6)
		first := f.pick(t, sticky("s"))
		again := sticky("s")
		again.Tried = []string{first.ID}
		assert.Equal(t, Skipped{Upstream: first.ID, Reason: SkipTried}, f.pick(t, again).Skipped)
	})
}
