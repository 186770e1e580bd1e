package gateway

import (
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
)

const (
	// tellAgainMs is how long an input that can't be used is not told of again: another
	// writer may write it many times a second.
	tellAgainMs = 10 * clock.Second
	// maxTold bounds the inputs that are remembered as told; beyond it all are told anew.
	maxTold = 256
)

// ignoredInputs tells the log of inputs that can't be used, and counts them.
type ignoredInputs struct {
	box *Box

	mu   sync.Mutex
	told map[string]clock.Millis
}

// Ignored tells of an input that can't be used.
func (b *Box) Ignored(input string, err error) {
	b.metrics.InputIgnored()
	if b.ignored.due(input) {
		b.log.Tell(decision.InputIgnored{Input: input, Err: err.Error()})
	}
}

func (i *ignoredInputs) due(input string) bool {
	now := i.box.clock.Steady()
	i.mu.Lock()
	defer i.mu.Unlock()
	if at, known := i.told[input]; known && now-at < tellAgainMs {
		return false
	}
	if len(i.told) >= maxTold {
		clear(i.told)
	}
	i.told[input] = now
	return true
}
