package soak

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/platform/standin"
)

// streamOutcome returns the outcome of a request whose stream has events of software versions, from an event on.
func streamOutcome(id, resumes string, after int, versions ...string) standin.Outcome {
	o := standin.Outcome{
		Call:   standin.Call{ID: id, Kind: standin.Resumable, Key: "k", Resumes: resumes, After: after},
		Status: http.StatusOK,
	}
	for i, version := range versions {
		o.Answer += standin.Event(id, version, after+i+1)
	}
	return o
}

func TestCheckStreams(t *testing.T) {
	t.Run("finds events of two versions in one response", func(t *testing.T) {
		h := newHistory()
		h.recordOutcome(streamOutcome("1", "", 0, "v1", "v2"))
		assertFinds(t, h, "one software version in a stream")
	})
	t.Run("finds events of two versions over the requests that took a stream up", func(t *testing.T) {
		h := newHistory()
		h.recordOutcome(streamOutcome("1", "", 0, "v1"))
		h.recordOutcome(streamOutcome("2", "1", 1, "v1"))
		h.recordOutcome(streamOutcome("3", "1", 2, "v2"))
		assertFinds(t, h, "one software version in a stream")
	})
	t.Run("finds nothing in streams of one version each", func(t *testing.T) {
		h := newHistory()
		h.recordOutcome(streamOutcome("1", "", 0, "v1"))
		h.recordOutcome(streamOutcome("2", "1", 1, "v1"))
		h.recordOutcome(streamOutcome("4", "", 0, "v2"))
		assert.Empty(t, h.check())
		assert.Equal(t, streamStats{TakenUp: 1, WentOn: 1}, h.streamStats())
	})
	t.Run("counts only complete events", func(t *testing.T) {
		o := streamOutcome("1", "", 0, "v1", "v2")
		o.Answer = o.Answer[:len(o.Answer)-1]
		assert.Equal(t, []string{"v1"}, o.Events())
	})
}
