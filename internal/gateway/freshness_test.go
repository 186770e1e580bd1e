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
	t.Run("keys are refused once the routing state can't be proved", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", answer("done"))
			b := f.box(1)
			f.store.setAway("box-1", true)
			pass(f.t, maxAgeMs*time.Millisecond-time.Second)
			assertStatus(t, b, "/safe/", http.StatusOK)
			pass(f.t, time.Second)
			assertStatus(t, b, "/safe/", http.StatusServiceUnavailable)
			assertStatus(t, b, "/public/", http.StatusOK)
			assert.False(t, b.Ready())
			f.store.setAway("box-1", false)
			pass(f.t, time.Second)
			assertStatus(t, b, "/safe/", http.StatusOK)
		})
	})
	t.Run("keys are accepted on, and box and readiness with them, where no bound is set", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", answer("done"))
			b := f.box(1, trustsKeys)
			f.store.setAway("box-1", true)
			pass(f.t, 10*maxAgeMs*time.Millisecond)
			assertStatus(t, b, "/safe/", http.StatusOK)
			assert.True(t, b.Ready())
		})
	})
	t.Run("a key or a route that may be newer than the state is told to come back", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", answer("done"))
			b := f.box(1, trustsKeys)
			assertRefused(t, b, call{path: "/safe/", key: "newer"}, http.StatusUnauthorized)
			assertRefused(t, b, call{path: "/newer/", key: key}, http.StatusNotFound)
			f.store.setAway("box-1", true)
			pass(f.t, 2*defaultInForceMs*time.Millisecond)
			assertRefused(t, b, call{path: "/safe/", key: "newer"}, http.StatusServiceUnavailable)
			assertRefused(t, b, call{path: "/newer/", key: key}, http.StatusServiceUnavailable)
		})
	})
	t.Run("another box's proof serves a box that the store turns away", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", answer("done"))
			second := f.boxes(2)[1]
			pass(f.t, time.Second)
			f.store.setAway("box-2", true)
			pass(f.t, 3*maxAgeMs*time.Millisecond)
			assertStatus(t, second, "/safe/", http.StatusOK)
		})
	})
	t.Run("a key that is gone is gone on a box that the store turns away", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", answer("done"))
			second := f.boxes(2)[1]
			pass(f.t, time.Second)
			f.store.setAway("box-2", true)
			without := content(2)
			without.Organisations = []routing.Organisation{{Name: "other", Keys: []string{"other"}}}
			f.store.setState(t, without)
			pass(f.t, time.Second)
			assertStatus(t, second, "/safe/", http.StatusUnauthorized)
		})
	})
	t.Run("a box that is cut off from all takes no proof from before the cut", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", answer("done"))
			second := f.boxes(2)[1]
			pass(f.t, time.Second)
			f.store.setAway("box-2", true)
			f.network.SetCut(func(from, to string) bool { return from == "box-1" || to == "box-1" })
			pass(f.t, maxAgeMs*time.Millisecond)
			assertStatus(t, second, "/safe/", http.StatusServiceUnavailable)
		})
	})
}

// trustsKeys sets no bound on the age of the proof by which keys are accepted.
func trustsKeys(g *config.Gateway) { g.Freshness.MaxAgeMs = 0 }

// assertRefused checks the status of a refusal, and that a promise tells when to come back.
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

// TestSourceTurnedAway has the store turn away just the box that reads for the
// others of its failure domain.
func TestSourceTurnedAway(t *testing.T) {
	bubble(t, func(f *fleet) {
		t := f.t
		f.upstream("u1", answer("done"))
		boxes := f.boxes(3)
		pass(t, 3*time.Second)
		f.store.setAway(sourceOf(boxes).settings.Box, true)
		pass(t, 4*time.Second)
		f.leaves("u1")
		pass(t, time.Second)
		for _, b := range boxes {
			assertLeaving(t, b)
		}
		for _, b := range boxes {
			f.store.setAway(b.settings.Box, false)
		}
		pass(t, 4*time.Second)
		for _, b := range boxes {
			assert.False(t, b.storeLost.Load(), "%s has the store again", b.settings.Box)
		}
	})
}

// TestSourceUnanswered has the store leave the reads of just the box that reads for
// the others without an answer, so that it does not know for a while. The others must
// hear within two seconds of an upstream that leaves in the same instant.
func TestSourceUnanswered(t *testing.T) {
	bubble(t, func(f *fleet) {
		t := f.t
		f.upstream("u1", answer("done"))
		boxes := f.boxes(3)
		pass(t, 3*time.Second)
		f.store.setSilent(sourceOf(boxes).settings.Box, true)
		f.leaves("u1")
		pass(t, 1900*time.Millisecond)
		for _, b := range boxes {
			assertLeaving(t, b)
		}
	})
}

// TestStoreTurnsBoxesAway has the store turn away boxes that others can tell all they
// need: they look only now and then whether it takes them again.
func TestStoreTurnsBoxesAway(t *testing.T) {
	bubble(t, func(f *fleet) {
		t := f.t
		f.upstream("u1", answer("done"))
		boxes := f.boxes(3)
		for _, b := range boxes[1:] {
			f.store.setAway(b.settings.Box, true)
		}
		// The store is away for all for a while, so that all have tried it.
		f.store.setAway(boxes[0].settings.Box, true)
		pass(t, 4*time.Second)
		f.store.setAway(boxes[0].settings.Box, false)
		pass(t, 6*time.Second)
		before := f.store.readsOf(boxes[1:])
		pass(t, 20*time.Second)
		assert.LessOrEqual(t, f.store.readsOf(boxes[1:])-before, 10)
		assertStatus(t, boxes[1], "/safe/", http.StatusOK)
	})
}

// TestStartWithoutUpstreams has a fleet start before any upstream does.
func TestStartWithoutUpstreams(t *testing.T) {
	bubble(t, func(f *fleet) {
		t := f.t
		boxes := f.boxes(3)
		pass(t, 3*time.Second)
		before := f.store.readsOf(boxes)
		pass(t, 10*time.Second)
		assert.LessOrEqual(t, f.store.readsOf(boxes)-before, 25, "one box reads for all")
		f.upstream("u1", answer("done"))
		pass(t, 2*time.Second)
		for _, b := range boxes {
			assertStatus(t, b, "/safe/", http.StatusOK)
		}
	})
}

// TestSourceTurnedAwayUnheard has the store turn away the box that reads for the others,
// while datagrams from it are lost and those to it arrive, so that they don't hear of it. An
// upstream that leaves in the same instant must be known in the time that operators allow.
func TestSourceTurnedAwayUnheard(t *testing.T) {
	bubble(t, func(f *fleet) {
		t := f.t
		f.upstream("u1", answer("done"))
		boxes := f.boxes(3)
		pass(t, 3*time.Second)
		source := sourceOf(boxes).settings.Box
		f.store.setAway(source, true)
		f.network.SetSilent(func(from, to string) bool { return from == source && strings.HasPrefix(to, "box-") })
		f.leaves("u1")
		pass(t, defaultLeaveMs*time.Millisecond)
		for _, b := range boxes {
			if b.settings.Box != source {
				assertLeaving(t, b)
			}
		}
		// Connections that hang end before the test does.
		f.network.SetSilent(func(string, string) bool { return false })
		pass(t, 3*time.Second)
	})
}
