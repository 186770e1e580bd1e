package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/guard"
	"dooryard.example/dooryard/internal/supervisor"
)

// runGuarded runs a box whose panics are handled as in its own process.
func runGuarded(t *testing.T, test func(f *fleet, b *running, out *logBuffer)) {
	t.Helper()
	runWithFleet(t, func(f *fleet) {
		out := &logBuffer{}
		f.out = out
		f.upstream("u", respondWith("done"))
		b := f.box(1)
		defer guard.Handle(b.HandlePanic)()
		test(f, b, out)
	})
}

// TestPanicOutsideOfHandlers guards against a box that ends with the requests of all callers, and without a line,
// because one of its own goroutines panics.
func TestPanicOutsideOfHandlers(t *testing.T) {
	t.Run("the part is run again", func(t *testing.T) {
		runGuarded(t, func(f *fleet, b *running, out *logBuffer) {
			runs := atomic.Int64{}
			b.runPart(f.t.Context(), "part", func() {
				if runs.Add(1) < 3 {
					panic("broken")
				}
			})
			advance(f.t, time.Second)
			assert.EqualValues(f.t, 3, runs.Load())
			assert.Len(f.t, out.with("part panicked"), 1)
			assert.Contains(f.t, out.with("part panicked")[0], "panics_test.go")
			assertStatus(f.t, b, "/safe/", http.StatusOK)
		})
	})
	t.Run("a part that panics again and again ends the box as a signal does", func(t *testing.T) {
		runGuarded(t, func(f *fleet, b *running, out *logBuffer) {
			ctx, cancel := context.WithCancel(f.t.Context())
			b.runPart(ctx, "part", func() { panic("broken") })
			advance(f.t, (supervisor.MaxRestarts-2)*supervisor.RestartMs.Duration())
			assert.Empty(f.t, out.with("part lost"))
			assertStatus(f.t, b, "/safe/", http.StatusOK)
			advance(f.t, 2*supervisor.RestartMs.Duration())
			cancel()
			require.ErrorIs(f.t, <-b.done, supervisor.ErrFails)
			b.done <- nil
			for _, stage := range []string{"part lost", "stopping", "listeners close", "stopped"} {
				assert.Len(f.t, out.with(`"msg":"`+stage+`"`), 1, stage)
			}
		})
	})
}
