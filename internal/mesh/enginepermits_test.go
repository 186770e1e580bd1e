package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestEnginePermitsAtStart guards against boxes of a fleet of dozens that take it for a small one after their start, and
// send all requests of a session to the same engine.
func TestEnginePermitsAtStart(t *testing.T) {
	runInBubble(t, func(f *fixture) {
		for range 2 * smallFleetBoxes {
			f.start("d1")
		}
		advance(f.t, 20*time.Second)
		started := f.start("d1")
		assert.False(f.t, started.EnginePermits(), "it knows nobody")
		advance(f.t, time.Second)
		assert.True(f.t, started.EnginePermits())
	})
}
