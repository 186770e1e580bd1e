package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/routing"
	"dooryard.example/dooryard/pkg/config"
)

func TestFreshness(t *testing.T) {
	t.Run("keys are refused once the last confirmation of the routing state is too old", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", respondWith("done"))
			b := f.box(1)
			f.store.setUnavailable("box-1", true)
			advance(f.t, maxAgeMs*time.Millisecond-time.Second)
			assertStatus(t, b, "/safe/", http.StatusOK)
			advance(f.t, time.Second)
			assertStatus(t, b, "/safe/", http.StatusServiceUnavailable)
			assertStatus(t, b, "/public/", http.StatusOK)
			assert.False(t, b.Ready())
			f.store.setUnavailable("box-1", false)
			advance(f.t, time.Second)
			assertStatus(t, b, "/safe/", http.StatusOK)
		})
	})
	t.Run("keys stay accepted and the box stays ready if no maximum age is set", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", respondWith("done"))
			b := f.box(1, withoutMaxAge)
			f.store.setUnavailable("box-1", true)
			advance(f.t, 10*maxAgeMs*time.Millisecond)
			assertStatus(t, b, "/safe/", http.StatusOK)
			assert.True(t, b.Ready())
		})
	})
	t.Run("a key or a route that may be newer than the state gets a retryable refusal", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", respondWith("done"))
			b := f.box(1, withoutMaxAge)
			assertRefused(t, b, call{path: "/safe/", key: "newer"}, http.StatusUnauthorized)
			assertRefused(t, b, call{path: "/newer/", key: key}, http.StatusNotFound)
			f.store.setUnavailable("box-1", true)
			advance(f.t, 2*defaultMaxPropagationMs*time.Millisecond)
			assertRefused(t, b, call{path: "/safe/", key: "newer"}, http.StatusServiceUnavailable)
			assertRefused(t, b, call{path: "/newer/", key: key}, http.StatusServiceUnavailable)
		})
	})
	t.Run("a box that the store refuses uses another box's confirmation", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", respondWith("done"))
			second := f.boxes(2)[1]
			advance(f.t, time.Second)
			f.store.setUnavailable("box-2", true)
			advance(f.t, 3*maxAgeMs*time.Millisecond)
			assertStatus(t, second, "/safe/", http.StatusOK)
		})
	})
	t.Run("a revoked key is revoked on a box that the store refuses", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", respondWith("done"))
			second := f.boxes(2)[1]
			advance(f.t, time.Second)
			f.store.setUnavailable("box-2", true)
			revoked := content(2)
			revoked.Organisations = []routing.Organisation{{Name: "other", Keys: []string{"other"}}}
			f.store.setState(t, revoked)
			advance(f.t, time.Second)
			assertStatus(t, second, "/safe/", http.StatusUnauthorized)
		})
	})
	t.Run("a partitioned box uses no confirmation from before the partition", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", respondWith("done"))
			second := f.boxes(2)[1]
			advance(f.t, time.Second)
			f.store.setUnavailable("box-2", true)
			f.network.SetPartition(func(from, to string) bool { return from == "box-1" || to == "box-1" })
			advance(f.t, maxAgeMs*time.Millisecond)
			assertStatus(t, second, "/safe/", http.StatusServiceUnavailable)
		})
	})
}

// withoutMaxAge removes the bound on the age of the confirmation that is needed to accept keys.
func withoutMaxAge(g *config.Gateway) { g.Freshness.MaxAgeMs = 0 }

// assertRefused checks the status of a refusal, and that exactly the retryable ones have a Retry-After header.
func assertRefused(t *testing.T, b *running, c call, want int) {
	t.Helper()
	c.method, c.id = http.MethodGet, "1"
	response, err := b.send(t.Context(), c)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	assert.Equal(t, want, response.StatusCode, c.path)
	assert.Equal(t, want == http.StatusServiceUnavailable, response.Header.Get("Retry-After") != "", c.path)
}

func assertStatus(t *testing.T, b *running, path string, want int) {
	t.Helper()
	status, _, err := b.get(path)
	require.NoError(t, err)
	assert.Equal(t, want, status, path)
}

