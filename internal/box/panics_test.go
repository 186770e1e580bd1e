package box

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/guard"
	"dooryard.example/dooryard/internal/logging"
	"dooryard.example/dooryard/internal/metrics"
	"dooryard.example/dooryard/internal/supervisor"
)

// TestPanicOutsideOfHandlers guards against a box that ends with the requests of all callers, and without a line,
// because one of its own goroutines panics.
func TestPanicOutsideOfHandlers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, lines := observer.New(zap.ErrorLevel)
		b := &Box{clock: clock.New(), logger: zap.New(core), metrics: metrics.New()}
		b.supervisor, b.panicLogger = supervisor.New(b.clock, &b.running), logging.Limited(b.logger)
		defer guard.Handle(b.HandlePanic)()
		runs := 0
		b.supervisor.Run(t.Context(), "recovers", func() {
			if runs++; runs < 3 {
				panic("broken")
			}
		})
		b.running.Wait()
		assert.Equal(t, 3, runs)
		assert.Equal(t, 2, lines.FilterMessage("part panicked").Len())
		b.supervisor.Run(t.Context(), "fails", func() { panic("broken") })
		require.ErrorIs(t, b.waitForStop(t.Context(), nil), supervisor.ErrFails)
		assert.EqualValues(t, supervisor.MaxRestarts, b.metrics.PartPanics.Value())
		assert.Equal(t, 5, lines.FilterMessage("part panicked").Len(), "lines in 10 s")
		assert.Equal(t, 1, lines.FilterMessage("part lost").Len())
	})
}
