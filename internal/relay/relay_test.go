package relay

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/evacuation"
	"dooryard.example/dooryard/internal/position"
	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/routing"
)

func monotonic() clock.Millis { return 1000 }

// newState returns a routing state, a registry with a number of upstreams, and no evacuations.
func newState(t *testing.T, upstreams int) (*routing.StateTracker, *registry.Registry, *evacuation.Tracker) {
	t.Helper()
	state, err := routing.New(routing.Content{Version: 7})
	require.NoError(t, err)
	tracker, r := routing.NewStateTracker(monotonic), registry.New(monotonic)
	tracker.Adopt(state, 0)
	for i := range upstreams {
		r.Apply([]registry.Change{{Upstream: registry.Upstream{ID: fmt.Sprint("u", i)}, Position: position.At(0, int64(i+1))}})
	}
	return tracker, r, evacuation.New(monotonic, func(evacuation.Change) {})
}

func TestFetch(t *testing.T) {
	tracker, r, evacuations := newState(t, 3)
	server := httptest.NewServer(Handler(tracker, r, evacuations))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	c := NewClient(nil)
	t.Run("returns the newer state and upstreams", func(t *testing.T) {
		reply, err := c.Fetch(t.Context(), address, 0, position.At(0, 1))
		require.NoError(t, err)
		assert.Equal(t, int64(7), reply.State.Version)
		assert.Len(t, reply.Upstreams.Changes, 2)
	})
	t.Run("returns each new state and upstream", func(t *testing.T) {
		tracker, r, evacuations := newState(t, 3)
		server := httptest.NewServer(Handler(tracker, r, evacuations))
		defer server.Close()
		address := strings.TrimPrefix(server.URL, "http://")
		for version := range int64(3 * maxCachedReplies) {
			state, err := routing.New(routing.Content{Version: 10 + version})
			require.NoError(t, err)
			tracker.Adopt(state, 0)
			r.Apply([]registry.Change{{Upstream: registry.Upstream{ID: fmt.Sprint("later", version)}, Position: position.At(0, 10+version)}})
			for range 2 {
				reply, err := c.Fetch(t.Context(), address, 0, position.At(0, 3))
				require.NoError(t, err)
				assert.Equal(t, 10+version, reply.State.Version)
				assert.Len(t, reply.Upstreams.Changes, int(version)+1)
			}
		}
	})
	t.Run("returns each change of the evacuations", func(t *testing.T) {
		for i, want := range []int{1, 0} {
			evacuations.Apply([]evacuation.Change{{FailureDomain: "d", Ended: want == 0, Position: position.At(0, int64(i+1))}})
			reply, err := c.Fetch(t.Context(), address, 7, position.At(0, 3))
			require.NoError(t, err)
			assert.Equal(t, position.At(0, int64(i+1)), reply.Evacuations.Position)
			assert.Len(t, reply.Evacuations.Evacuations, want)
		}
	})
	t.Run("compresses a state with many routes", func(t *testing.T) {
		content := routing.Content{Version: 9}
		for i := range 300 {
			content.Routes = append(content.Routes, routing.Route{
				Name: fmt.Sprint("r", i*7919), Host: fmt.Sprint("h", i%20), PathPrefix: fmt.Sprint("/p", i*104_729, "/"),
				Kind: routing.Safe, Attempts: 2, TimeoutMs: 1500, Splits: []routing.Split{{Pool: "p", Weight: 1}},
			})
		}
		data, err := compressReply(Reply{State: &content})
		require.NoError(t, err)
		assert.Less(t, len(data), 10_000)
	})
	t.Run("returns nothing that the requester has", func(t *testing.T) {
		reply, err := c.Fetch(t.Context(), address, 7, position.At(0, 3))
		require.NoError(t, err)
		assert.Nil(t, reply.State)
		assert.Empty(t, reply.Upstreams.Changes)
	})
	t.Run("rejects an invalid query", func(t *testing.T) {
		response, err := http.Get(server.URL + path + "?version=x")
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		assert.Equal(t, http.StatusBadRequest, response.StatusCode)
	})
	t.Run("returns an error for an unreachable box", func(t *testing.T) {
		server.Close()
		_, err := c.Fetch(t.Context(), address, 0, position.Position{})
		require.ErrorIs(t, err, ErrUnavailable)
	})
}

// stalledWriter blocks writes until it is released, like a client that does not read the response.
type stalledWriter struct {
	*httptest.ResponseRecorder
	started, release chan struct{}
}

func (s stalledWriter) Write(data []byte) (int, error) {
	s.started <- struct{}{}
	<-s.release
	return s.ResponseRecorder.Write(data)
}

func TestLongReplies(t *testing.T) {
	handler := Handler(newState(t, longReplyChanges+1))
	ask := func(w http.ResponseWriter, offset int) {
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, fmt.Sprintf("%s?version=7&position=0:%d", path, offset), nil))
	}
	stall := stalledWriter{ResponseRecorder: httptest.NewRecorder(), started: make(chan struct{}), release: make(chan struct{})}
	done := make(chan struct{})
	for range maxLongReplies {
		go func() {
			ask(stalledWriter{ResponseRecorder: httptest.NewRecorder(), started: stall.started, release: stall.release}, 0)
			done <- struct{}{}
		}()
		<-stall.started
	}
	t.Run("are rejected above the concurrency limit", func(t *testing.T) {
		w := httptest.NewRecorder()
		ask(w, 0)
		assert.Equal(t, http.StatusServiceUnavailable, w.Code)
	})
	t.Run("short replies are not limited", func(t *testing.T) {
		w := httptest.NewRecorder()
		ask(w, longReplyChanges)
		assert.Equal(t, http.StatusOK, w.Code)
	})
	close(stall.release)
	for range maxLongReplies {
		<-done
	}
	t.Run("are accepted again once others have finished", func(t *testing.T) {
		w := httptest.NewRecorder()
		ask(w, 0)
		assert.Equal(t, http.StatusOK, w.Code)
	})
}