// TestStoreReaderRefused guards against missed changes when the store refuses reads only of the box that reads it for
// the other boxes of its failure domain.
func TestStoreReaderRefused(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t := f.t
		f.upstream("u1", respondWith("done"))
		boxes := f.boxes(3)
		advance(t, 3*time.Second)
		f.store.setUnavailable(storeReaderOf(boxes).settings.Box, true)
		advance(t, 4*time.Second)
		f.setDraining("u1")
		advance(t, time.Second)
		for _, b := range boxes {
			assertDraining(t, b)
		}
		for _, b := range boxes {
			f.store.setUnavailable(b.settings.Box, false)
		}
		advance(t, 4*time.Second)
		for _, b := range boxes {
			assert.False(t, b.storeUnavailable.Load(), "%s has the store again", b.settings.Box)
		}
	})
}

// TestStoreReaderUnresponsive guards against late changes when the store does not respond to the box that reads it for
// the others, so that this box does not notice for a while that the store is unavailable. The others must learn within
// two seconds of an upstream that starts draining at the same instant.
func TestStoreReaderUnresponsive(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t := f.t
		f.upstream("u1", respondWith("done"))
		boxes := f.boxes(3)
		advance(t, 3*time.Second)
		f.store.setUnresponsive(storeReaderOf(boxes).settings.Box, true)
		f.setDraining("u1")
		advance(t, 1900*time.Millisecond)
		for _, b := range boxes {
			assertDraining(t, b)
		}
	})
}

// TestStoreRefusesBoxes guards against frequent retries by boxes that the store refuses and that get everything from
// other boxes.
func TestStoreRefusesBoxes(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t := f.t
		f.upstream("u1", respondWith("done"))
		boxes := f.boxes(3)
		for _, b := range boxes[1:] {
			f.store.setUnavailable(b.settings.Box, true)
		}
		// The store is unavailable to all boxes for a while, so that all have tried it.
		f.store.setUnavailable(boxes[0].settings.Box, true)
		advance(t, 4*time.Second)
		f.store.setUnavailable(boxes[0].settings.Box, false)
		advance(t, 6*time.Second)
		before := f.store.readCount(boxes[1:])
		advance(t, 20*time.Second)
		assert.LessOrEqual(t, f.store.readCount(boxes[1:])-before, 10)
		assertStatus(t, boxes[1], "/safe/", http.StatusOK)
	})
}

// TestStartWithoutUpstreams starts a fleet before any upstream. Only one box may keep reading the store.
func TestStartWithoutUpstreams(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t := f.t
		boxes := f.boxes(3)
		advance(t, 3*time.Second)
		before := f.store.readCount(boxes)
		advance(t, 10*time.Second)
		assert.LessOrEqual(t, f.store.readCount(boxes)-before, 25, "one box reads for all boxes")
		f.upstream("u1", respondWith("done"))
		advance(t, 2*time.Second)
		for _, b := range boxes {
			assertStatus(t, b, "/safe/", http.StatusOK)
		}
	})
}

// TestStoreReaderRefusedWithLostDatagrams guards against late changes when the store refuses the box that reads it for
// the others, and datagrams from this box are lost while those to it arrive, so that the others don't learn of the
// refusals. An upstream that starts draining at the same instant must be known within the time that operators allow.
func TestStoreReaderRefusedWithLostDatagrams(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t := f.t
		f.upstream("u1", respondWith("done"))
		boxes := f.boxes(3)
		advance(t, 3*time.Second)
		source := storeReaderOf(boxes).settings.Box
		f.store.setUnavailable(source, true)
		f.network.SetBlackhole(func(from, to string) bool { return from == source && strings.HasPrefix(to, "box-") })
		f.setDraining("u1")
		advance(t, defaultMaxDrainNoticeMs*time.Millisecond)
		for _, b := range boxes {
			if b.settings.Box != source {
				assertDraining(t, b)
			}
		}
		// Unblocks hanging connections before the test ends.
		f.network.SetBlackhole(func(string, string) bool { return false })
		advance(t, 3*time.Second)
	})
}
