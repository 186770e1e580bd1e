package gateway

import (
	"context"
	"errors"
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/inbound"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/routing"
)

// Timing of a graceful shutdown.
const (
	// exitReserveMs is the part of the grace period that is reserved for the exit of a process without stalls.
	exitReserveMs clock.Millis = 250
	// reserveStalls is how many stalls of the process fit into the reserve beside exitReserveMs.
	reserveStalls = 3
	// cutDivisor is the divisor of the grace period that gives the last part of it, in which callers expect requests that
	// still run to be cut.
	cutDivisor = 6
	// reservePercent is the part of that last part which the reserve may take. The rest is for the delay of the signal.
	reservePercent = 40
	// lastResponsesPercent is the part of the reserve in which requests that outlast the grace period are answered, and
	// unansweredPercent the part while any still have no response. A process that is killed loses no more than these.
	lastResponsesPercent = 40
	unansweredPercent    = 80
	// defaultGraceS is a common interval between SIGTERM and SIGKILL.
	defaultGraceS = 10
	// maxStreamStartMs is how long after its beginning a stop accepts streams, if that is in the first half of the grace
	// period: by then callers know that the box stops, and streams often last for as long as the rest of it. Signals are
	// handled a little late also where no stall is known.
	maxStreamStartMs = 3*clock.Second - 2*housekeepingIntervalMs
	// maxLastStartMs is how long before the end of the grace period the last requests of other kinds are accepted. Few
	// requests take longer, and one that is cut may have run.
	maxLastStartMs clock.Millis = 1000
	// lastStartDivisor limits maxLastStartMs to the grace period divided by this number.
	lastStartDivisor = 8
	// stoppingRetryMs is the Retry-After of a request that another box may serve at once.
	stoppingRetryMs clock.Millis = 200
	// usualSignalDelayMs is the delay of a signal that a process without stalls can't rule out.
	usualSignalDelayMs = 2 * housekeepingIntervalMs
	// signalHops is how many goroutines take part in handling a signal. Each may wait for one stall of the process.
	signalHops = 4
)

// stop shuts the box down gracefully. The box reports not ready and continues to serve requests until the front load
// balancer has stopped sending new ones, then lets running requests finish. Requests that outlast the grace period are
// refused, or cut if their responses have begun, which is no error.
func (b *Box) stop(ctx context.Context) error {
	b.beginStop()
	b.recordStop("stopping", nil)
	b.peering.mesh.BroadcastDraining()
	b.origins.tellAll()
	grace, end := context.WithCancel(ctx)
	defer end()
	b.goroutines.Go(func() {
		defer end()
		b.awaitGraceEnd(grace)
	})
	_ = b.clock.Sleep(grace, b.announceLeftMs())
	b.recordStop("listeners close", nil)
	b.handOver()
	err := b.drain(grace)
	if grace.Err() == nil {
		return err
	}
	if cut := b.requests.Load(); cut > 0 {
		b.metrics.RequestsCut(cut)
		b.recordStop("requests cut", nil)
	}
	last, cancel := context.WithCancel(ctx)
	defer cancel()
	b.endGrace()
	b.goroutines.Go(func() {
		defer cancel()
		b.awaitLastResponses(last)
	})
	b.eachListener(func(_ int, l *inbound.Listener) { l.CloseIdle(last) })
	return err
}

// beginStop records when the stop began.
func (b *Box) beginStop() {
	b.stopHandledMs.Store(int64(b.clock.Monotonic()))
	b.stopStartMs.Store(int64(b.stopStart()))
	b.stopEarliestMs.Store(int64(b.clock.Monotonic() - b.signalDelay()))
	b.stopping.Store(true)
}

// signalDelay returns how long ago the signal to stop may have been sent. With little processor time it is handled
// late, but its sender counts from when it was sent.
func (b *Box) signalDelay() clock.Millis {
	return max(b.clock.Monotonic()-b.stalls.before(), signalHops*b.stalls.usual())
}

