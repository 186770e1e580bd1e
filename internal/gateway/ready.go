package gateway

import (
	"context"
	"net/http"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/routing"
)

// startupWaitMs is how long a request may wait for the first sync of a box that has just started: many times as long
// as a healthy store takes. Requests that arrive later than that after the start don't wait, since the store must be
// unavailable.
const startupWaitMs clock.Millis = 400

// awaitState returns the current routing state. If the box has just started or resumed from a pause, it waits a short
// time for the state, for its confirmation, without which no key is accepted, and for the notes, which tell which
// requests are quarantined.
func (b *Box) awaitState(ctx context.Context) *routing.State {
	b.pauseDetector.awaitRefresh(ctx)
	if b.isSynced() && isClosed(b.confirmed) && isClosed(b.notesRead) {
		return b.routingState.State()
	}
	if b.clock.Monotonic()-b.peering.startedMs >= startupWaitMs {
		return b.routingState.State()
	}
	ctx, cancel := context.WithTimeout(ctx, startupWaitMs.Duration())
	defer cancel()
	for _, awaited := range []chan struct{}{b.synced, b.confirmed, b.notesRead} {
		select {
		case <-awaited:
		case <-ctx.Done():
		}
	}
	return b.routingState.State()
}

// isSynced reports whether the box has received a routing state and a list of upstreams.
func (b *Box) isSynced() bool { return isClosed(b.synced) }

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// updateSynced marks the box as synced once it has a routing state and a list of upstreams.
func (b *Box) updateSynced() {
	if b.routingState.State() != nil && !b.registry.Position().IsZero() {
		b.syncedOnce.Do(func() { close(b.synced) })
	}
}

// confirm records a confirmation of the routing state. Requests that wait for one at the start wait on if it is too old
// to accept keys, since the store may still give a newer one.
func (b *Box) confirm(c routing.Confirmation) {
	b.routingState.Confirm(c)
	if _, ok := b.routingState.Confirmed(); ok && b.keysTrusted() {
		b.confirmedOnce.Do(func() { close(b.confirmed) })
	}
}

// Ready reports whether the box accepts new callers: it has a list of upstreams and a routing state whose keys it may
// trust, it has a listener for them, and it is not shutting down.
func (b *Box) Ready() bool {
	return !b.stopping.Load() && b.isSynced() && b.keysTrusted() && b.callersListener.IsOpen()
}

// keysTrusted reports whether the routing state was confirmed recently enough to accept its keys.
func (b *Box) keysTrusted() bool {
	bound := b.maxAgeMs()
	return bound == 0 || b.routingState.AgeMs() < bound
}

// readiness responds to the readiness check of the front load balancer. A box that has just started responds once it
// is synced: after a negative response it would get no requests until the next check.
func (b *Box) readiness(w http.ResponseWriter, r *http.Request) {
	b.awaitState(r.Context())
	if !b.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
