package gateway

import (
	"context"
	"slices"
	"sync/atomic"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/inbound"
)

const (
	// responsesPerMs is how many last responses a process writes in a millisecond of processor time.
	responsesPerMs = 4
	// supplyTickMs is how often a stopping box checks whether it gets processor time. Processes under quotas often get
	// none for tens of milliseconds.
	supplyTickMs clock.Millis = 5
	// supplyWindowMs is the time over which the supply is averaged, several periods of common quotas.
	supplyWindowMs = 500
)

// supplyMeter measures for which part of the time the process gets a processor.
type supplyMeter struct {
	// lackingPercent is the part of the time without a processor.
	lackingPercent atomic.Int64
	lacking        float64
}

// observe is called after each wait for supplyTickMs, with the time that it took.
func (s *supplyMeter) observe(span clock.Millis) {
	lacking := max(0, float64(span-supplyTickMs)/float64(max(1, span)))
	weight := float64(span) / float64(span+supplyWindowMs)
	s.lacking += weight * (lacking - s.lacking)
	s.lackingPercent.Store(int64(percent * s.lacking))
}

// stretch returns how long something takes that needs some processor time.
func (s *supplyMeter) stretch(processorMs clock.Millis) clock.Millis {
	return processorMs * percent / (percent - clock.Millis(min(percent-1, s.lackingPercent.Load())))
}

// awaitGraceEnd waits until requests must be answered that still run, or the context ends.
func (b *Box) awaitGraceEnd(ctx context.Context) {
	lastMs := b.clock.Monotonic()
	for b.graceLeftMs() > 0 && b.clock.Sleep(ctx, supplyTickMs) == nil {
		now := b.clock.Monotonic()
		b.supply.observe(now - lastMs)
		lastMs = now
	}
}

// lastResponsesMs returns how long the responses to all requests that still run would take now. Their part of the
// reserve comes in addition, for what this estimate misses.
func (b *Box) lastResponsesMs() clock.Millis {
	return b.supply.stretch(clock.Millis(b.requests.Load() / responsesPerMs))
}

// awaitLastResponses waits until it is too late for further responses, or the context ends. A process that got no
// processor until the grace period was over answers nevertheless: if it was to be killed, it would have been.
func (b *Box) awaitLastResponses(ctx context.Context) {
	leastMs := exitReserveMs * lastResponsesPercent / percent
	now := b.clock.Monotonic()
	usualMs := max(b.finalGraceMs()+b.exitReserve()*lastResponsesPercent/percent, now+leastMs)
	latestMs := max(b.finalGraceMs()+b.exitReserve()*unansweredPercent/percent,
		now+min(leastMs+b.lastResponsesMs(), b.earliestCut()))
	for ctx.Err() == nil {
		untilMs := usualMs
		if slices.ContainsFunc(b.drained, (*inbound.Listener).HasRequests) {
			untilMs = latestMs
		}
		leftMs := untilMs - b.clock.Monotonic()
		if leftMs <= 0 || b.clock.Sleep(ctx, min(leftMs, supplyTickMs)) != nil {
			return
		}
	}
}
