package gateway

import (
	"context"

	"dooryard.example/dooryard/internal/clock"
)

// latenessTickMs is the period in which a box measures its lateness. It does not divide the usual period of processor
// quotas, 100 ms, so that the ticks fall into different parts of it.
const latenessTickMs clock.Millis = 30

// measureLateness observes by how much this process acts late, until the context ends.
func (b *Box) measureLateness(ctx context.Context) {
	dueMs := b.clock.Monotonic() + latenessTickMs
	b.clock.Every(ctx, latenessTickMs, func(clock.Millis) {
		b.observeLateness(dueMs)
		dueMs = b.clock.Monotonic() + latenessTickMs
	})
}

// observeLateness records that the process has acted now at a set time. A pause says nothing about its usual lateness.
func (b *Box) observeLateness(dueMs clock.Millis) {
	now := b.clock.Monotonic()
	if lateMs := now - dueMs; lateMs <= pauseThresholdMs {
		b.lateness.Observe(now, lateMs)
	}
}

// latenessMs returns the highest lateness that was observed lately.
func (b *Box) latenessMs() clock.Millis { return b.lateness.MaxMs(b.clock.Monotonic()) }
