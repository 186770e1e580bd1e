package gateway

import (
	"runtime/metrics"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
)

func TestPauseIsLogged(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		log := &logBuffer{}
		f.out = log
		f.box(1)
		advance(f.t, time.Second)
		f.advanceMonotonic(pauseThresholdMs / 2)
		advance(f.t, time.Second)
		assert.Empty(f.t, withMessage(log.read(f.t), "process paused"))
		f.advanceMonotonic(suspendedMs)
		advance(f.t, time.Second)
		lines := withMessage(log.read(f.t), "process paused")
		require.Len(f.t, lines, 1)
		assert.Contains(f.t, lines[0].Fields, "processor_ms")
		assert.Contains(f.t, lines[0].Fields, "collector_ms")
	})
}

func TestLongestCollectorPause(t *testing.T) {
	p := &collectorPauses{}
	assert.NotEmpty(t, readCollectorStops().Buckets, "the runtime has no such histogram")
	read := func(counts ...uint64) clock.Millis {
		return p.longest(&metrics.Float64Histogram{Counts: counts, Buckets: []float64{0, 0.25, 0.5, 2, 4}})
	}
	assert.Equal(t, clock.Millis(500), read(9, 0, 1, 0))
	assert.Zero(t, read(9, 0, 1, 0), "none since")
	assert.Equal(t, clock.Millis(250), read(11, 2, 1, 0))
	assert.Equal(t, clock.Millis(2000), read(11, 3, 1, 1))
}
