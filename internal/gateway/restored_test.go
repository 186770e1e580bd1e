package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/quarantine"
	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/routing"
)

// The store may be restored from a snapshot that is some seconds old. What operators and servers wrote since then is
// lost until they write it again. The tests of this file guard against revoked keys that become valid again, requests
// to draining servers, and data of the snapshot that counts as a confirmation of newer state.

// contentWithoutKey returns a version in which the tests' key is revoked.
func contentWithoutKey(version int64) routing.Content {
	c := content(version)
	c.Organisations = []routing.Organisation{{Name: "one", Keys: []string{"other"}}}
	return c
}

func TestStoreRestored(t *testing.T) {
	t.Run("a revoked key stays revoked after the restoration", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", respondWith("done"))
			boxes := f.boxes(3)
			advance(t, 2*time.Second)
			older := f.store.copy()
			f.store.setState(t, contentWithoutKey(2))
			advance(t, time.Second)
			f.store.restore(older)
			for range 20 {
				advance(t, 500*time.Millisecond)
				for _, b := range boxes {
					status, _, err := b.get("/safe/")
					require.NoError(t, err)
					assert.NotEqual(t, http.StatusOK, status, b.settings.Box)
					assert.Equal(t, int64(2), b.routingState.State().Version())
				}
			}
		})
	})
	t.Run("keys are trusted again once the operators have rewritten the newest version", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", respondWith("done"))
			b := f.box(1)
			older := f.store.copy()
			f.store.setState(t, content(2))
			advance(t, time.Second)
			f.store.restore(older)
			advance(t, 2*maxAgeMs*time.Millisecond)
			assertStatus(t, b, "/safe/", http.StatusServiceUnavailable)
			f.store.setState(t, content(2))
			advance(t, 2*time.Second)
			assertStatus(t, b, "/safe/", http.StatusOK)
		})
	})
	t.Run("a snapshot confirms nothing until there was time to write again", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", respondWith("done"))
			b := f.box(1)
			advance(t, time.Second)
			f.store.restore(f.store.copy())
			before, _ := b.routingState.Confirmed()
			advance(t, 2*time.Second)
			after, _ := b.routingState.Confirmed()
			assert.LessOrEqual(t, after.AtMs-before.AtMs, pollMs)
			advance(t, 2*time.Second)
			assert.Less(t, b.routingState.AgeMs(), 2*pollMs)
		})
	})
	t.Run("a box that starts after the restoration uses the higher version of other boxes", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", respondWith("done"))
			boxes := f.boxes(2)
			older := f.store.copy()
			f.store.setState(t, contentWithoutKey(2))
			advance(t, 2*time.Second)
			f.store.restore(older)
			startedBox := f.box(9, withContact(boxes[0]))
			advance(t, time.Second)
			assert.Equal(t, int64(2), startedBox.routingState.State().Version())
			assertStatus(t, startedBox, "/safe/", http.StatusUnauthorized)
		})
	})
	t.Run("a box that starts after the restoration accepts no key by the snapshot alone", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", respondWith("done"))
			older := f.store.copy()
			f.store.setState(t, contentWithoutKey(2))
			f.store.restore(older)
			b := f.box(1)
			advance(t, time.Second)
			f.store.setUnavailable("box-1", true)
			for range 20 {
				assertStatus(t, b, "/safe/", http.StatusServiceUnavailable)
				assertStatus(t, b, "/public/", http.StatusOK)
				advance(t, 500*time.Millisecond)
			}
			f.store.setState(t, contentWithoutKey(2))
			f.store.setUnavailable("box-1", false)
			advance(t, 4*time.Second)
			assertStatus(t, b, "/safe/", http.StatusUnauthorized)
		})
	})
	t.Run("a box that starts long after the restoration accepts keys by the word of another one", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", respondWith("done"))
			first := f.box(1)
			advance(t, time.Second)
			f.store.restore(f.store.copy())
			advance(t, 5*time.Second)
			startedBox := f.box(9, withContact(first))
			advance(t, 600*time.Millisecond)
			assertStatus(t, startedBox, "/safe/", http.StatusOK)
		})
	})
	t.Run("a draining upstream stays draining, and one that writes its entry again is kept", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", respondWith("done"))
			older := f.store.copy()
			f.upstream("u2", respondWith("done"))
			later := f.store.entry("u2")
			boxes := f.boxes(3)
			f.setDraining("u1")
			advance(t, 2*time.Second)
			f.store.restore(older)
			advance(t, time.Second)
			for _, b := range boxes {
				assert.Len(t, b.registry.All(), 2, "%s while its entry may reappear", b.settings.Box)
			}
			f.store.put(later)
			advance(t, 5*time.Second)
			for _, b := range boxes {
				all := b.registry.All()
				require.Len(t, all, 2, b.settings.Box)
				assert.True(t, all[0].Draining, b.settings.Box)
				assertStatus(t, b, "/safe/", http.StatusOK)
			}
		})
	})
	t.Run("an upstream that does not write its entry again is removed", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", respondWith("done"))
			older := f.store.copy()
			f.store.put(registry.Upstream{ID: "u2", Pool: "p", Address: "127.0.0.1:2", FailureDomain: "d", Slots: 8})
			boxes := f.boxes(3)
			advance(t, 2*time.Second)
			f.store.restore(older)
			advance(t, 5*time.Second)
			for _, b := range boxes {
				assert.Len(t, b.registry.All(), 1, b.settings.Box)
			}
		})
	})
	t.Run("notes on requests that crash upstreams are written again", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", respondWith("done"))
			b := f.boxes(1)[0]
			advance(t, 2*time.Second)
			older := f.store.copy()
			for _, upstream := range []string{"x", "y", "z"} {
				b.quarantine.RecordCrash(quarantine.Fingerprint(7), namekey.Of(upstream))
			}
			advance(t, 2*time.Second)
			require.Len(t, f.store.copy().notes, 1)
			f.store.restore(older)
			require.Empty(t, f.store.copy().notes)
			advance(t, 3*time.Second)
			assert.Len(t, f.store.copy().notes, 1)
		})
	})
}
