package dispatch

import (
	"sync"

	"dooryard.example/dooryard/internal/clock"
)

// retryTimer expires once an attempt has made no progress for a span and a retry would help. An attempt that is
// canceled although no retry may follow, or although the other upstreams are as slow, is lost: the upstream has done a
// part of the work, and its response would have come late rather than not at all.
//
// This answers overload: engines that read more prompts than usual respond later than the timeout, and canceled
// attempts would add work to the others until the retry budget is used up.
type retryTimer struct {
	clock  clock.Clock
	spanMs clock.Millis
	// helps reports whether a retry would help now.
	helps  func() bool
	expire func()

	mu    sync.Mutex
	timer *clock.Timer
	// progress counts the calls of recordProgress and stop, so that a check that overlaps with one has no effect.
	progress int
}

// recheckDivisor is the span in relation to the time after which a retry that would not have helped is considered
// again.
const recheckDivisor = 4

// startRetryTimer starts a timer, which calls expire in a goroutine of its own.
func startRetryTimer(c clock.Clock, span clock.Millis, helps func() bool, expire func()) *retryTimer {
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

func (t *retryTimer) check(progress int) {
	helps := t.helps()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.progress != progress:
	case helps:
		t.expire()
	default:
		t.startLocked(t.spanMs / recheckDivisor)
	}
}

// recordProgress starts the span anew.
func (t *retryTimer) recordProgress() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
	t.progress++
	t.startLocked(t.spanMs)
}

func (t *retryTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
	t.progress++
}
