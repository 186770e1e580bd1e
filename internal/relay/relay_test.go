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
	"dooryard.example/dooryard/internal/position"
	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/routing"
)

func steady() clock.Millis { return 1000 }

// full is what a box knows with a number of upstreams.
func full(t *testing.T, upstreams int) (*routing.Belief, *registry.Registry) {
	t.Helper()
	state, err := routing.New(routing.Content{Version: 7})
	require.NoError(t, err)
	belief, r := routing.NewBelief(steady), registry.New(steady)
	belief.Adopt(state, 0)
	for i := range upstreams {
		r.Apply([]registry.Change{{Upstream: registry.Upstream{ID: fmt.Sprint("u", i)}, Position: position.At(0, int64(i+1))}})
	}
	return belief, r
}

func TestFetch(t *testing.T) {
	belief, r := full(t, 3)
	server := httptest.NewServer(Handler(belief, r))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	c := NewClient(nil)
	t.Run("gets what it does not have", func(t *testing.T) {
		reply, err := c.Fetch(t.Context(), address, 0, position.At(0, 1))
		require.NoError(t, err)
		assert.Equal(t, int64(7), reply.State.Version)
		assert.Len(t, reply.Upstreams.Changes, 2)
	})
	t.Run("gets newer states and upstreams as they come", func(t *testing.T) {
		belief, r := full(t, 3)
		server := httptest.NewServer(Handler(belief, r))
		defer server.Close()
		address := strings.TrimPrefix(server.URL, "http://")
		for version := range int64(3 * maxEncoded) {
			state, err := routing.New(routing.Content{Version: 10 + version})
			require.NoError(t, err)
			belief.Adopt(state, 0)
			r.Apply([]registry.Change{{Upstream: registry.Upstream{ID: fmt.Sprint("later", version)}, Position: position.At(0, 10+version)}})
			for range 2 {
				reply, err := c.Fetch(t.Context(), address, 0, position.At(0, 3))
				require.NoError(t, err)
				assert.Equal(t, 10+version, reply.State.Version)
				assert.Len(t, reply.Upstreams.Changes, int(version)+1)
			}
		}
	})
	t.Run("a state of many routes takes few bytes", func(t *testing.T) {
		content := routing.Content{Version: 9}
		for i := range 300 {
			content.Routes = append(content.Routes, routing.Route{
				Name: fmt.Sprint("r", i*7919), Host: fmt.Sprint("h", i%20), PathPrefix: fmt.Sprint("/p", i*104_729, "/"),
				Kind: routing.Safe, Attempts: 2, TimeoutMs: 1500, Splits: []routing.Split{{Pool: "p", Weight: 1}},
			})
		}
		data, err := compressed(Reply{State: &content})
		require.NoError(t, err)
		assert.Less(t, len(data), 10_000)
	})
	t.Run("gets nothing that it has", func(t *testing.T) {
		reply, err := c.Fetch(t.Context(), address, 7, position.At(0, 3))
		require.NoError(t, err)
		assert.Nil(t, reply.State)
		assert.Empty(t, reply.Upstreams.Changes)
	})
	t.Run("a question that can't be read is refused", func(t *testing.T) {
		response, err := http.Get(server.URL + path + "?version=x")
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		assert.Equal(t, http.StatusBadRequest, response.StatusCode)
	})
	t.Run("a box that is gone gives an error", func(t *testing.T) {
		server.Close()
		_, err := c.Fetch(t.Context(), address, 0, position.Position{})
		require.ErrorIs(t, err, ErrUnavailable)
	})
}

// stalled is a caller that reads nothing of its answer until it is let go.
type stalled struct {
	*httptest.ResponseRecorder
	begun, let chan struct{}
}

func (s stalled) Write(data []byte) (int, error) {
	s.begun <- struct{}{}
	<-s.let
	return s.ResponseRecorder.Write(data)
}

func TestLongReplies(t *testing.T) {
	handler := Handler(full(t, longChanges+1))
	ask := func(w http.ResponseWriter, offset int) {
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, fmt.Sprintf("%s?version=7&position=0:%d", path, offset), nil))
	}
	s := stalled{ResponseRecorder: httptest.NewRecorder(), begun: make(chan struct{}), let: make(chan struct{})}
	done := make(chan struct{})
	for range maxLong {
		go func() {
			ask(stalled{ResponseRecorder: httptest.NewRecorder(), begun: s.begun, let: s.let}, 0)
			done <- struct{}{}
		}()
		<-s.begun
	}
	t.Run("more than a few at once are refused", func(t *testing.T) {
		w := httptest.NewRecorder()
		ask(w, 0)
		assert.Equal(t, http.StatusServiceUnavailable, w.Code)
	})
	t.Run("short ones are not", func(t *testing.T) {
		w := httptest.NewRecorder()
		ask(w, longChanges)
		assert.Equal(t, http.StatusOK, w.Code)
	})
	close(s.let)
	for range maxLong {
		<-done
	}
	t.Run("they are given again once others have ended", func(t *testing.T) {
		w := httptest.NewRecorder()
		ask(w, 0)
		assert.Equal(t, http.StatusOK, w.Code)
	})
}
