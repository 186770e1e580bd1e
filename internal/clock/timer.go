package clock

import (
	"sync"
	"time"

	"dooryard.example/dooryard/internal/guard"
)

// Timer calls a function after a span of the monotonic time. Go's timers don't count the time
// in which the machine is suspended, so they are rescheduled when it resumes.
type Timer struct {
	timers *timers
	call   func()

	// Guarded by timers.mu.
	system *time.Timer
	dueMs  Millis
	done   bool
}

// Stop prevents the function from being called and reports whether it did so.
func (t *Timer) Stop() bool {
	t.timers.mu.Lock()
	defer t.timers.mu.Unlock()
	if t.done {
		return false
	}
	t.done = true
	t.system.Stop()
	delete(t.timers.all, t)
	return true
}

// Reset restarts the timer with a new span, unless it has fired or was stopped.
func (t *Timer) Reset(span Millis) {
	t.timers.mu.Lock()
	defer t.timers.mu.Unlock()
	if !t.done {
		t.restart(span)
	}
}

func (t *Timer) restart(span Millis) {
	t.dueMs = t.timers.monotonic() + span
	t.system.Reset(span.Duration())
}

// run is called by the Go timer.
func (t *Timer) run() {
	t.timers.mu.Lock()
	due := !t.done
	if due {
		t.done = true
		delete(t.timers.all, t)
	}
	t.timers.mu.Unlock()
	if due {
		guard.Do("timer", t.call)
	}
}

// timers holds the pending timers of a clock.
type timers struct {
	monotonic func() Millis

	mu  sync.Mutex
	all map[*Timer]struct{}
}

func newTimers(monotonic func() Millis) *timers {
	return &timers{monotonic: monotonic, all: map[*Timer]struct{}{}}
}

// minSpan is the minimum span of a timer, since a timer that is due immediately crashes Go
// 1.26's runtime in a synctest bubble under the race detector.
const minSpan = time.Nanosecond

func (s *timers) start(span Millis, call func()) *Timer {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &Timer{timers: s, call: call, dueMs: s.monotonic() + span}
	t.system = time.AfterFunc(max(minSpan, span.Duration()), t.run)
	s.all[t] = struct{}{}
	return t
}

func (s *timers) resumed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.monotonic()
	for t := range s.all {
		if remaining := t.dueMs - now; remaining > 0 {
			t.system.Reset(remaining.Duration())
			continue
		}
		t.system.Stop()
		go t.run()
	}
}

func (s *timers) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all)
}
