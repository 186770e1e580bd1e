package forward

import (
	"sync/atomic"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
)

// sendWindow is the time in which an attempt may send its request: it begins while a response can still arrive in time,
// and all of it is sent before the request must not be sent any more.
type sendWindow struct {
	x     *exchange.Exchange
	clock clock.Clock
	// begun is set once a write was allowed, and over once one was not.
	begun, over atomic.Bool
}

// isOver reports whether nothing may be written now. It is called right before each write.
func (w *sendWindow) isOver() bool {
	now := w.clock.Monotonic()
	if w.x.SendBefore > 0 && now > w.x.SendBefore || !w.begun.Load() && w.x.RemainingMs(now) <= 0 {
		w.over.Store(true)
		return true
	}
	w.begun.Store(true)
	return false
}
