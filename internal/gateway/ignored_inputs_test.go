package gateway

import (
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/registry"
)

func TestIgnored(t *testing.T) {
	t.Run("is counted each time and logged at a limited rate", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			b := f.box(1)
			logged := 0
			for range 25 {
				if b.ignoredInputs.shouldLog("x") {
					logged++
				}
				b.ReportInvalidInput("x", errors.New("bad"))
				advance(f.t, time.Second)
			}
			assert.Equal(f.t, 3, logged)
			assert.Equal(f.t, "25", b.metrics.all.Get("inputs_ignored").String())
		})
	})
	t.Run("uses bounded memory", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			b := f.box(1)
			for i := range 10 * maxTrackedInputs {
				b.ignoredInputs.shouldLog(strconv.Itoa(i))
			}
			assert.LessOrEqual(f.t, len(b.ignoredInputs.lastLogged), maxTrackedInputs)
		})
	})
}

// TestUnusableEntry guards against requests to an upstream whose entry became invalid. The entry arrives while the
// store is unavailable, when entries that merely disappear may still reappear.
func TestUnusableEntry(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		f.upstream("u1", respondWith("done"))
		f.upstream("u2", respondWith("done"))
		b := f.box(1)
		sink := b.newStoreSink("store").asSink()
		sink.ReportRead("all", errStoreUnavailable)
		at := b.registry.Position()
		removal := func(id string, unusable bool) registry.Change {
			at.Offset++
			return registry.Change{Upstream: registry.Upstream{ID: id}, Removed: true, Unusable: unusable, Position: at}
		}
		sink.Upstreams([]registry.Change{removal("u1", true), removal("u2", false)}, at, 0)
		ids := []string{}
		for _, u := range b.registry.All() {
			ids = append(ids, u.ID)
		}
		assert.Equal(f.t, []string{"u2"}, ids, "the invalid entry is removed immediately, the other one may reappear")
	})
}
