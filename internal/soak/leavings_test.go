package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/platform/standin"
)

// TestLateAfterLeaving guards against a check that excuses boxes which are in touch, or blames others.
func TestLateAfterLeaving(t *testing.T) {
	const box, ms = "box-0", time.Millisecond
	left := time.Now()
	for _, c := range []struct {
		name string
		// ran is how long after the leaving the request ran, disturbed how long before that the box last was.
		ran, disturbed time.Duration
		found          bool
	}{
		{"in time", maxPropagation + timingSlack, time.Hour, false},
		{"late", maxPropagation + timingSlack + ms, time.Hour, true},
		{"late, of a box that was disturbed a while ago", time.Minute, undisturbedSpan + timingSlack + ms, true},
		{"late, of a box that was disturbed just now", time.Minute, undisturbedSpan - ms, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, o, run := successfulRequest(standin.Safe)
			h.leavings, o.Box = true, box
			h.draining[run.Server] = left
			run.StartedAt = left.Add(c.ran)
			at := run.StartedAt.Add(-c.disturbed)
			h.disturbances[box] = []*interval{{from: at.Add(-ms), to: at}}
			h.recordRun(*run)
			h.recordOutcome(*o)
			if !c.found {
				assert.Empty(t, h.check())
				return
			}
			assertFinds(t, h, "no new work after draining entry")
		})
	}
}
