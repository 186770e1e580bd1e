package dispatch

import (
	"sync"

	"dooryard.example/dooryard/internal/clock"
)

// retryTimer expires once an attempt has made no progress for a span and a retry would help. Canceling an attempt when
// no retry may follow, or when the other upstreams are as slow, wastes the work that its upstream has done, and the
// caller gets no response instead of a late one.
//
// This handles overload: engines that prefill more prompts than usual respond after the timeout, and the retries of
// canceled attempts add work at the others until the retry budget is used up.
type retryTimer struct {
	clock  clock.Clock
	spanMs clock.Millis
	// helps reports whether a retry would help now. It is called without the lock.
	helps func() bool
	// expire reports whether the attempt was canceled. It is called with the lock held.
	expire func() bool

	mu    sync.Mutex
	timer *clock.Timer
	// progress counts the calls of recordProgress and stop, so that a check that runs during one has no effect.
	progress int
}

// recheckDivisor is the divisor of the span that gives the interval of further checks while a retry would not help. A
// retry then starts at most a quarter of the span after it would help.
const recheckDivisor = 4

// startRetryTimer starts a timer, which calls expire in a goroutine of its own.
func startRetryTimer(c clock.Clock, span clock.Millis, helps, expire func() bool) *retryTimer {
	t := &retryTimer{clock: c, spanMs: span, helps: helps, expire: expire}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startLocked(span)
	return t
}

// startLocked starts the timer that checks the progress recorded so far.
func (t *retryTimer) startLocked(span clock.Millis) {
	progress := t.progress
	t.timer = t.clock.AfterFunc(max(1, span), func() { t.check(progress) })
}

// check expires the timer, or starts it again, unless there has been progress since the timer was started.
func (t *retryTimer) check(progress int) {
	helps := t.helps()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.progress != progress:
	case helps && t.expire():
	default:
		t.startLocked(t.spanMs / recheckDivisor)
	}
}

// recordProgress restarts the span.
func (t *retryTimer) recordProgress() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
	t.progress++
	t.startLocked(t.spanMs)
}

// stop prevents the timer from expiring. It doesn't wait for a check that runs.
func (t *retryTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
	t.progress++
}
