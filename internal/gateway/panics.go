package gateway

import (
	"context"

	"dooryard.example/dooryard/internal/guard"
)

// HandlePanic counts and logs a panic outside of the handlers of requests.
func (b *Box) HandlePanic(p guard.Panic) {
	b.metrics.PartPanicked()
	if b.ignoredInputs.shouldLog("panic in " + p.Part) {
		b.RecordProcess("part panicked", p.String())
	}
}

// runPart runs a part of the box in its own goroutine until it returns or the context ends, again after each panic.
// After too many panics the box drains as after a signal, and Run returns an error.
func (b *Box) runPart(ctx context.Context, part string, run func()) { b.supervisor.Run(ctx, part, run) }
