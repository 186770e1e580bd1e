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

// The store may come back from a copy some seconds old: what the operators and the servers wrote
// since is lost until they write it again. A key that was taken away stays so, a server that leaves
// gets nothing, and what boxes know by then is proved by nothing that the copy holds.

// withoutKey is a later version that takes the tests' key away.
func withoutKey(version int64) routing.Content {
	c := content(version)
	c.Organisations = []routing.Organisation{{Name: "one", Keys: []string{"other"}}}
	return c
}

func TestStoreRestored(t *testing.T) {
	t.Run("a key that was taken away is not back with the copy", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", answer("done"))
			boxes := f.boxes(3)
			pass(t, 2*time.Second)
			older := f.store.copy()
			f.store.setState(t, withoutKey(2))
			pass(t, time.Second)
			f.store.restore(older)
			for range 20 {
				pass(t, 500*time.Millisecond)
				for _, b := range boxes {
					status, _, err := b.get("/safe/")
					require.NoError(t, err)
					assert.NotEqual(t, http.StatusOK, status, b.settings.Box)
					assert.Equal(t, int64(2), b.belief.State().Version())
				}
			}
		})
	})
	t.Run("keys are trusted again once the operators have written theirs again", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", answer("done"))
			b := f.box(1)
			older := f.store.copy()
			f.store.setState(t, content(2))
			pass(t, time.Second)
			f.store.restore(older)
			pass(t, 2*maxAgeMs*time.Millisecond)
			assertStatus(t, b, "/safe/", http.StatusServiceUnavailable)
			f.store.setState(t, content(2))
			pass(t, 2*time.Second)
			assertStatus(t, b, "/safe/", http.StatusOK)
		})
	})
	t.Run("a copy proves nothing until there was time to write again", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", answer("done"))
			b := f.box(1)
			pass(t, time.Second)
			f.store.restore(f.store.copy())
			before := b.belief.ConfirmedMs()
			pass(t, 2*time.Second)
			assert.LessOrEqual(t, b.belief.ConfirmedMs()-before, pollMs)
			pass(t, 2*time.Second)
			assert.Less(t, b.belief.AgeMs(), 2*pollMs)
		})
	})
	t.Run("a box that starts then and has others takes their higher version", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", answer("done"))
			boxes := f.boxes(2)
			older := f.store.copy()
			f.store.setState(t, withoutKey(2))
			pass(t, 2*time.Second)
			f.store.restore(older)
			starts := f.box(9, contactOf(boxes[0]))
			pass(t, time.Second)
			assert.Equal(t, int64(2), starts.belief.State().Version())
			assertStatus(t, starts, "/safe/", http.StatusUnauthorized)
		})
	})
	t.Run("an upstream that leaves is not back with the copy, and one that writes again stays", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", answer("done"))
			older := f.store.copy()
			f.upstream("u2", answer("done"))
			later := f.store.entry("u2")
			boxes := f.boxes(3)
			f.leaves("u1")
			pass(t, 2*time.Second)
			f.store.restore(older)
			pass(t, time.Second)
			for _, b := range boxes {
				assert.Len(t, b.registry.All(), 2, "%s while it may come back", b.settings.Box)
			}
			f.store.put(later)
			pass(t, 5*time.Second)
			for _, b := range boxes {
				all := b.registry.All()
				require.Len(t, all, 2, b.settings.Box)
				assert.True(t, all[0].Draining, b.settings.Box)
				assertStatus(t, b, "/safe/", http.StatusOK)
			}
		})
	})
	t.Run("one that does not write again is gone", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", answer("done"))
			older := f.store.copy()
			f.store.put(registry.Upstream{ID: "u2", Pool: "p", Address: "127.0.0.1:2", FailureDomain: "d", Slots: 8})
			boxes := f.boxes(3)
			pass(t, 2*time.Second)
			f.store.restore(older)
			pass(t, 5*time.Second)
			for _, b := range boxes {
				assert.Len(t, b.registry.All(), 1, b.settings.Box)
			}
		})
	})
	t.Run("notes of requests that end upstreams are written again", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", answer("done"))
			b := f.boxes(1)[0]
			pass(t, 2*time.Second)
			older := f.store.copy()
			for _, upstream := range []string{"x", "y", "z"} {
				b.quarantine.Ended(quarantine.Fingerprint(7), namekey.Of(upstream))
			}
			pass(t, 2*time.Second)
			require.Len(t, f.store.copy().notes, 1)
			f.store.restore(older)
			require.Empty(t, f.store.copy().notes)
			pass(t, 3*time.Second)
			assert.Len(t, f.store.copy().notes, 1)
		})
	})
}
