package balance

import "context"

// turnedSlow reports whether other engines are asked once more because the one that was asked last is slow now: it has
// turned slow while the prompt waited at its owner, the owner's answer says so, or the owner has refused the prompt
// after a wait.
func (w *admissionWalk) turnedSlow(e *askedEngine) bool {
	m := w.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.monotonic()
	return !e.ask.Force && !e.estimated && !w.recheckedPace && e.lease.pace.Slow(now) &&
		m.paceApplies(m.candidates(w.request, m.members(w.request), now), now)
}

// orSlow returns the outcome of a round in which other engines were asked. If none of them admitted the prompt at once,
// it goes to the engine that turned slow, whose owner still counts it.
func (w *admissionWalk) orSlow(ctx context.Context, lease *Lease, err error) (*Lease, error) {
	slow := w.slow
	w.slow = nil
	if err != nil {
		return w.commit(ctx, slow)
	}
	slow.reply.Release(false)
	return lease, nil
}
