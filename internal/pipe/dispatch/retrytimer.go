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

	mu      sync.Mutex
	timer   *clock.Timer
	stopped bool
}

// recheckDivisor is the span in relation to the time after which a retry that would not have helped is considered again.
const recheckDivisor = 4

// startRetryTimer starts a timer that calls expire at most once, in a goroutine of its own.
func startRetryTimer(c clock.Clock, span clock.Millis, helps func() bool, expire func()) *retryTimer {
	t := &retryTimer{clock: c, spanMs: span, helps: helps, expire: expire}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = c.AfterFunc(span, t.check)
	return t
}

func (t *retryTimer) check() {
	if t.helps() {
		t.expire()
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.timer = t.clock.AfterFunc(max(1, t.spanMs/recheckDivisor), t.check)
	}
}

// recordProgress starts the span anew.
func (t *retryTimer) recordProgress() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.timer.Reset(t.spanMs)
	}
}

func (t *retryTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
