package clock

import (
	"sync"
	"time"
)

// Timer calls a function once its span of the steady time is over. The system's timers don't
// count the time in which the machine is suspended, so on waking they are set anew.
type Timer struct {
	timers *timers
	call   func()

	// Guarded by the timers' lock.
	system *time.Timer
	dueMs  Millis
	done   bool
}

// Stop keeps the function from being called, and reports whether it did.
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

// Reset sets the timer anew, unless it has run or was stopped.
func (t *Timer) Reset(span Millis) {
	t.timers.mu.Lock()
	defer t.timers.mu.Unlock()
	if !t.done {
		t.set(span)
	}
}

func (t *Timer) set(span Millis) {
	t.dueMs = t.timers.steady() + span
	t.system.Reset(span.Duration())
}

// run is called by the system's timer.
func (t *Timer) run() {
	t.timers.mu.Lock()
	due := !t.done
	if due {
		t.done = true
		delete(t.timers.all, t)
	}
	t.timers.mu.Unlock()
	if due {
		t.call()
	}
}

// timers are all that wait on a clock.
type timers struct {
	steady func() Millis

	mu  sync.Mutex
	all map[*Timer]struct{}
}

func newTimers(steady func() Millis) *timers {
	return &timers{steady: steady, all: map[*Timer]struct{}{}}
}

// leastSpan is that of a timer that is due at once: none is, since that crashes Go 1.26's
// runtime in a test bubble under the race detector.
const leastSpan = time.Nanosecond

func (s *timers) start(span Millis, call func()) *Timer {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &Timer{timers: s, call: call, dueMs: s.steady() + span}
	t.system = time.AfterFunc(max(leastSpan, span.Duration()), t.run)
	s.all[t] = struct{}{}
	return t
}

func (s *timers) resumed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.steady()
	for t := range s.all {
		if left := t.dueMs - now; left > 0 {
			t.system.Reset(left.Duration())
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
