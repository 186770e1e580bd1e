package box

import (
	"context"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
)

const (
	// latenessTickMs is the period in which a box measures its lateness. It does not divide the usual period of processor
	// quotas, 100 ms, so that the ticks fall into different parts of it.
	latenessTickMs clock.Millis = 30
	// maxLatenessMs is the lateness above which the process was paused, which says nothing about its usual lateness.
	maxLatenessMs = clock.Second
)

// measureLateness observes by how much this process acts late, until the context ends.
func (b *Box) measureLateness(ctx context.Context) {
	dueMs := b.clock.Monotonic() + latenessTickMs
	b.clock.Every(ctx, latenessTickMs, func(clock.Millis) {
		b.observeLateness(dueMs)
		dueMs = b.clock.Monotonic() + latenessTickMs
	})
}

// observeLateness records that the process has acted now at a set time.
func (b *Box) observeLateness(dueMs clock.Millis) {
	now := b.clock.Monotonic()
	if lateMs := now - dueMs; lateMs <= maxLatenessMs {
		b.lateness.Observe(now, lateMs)
	}
}

// handleDue is called when the last response to a request must leave.
func (b *Box) handleDue(x *exchange.Exchange) { b.observeLateness(x.RespondBy) }

// latenessMs returns the lateness that this process rarely exceeded lately.
func (b *Box) latenessMs() clock.Millis { return b.lateness.UsualMs(b.clock.Monotonic()) }
