package gateway

import (
	"context"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/deadline"
	"dooryard.example/dooryard/internal/opaque"
)

// latenessTickMs is the period in which a box measures its lateness. It does not divide the usual period of processor
// quotas, 100 ms, so that the ticks fall into different parts of it.
const latenessTickMs clock.Millis = 30

// Defaults of the settings for last responses.
const (
	// defaultRoundTripMs is a round trip between data centers of a region through a balancer.
	defaultRoundTripMs = 15
	// defaultMaxLeadMs covers a round trip around the world.
	defaultMaxLeadMs = 250
	// defaultMaxLeadPercent leaves most of a short deadline for the response.
	defaultMaxLeadPercent = 10
)

// measureLateness observes by how much this process acts late, until the context ends.
func (b *Box) measureLateness(ctx context.Context) {
	b.metrics.Publish("lateness_ms", func() any { return b.latenessMs() })
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

// handleDue is called when the last response to a request must leave.
func (b *Box) handleDue(r *opaque.Request) { b.observeLateness(r.RespondByMs) }

// leadMs returns by how much the last response to a request has to leave before the deadline of its sender, who waits
// for waitMs. Of boxes, which connect to each other directly, the round trip is known.
func (b *Box) leadMs(r *opaque.Request, waitMs clock.Millis) clock.Millis {
	d := b.settings.Load().Deadline
	limits := deadline.Limits{
		RoundTripMs: clock.Millis(d.RoundTripMs), MaxLeadMs: clock.Millis(d.MaxLeadMs), MaxLeadPercent: d.MaxLeadPercent,
	}
	if r.FromBox != "" {
		limits.RoundTripMs = 0
	}
	return limits.LeadMs(waitMs, r.Path, b.latenessMs())
}

// latenessMs returns the lateness that this process rarely exceeded lately.
func (b *Box) latenessMs() clock.Millis { return b.lateness.UsualMs(b.clock.Monotonic()) }
