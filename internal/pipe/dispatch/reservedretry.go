package dispatch

import (
	"context"
	"sync"
)

// reservedRetry is a retry that was taken from the budget before an attempt was canceled for it. Without it, several
// requests could give up their upstreams for the last retry of the budget, and all but one would get no response.
type reservedRetry struct {
	mu   sync.Mutex
	held bool
}

// reserve takes a retry unless one is held, and reports whether one is held then.
func (r *reservedRetry) reserve(take func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = r.held || take()
	return r.held
}

// use reports whether a retry was held, which it no longer is.
func (r *reservedRetry) use() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.held
	r.held = false
	return held
}

// reserveRetry takes a retry if the request may be sent once more and the budget has a retry for that. It reports
// whether it did.
func (s *retryLoop) reserveRetry() bool {
	return s.pipe.deps.RecheckKey(s.request) == nil &&
		s.reserved.reserve(func() bool { return s.pipe.deps.MayRetry(s.request.Pool) })
}

// cancelToRetry cancels an attempt if a retry can be reserved. It reports whether it did.
func (s *retryLoop) cancelToRetry(cause error, cancel context.CancelCauseFunc) bool {
	if !s.reserveRetry() {
		return false
	}
	cancel(cause)
	return true
}

// returnReserved gives back a retry that is still held: a canceled attempt may have got its response all the same.
func (s *retryLoop) returnReserved() {
	if s.reserved.use() {
		s.pipe.deps.ReturnRetry(s.request.Pool)
	}
}
