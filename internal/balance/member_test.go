package balance

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestLeaseWhileEntryChanges guards against a request that reads its upstream while the entry of that upstream changes.
// Only the race detector shows it.
func TestLeaseWhileEntryChanges(t *testing.T) {
	f := newFixture(t, 1)
	lease := f.pick(t, sticky("s"))
	key, incarnation := lease.Key(), lease.Incarnation()
	var changing sync.WaitGroup
	changing.Go(func() {
		for range 100 {
			f.list[0].Draining, f.list[0].Slots = !f.list[0].Draining, f.list[0].Slots+1
			f.SetUpstreams(f.list)
		}
	})
	for range 100 {
		assert.Equal(t, key, lease.Key())
		assert.Equal(t, incarnation, lease.Incarnation())
	}
	changing.Wait()
}
