// Package supervisor runs the parts of a daemon, again after a panic.
package supervisor

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/guard"
)

// ErrFails ends a daemon of which a part panics again and again.
var ErrFails = errors.New("a part of the box panics again and again")

const (
	// RestartMs is the delay before a part is run again after a panic.
	RestartMs clock.Millis = 100
	// MaxRestarts of parts within restartWindowMs are too many: the state of the process is not to be trusted, and it
	// drains and ends. Panics that an input causes restart no part, since every box may get that input.
	MaxRestarts     = 30
	restartWindowMs = 60 * clock.Second
)

// Supervisor runs parts and counts how often they were run again. It is safe for concurrent use.
type Supervisor struct {
	clock   clock.Clock
	running *sync.WaitGroup
	failed  chan error

	mu            sync.Mutex
	windowStartMs clock.Millis
	count         int
}

// New returns a supervisor whose parts run in a group.
func New(c clock.Clock, running *sync.WaitGroup) *Supervisor {
	return &Supervisor{clock: c, running: running, failed: make(chan error, 1)}
}

// Failed receives an error that wraps ErrFails once parts were run again too often.
func (s *Supervisor) Failed() <-chan error { return s.failed }

// Run runs a part in its own goroutine until it returns or the context ends, again after each panic.
func (s *Supervisor) Run(ctx context.Context, part string, run func()) {
	s.running.Go(func() { repeat(ctx, s.clock, part, run, s.recordRestart) })
}

// Repeat runs a part of a part until it returns or the context ends, again after each panic, which is not counted.
func Repeat(ctx context.Context, c clock.Clock, part string, run func()) {
	repeat(ctx, c, part, run, func(string) {})
}

func repeat(ctx context.Context, c clock.Clock, part string, run func(), onRestart func(part string)) {
	for !guard.Do(part, run) {
		onRestart(part)
		if c.Sleep(ctx, RestartMs) != nil {
			return
		}
	}
}

func (s *Supervisor) recordRestart(part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.clock.Monotonic(); now-s.windowStartMs >= restartWindowMs {
		s.windowStartMs, s.count = now, 0
	}
	s.count++
	if s.count != MaxRestarts {
		return
	}
	select {
	case s.failed <- fmt.Errorf("%w: %s, restart %d in %d s", ErrFails, part, s.count, restartWindowMs/clock.Second):
	default:
	}
}