// stopStart returns the beginning of a stop: an instant at which the process had no signal, unless that would have
// requests cut before callers expect it.
func (b *Box) stopStart() clock.Millis {
	maxDelayMs := min(b.earliestCut()*(percent-reservePercent)/percent, b.earliestCut()-b.exitReserve())
	return b.clock.Monotonic() - min(b.signalDelay(), max(0, maxDelayMs))
}

// announceLeftMs returns for how long the listeners stay open in a stop. If the signal may have been sent long ago, the
// front load balancer had no response meanwhile, and needs less time.
func (b *Box) announceLeftMs() clock.Millis {
	announceMs, handledMs := timingOf(b.Settings()).announceMs, clock.Millis(b.stopHandledMs.Load())
	lateMs := max(0, handledMs-clock.Millis(b.stopEarliestMs.Load())-usualSignalDelayMs)
	endMs := handledMs + announceMs - min(lateMs, announceMs/2)
	return max(0, min(endMs-b.clock.Monotonic(), b.graceLeftMs()))
}

// exitReserve returns the part of the grace period that is reserved for the exit of the process.
func (b *Box) exitReserve() clock.Millis {
	return max(exitReserveMs, min(exitReserveMs+reserveStalls*b.stalls.usual(), b.earliestCut()*reservePercent/percent))
}

// earliestCut returns how long before the end of the grace period requests may be cut. It covers the assumed delay of
// the signal and the reserve.
func (b *Box) earliestCut() clock.Millis { return shutdownGrace(b.Settings()) / cutDivisor }

// graceLeftMs returns for how long requests may still run in a stop. Many requests are answered earlier than a few, but
// not before callers expect it.
func (b *Box) graceLeftMs() clock.Millis {
	endMs := b.finalGraceMs()
	earliestMs := clock.Millis(b.stopHandledMs.Load()) + shutdownGrace(b.Settings()) - b.earliestCut()
	return max(min(endMs, earliestMs), endMs-b.lastResponsesMs()) - b.clock.Monotonic()
}

// finalGraceMs returns when the last request must be answered in a stop.
func (b *Box) finalGraceMs() clock.Millis {
	return clock.Millis(b.stopStartMs.Load()) + shutdownGrace(b.Settings()) - b.exitReserve()
}

// announcesClose reports whether a response tells its caller that a stop closes the connection. In the first half of
// the grace period, whatever waits on the connection is answered before, and then only what was read.
func (b *Box) announcesClose(c *inbound.Conn) bool {
	switch {
	case !b.stopping.Load():
		return false
	case c == nil:
		return true
	case b.graceLeftMs() > shutdownGrace(b.Settings())/2:
		return !c.Pipelined()
	default:
		return !c.IsAhead()
	}
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

// stopCheck is the pipeline step that refuses requests of which a stopping box knows that it can't finish them.
type stopCheck struct{ box *Box }

// String returns the name of the step in logs.
func (stopCheck) String() string { return "stop" }

// Run checks whether the request can be finished. A stream that can't is cut at the end of the grace period, while
// other requests are answered then.
func (s stopCheck) Run(r *opaque.Request) error {
	b := s.box
	if !b.stopping.Load() {
		return nil
	}
	now, earliestMs := b.clock.Monotonic(), clock.Millis(b.stopEarliestMs.Load())
	leftMs := b.graceLeftMs() - max(0, clock.Millis(b.stopStartMs.Load())-earliestMs)
	if r.RemainingMs(now) <= leftMs {
		return nil
	}
	late := leftMs < min(maxLastStartMs, shutdownGrace(b.Settings())/lastStartDivisor)
	if r.Route.Kind == routing.Stream {
		late = late || now-earliestMs > min(maxStreamStartMs, shutdownGrace(b.Settings())/2)
	}
	if !late && b.balance.RespondsWithin(r.Pool, max(1, leftMs)) {
		return nil
	}
	return opaque.NewRefusal(opaque.NotRunStatus, opaque.BoxStopping, stoppingRetryMs, nil)
}
