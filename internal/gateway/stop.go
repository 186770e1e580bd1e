package gateway

import (
	"context"
	"errors"
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/inbound"
)

// Timing of a graceful shutdown.
const (
	// exitReserveMs is the part of the grace period that is reserved for the exit of the process.
	exitReserveMs clock.Millis = 250
	// lastResponsesMs is the part of it in which requests that outlast the grace period are answered.
	lastResponsesMs clock.Millis = 100
	// defaultGraceS is a common interval between SIGTERM and SIGKILL.
	defaultGraceS = 10
)

// stop shuts the box down gracefully. The box reports not ready and continues to serve requests until the front load
// balancer has stopped sending new ones, then lets running requests finish. Requests that outlast the grace period are
// refused, or cut if their responses have begun, which is no error.
func (b *Box) stop(ctx context.Context) error {
	b.stopStartMs.Store(int64(b.clock.Monotonic()))
	b.stopping.Store(true)
	b.recordStop("stopping", nil)
	b.peering.mesh.BroadcastDraining()
	b.origins.tellAll()
	_ = b.clock.Sleep(ctx, timingOf(b.Settings()).announceMs)
	b.recordStop("listeners close", nil)
	grace, cancel := b.clock.WithTimeout(ctx, max(1, b.graceLeftMs()))
	defer cancel()
	err := b.drain(grace)
	if grace.Err() == nil {
		return err
	}
	if cut := b.requests.Load(); cut > 0 {
		b.metrics.RequestsCut(cut)
		b.recordStop("requests cut", nil)
	}
	b.endGrace()
	last, cancel := b.clock.WithTimeout(ctx, lastResponsesMs)
	defer cancel()
	b.eachListener(func(_ int, l *inbound.Listener) { l.CloseIdle(last) })
	return err
}

// graceLeftMs returns for how long requests may still run in a stop.
func (b *Box) graceLeftMs() clock.Millis {
	endMs := clock.Millis(b.stopStartMs.Load()) + shutdownGrace(b.Settings()) - exitReserveMs
	return endMs - b.clock.Monotonic()
}

// drain waits until the connections on which requests arrive are closed, or the context ends.
func (b *Box) drain(ctx context.Context) error {
	errs := make([]error, len(b.drained))
	b.eachListener(func(i int, l *inbound.Listener) { errs[i] = l.Drain(ctx) })
	return errors.Join(errs...)
}

// eachListener calls a function for the listeners that requests arrive on, all at once: one after the other, a
// connection to one would keep the others open.
func (b *Box) eachListener(call func(i int, l *inbound.Listener)) {
	calls := sync.WaitGroup{}
	for i, l := range b.drained {
		calls.Go(func() { call(i, l) })
	}
	calls.Wait()
}

// recordStop records a stage of the stop with the requests in flight.
func (b *Box) recordStop(stage string, err error) {
	b.log.Record(decision.Stop{
		Stage: stage, InFlight: b.requests.Load(), Err: errorText(err),
		ClosedIdle: b.evictions.Closed.Load(), KeptUnread: b.evictions.Unread.Load(),
	})
}
