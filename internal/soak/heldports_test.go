package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestFindsBoxThatServesLate guards against a box that waits for a port that callers don't need.
func TestFindsBoxThatServesLate(t *testing.T) {
	const ms = time.Millisecond
	start := time.Now()
	for _, c := range []struct {
		name   string
		span   time.Duration
		found  int
		change func(h *history, s *service)
	}{
		{"a late box", maxStartSpan + ms, 1, nil},
		{"one in time", maxStartSpan, 0, nil},
		{"one that waited for a processor", maxStartSpan + ms, 0, func(_ *history, s *service) { s.waited = ms }},
		{"planned work", maxStartSpan + ms, 1, func(h *history, _ *service) {
			h.disturbances["b"] = []*interval{{from: start, planned: true}}
		}},
		{"a pause", maxStartSpan + ms, 0, func(h *history, _ *service) { h.disturbances["b"] = []*interval{{from: start}} }},
		{"a pause before", maxStartSpan + ms, 1, func(h *history, _ *service) {
			h.disturbances["b"] = []*interval{{from: start.Add(-ms), to: start}}
		}},
		{"a store that fails", maxStartSpan + ms, 0, func(h *history, _ *service) {
			h.disturbances[allBoxes] = []*interval{{from: start}}
		}},
		{"a quota", maxStartSpan + ms, 0, func(h *history, _ *service) {
			h.disturbances["b"] = []*interval{{from: start, share: ms}}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, s := newHistory(), service{box: "b", from: start, to: start.Add(c.span)}
			if c.change != nil {
				c.change(h, &s)
			}
			h.recordService(s)
			assert.Len(t, h.check(), c.found)
			assert.Equal(t, c.span.Milliseconds(), h.lost.LongestStartMs)
		})
	}
}
