package gateway

import (
	"context"
	"net/http"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/routing"
)

// startWaitMs is how long a request may wait for a box that has just started to
// learn where to send it: many times as long as a store that is well takes. One that comes
// later than that after the start does not wait: the store is away.
const startWaitMs clock.Millis = 400

// awaitState returns the routing state in force. A request that was sent to a
// box that has just started, or woken, waits for it a little.
func (b *Box) awaitState(ctx context.Context) *routing.State {
	b.pauses.await(ctx)
	if b.hasLearnt() {
		return b.belief.State()
	}
	if b.clock.Steady()-b.peering.startedMs >= startWaitMs {
		return b.belief.State()
	}
	ctx, cancel := context.WithTimeout(ctx, startWaitMs.Duration())
	defer cancel()
	select {
	case <-b.learnt:
	case <-ctx.Done():
	}
	return b.belief.State()
}

func (b *Box) hasLearnt() bool {
	select {
	case <-b.learnt:
		return true
	default:
		return false
	}
}

// noteLearnt looks whether the box has learnt enough to serve.
func (b *Box) noteLearnt() {
	if b.belief.State() != nil && !b.registry.Position().IsZero() {
		b.learntOne.Do(func() { close(b.learnt) })
	}
}

// Ready reports whether the box takes new callers: it has a routing state whose
// keys it may trust, knows upstreams, and is not about to stop.
func (b *Box) Ready() bool {
	if b.stopping.Load() || !b.hasLearnt() {
		return false
	}
	bound := b.maxAgeMs()
	return bound == 0 || b.belief.AgeMs() < bound
}

// readiness answers the entry. A box that has just started answers once it has learnt
// where to send requests: after a "no" it would get none until it is asked again.
func (b *Box) readiness(w http.ResponseWriter, r *http.Request) {
	b.awaitState(r.Context())
	if !b.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
