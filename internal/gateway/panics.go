package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/guard"
)

// errPartFails ends a box of which a part panics again and again.
var errPartFails = errors.New("a part of the box panics again and again")

const (
	// partRestartMs is the delay before a part of the box is run again after a panic.
	partRestartMs clock.Millis = 100
	// maxRestarts of parts within restartWindowMs are too many: the state of the process is not to be trusted, and the
	// box drains and ends. Panics that an input causes restart no part, since every box may get that input.
	maxRestarts     = 30
	restartWindowMs = 60 * clock.Second
)

// partRestarts counts how often parts of the box were run again.
type partRestarts struct {
	// tooMany receives an error once there were too many.
	tooMany chan error

	mu            sync.Mutex
	windowStartMs clock.Millis
	count         int
}

func newPartRestarts() *partRestarts { return &partRestarts{tooMany: make(chan error, 1)} }

// record counts a restart of a part.
func (r *partRestarts) record(now clock.Millis, part string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now-r.windowStartMs >= restartWindowMs {
		r.windowStartMs, r.count = now, 0
	}
	r.count++
	if r.count != maxRestarts {
		return
	}
	select {
	case r.tooMany <- fmt.Errorf("%w: %s, restart %d in %d s", errPartFails, part, r.count, restartWindowMs/clock.Second):
	default:
	}
}

// HandlePanic counts and logs a panic outside of the handlers of requests.
func (b *Box) HandlePanic(p guard.Panic) {
	b.metrics.PartPanicked()
	if b.ignoredInputs.shouldLog("panic in " + p.Part) {
		trace := p.Trace[:min(len(p.Trace), maxPanicBytes)]
		b.RecordProcess("part panicked", fmt.Sprintf("%s: %v: %s", p.Part, p.Value, trace))
	}
}

// runPart runs a part of the box in its own goroutine until it returns or the context ends, again after each panic.
// After too many panics the box drains as after a signal, and Run returns an error.
func (b *Box) runPart(ctx context.Context, part string, run func()) {
	b.goroutines.Go(func() {
		for !guard.Do(part, run) {
			b.restarts.record(b.clock.Monotonic(), part)
			if b.clock.Sleep(ctx, partRestartMs) != nil {
				return
			}
		}
	})
}
