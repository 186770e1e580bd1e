package gateway

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/pkg/config"
)

// TestFirstStart guards against reads of the store by each box when the whole fleet starts, and against boxes that get
// no state because their contacts are down.
func TestFirstStart(t *testing.T) {
	first := func(contacts ...string) func(g *config.Gateway) {
		return func(g *config.Gateway) { g.FirstStart, g.Contacts = true, contacts }
	}
	assertServes := func(t *testing.T, boxes []*running) {
		t.Helper()
		for _, b := range boxes {
			status, _, err := b.get("/safe/")
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, status, b.settings.Box)
		}
	}
	t.Run("the contact reads for all", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			f.upstream("u", respondWith("done"))
			contact := "127.0.0.1:1020"
			boxes := []*running{}
			for i := range 6 {
				boxes = append(boxes, f.box(i+1, first(contact)))
			}
			advance(f.t, time.Second)
			assertServes(f.t, boxes)
			reader := storeReaderOf(boxes)
			others := slices.DeleteFunc(slices.Clone(boxes[1:]), func(b *running) bool { return b == reader })
			assert.Zero(f.t, f.store.readCount(others), "reads of boxes that are neither the contact nor the store reader")
		})
	})
	t.Run("a box whose contacts are down reads by itself", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			f.upstream("u", respondWith("done"))
			b := f.box(2, first("127.0.0.1:1020"))
			advance(f.t, time.Second)
			assert.Zero(f.t, f.store.readCount([]*running{b}))
			advance(f.t, time.Second)
			assertServes(f.t, []*running{b})
		})
	})
	t.Run("a box that starts later reads at once", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			f.upstream("u", respondWith("done"))
			b := f.box(2)
			assertServes(f.t, []*running{b})
		})
	})
}

// TestStartBeforeConfirmation guards against requests that a box refuses because it has applied its first routing state
// and not yet its confirmation.
func TestStartBeforeConfirmation(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		f.upstream("u", respondWith("done"))
		f.store.setConfirmDelay(50)
		advance(f.t, 2*maxAgeMs*time.Millisecond)
		status, body, err := f.box(1).get("/safe/")
		require.NoError(f.t, err)
		assert.Equal(f.t, http.StatusOK, status, body)
	})
}

// TestStartCutOff guards against revoked keys that a box accepts because it has just started, where nobody has reached
// the store lately.
func TestStartCutOff(t *testing.T) {
	startsAfter := func(f *fleet, cutOff time.Duration, unreachable ...string) (old, started *running) {
		f.upstream("u", respondWith("done"))
		old = f.box(1)
		advance(f.t, time.Second)
		for _, name := range unreachable {
			f.store.setUnavailable(name, true)
		}
		advance(f.t, cutOff)
		f.restartMonotonic()
		return old, f.box(2, withContact(old))
	}
	t.Run("a state from another box is as old as it is there", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			old, started := startsAfter(f, 3*time.Second, "box-1", "box-2")
			advance(f.t, time.Second)
			assertStatus(f.t, started, "/safe/", http.StatusOK)
			assert.InDelta(f.t, float64(old.stateSummary().AgeMs), float64(started.stateSummary().AgeMs), 20)
			advance(f.t, 1500*time.Millisecond)
			for _, b := range []*running{old, started} {
				assertStatus(f.t, b, "/safe/", http.StatusServiceUnavailable)
				assertStatus(f.t, b, "/public/", http.StatusOK)
				assert.False(f.t, b.Ready())
			}
		})
	})
	t.Run("a state that was never confirmed has no age", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			f.store.setConfirmDelay(30 * clock.Second)
			f.upstream("u", respondWith("done"))
			b := f.box(1)
			assertRefused(f.t, b, call{path: "/safe/", key: key}, http.StatusServiceUnavailable)
			assertRefused(f.t, b, call{path: "/newer/", key: key}, http.StatusServiceUnavailable)
			assertStatus(f.t, b, "/public/", http.StatusOK)
			assert.False(f.t, b.Ready())
			assert.EqualValues(f.t, -1, b.stateAgeMs())
		})
	})
	t.Run("requests wait for the store where another box's confirmation is too old", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			f.store.setConfirmDelay(50)
			_, started := startsAfter(f, 2*maxAgeMs*time.Millisecond, "box-1")
			assertStatus(f.t, started, "/safe/", http.StatusOK)
		})
	})
}
