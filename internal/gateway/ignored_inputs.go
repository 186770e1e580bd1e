package gateway

import (
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
)

const (
	// relogIntervalMs is the minimum time between two log lines about the same invalid input, because the same input
	// may be written many times a second.
	relogIntervalMs = 10 * clock.Second
	// maxTrackedInputs is the maximum number of inputs that are tracked. When it is reached, all tracked inputs are
	// dropped, so the next error of each is logged again.
	maxTrackedInputs = 256
)

// ignoredInputLog limits the rate of log lines about invalid inputs.
type ignoredInputLog struct {
	box *Box

	mu         sync.Mutex
	lastLogged map[string]clock.Millis
}

// ReportInvalidInput counts an invalid input and logs it, at a limited rate.
func (b *Box) ReportInvalidInput(input string, err error) {
	b.metrics.InputIgnored()
	if b.ignoredInputs.shouldLog(input) {
		b.log.Record(decision.InputIgnored{Input: input, Err: err.Error()})
	}
}

// shouldLog reports whether an error of this input is to be logged now.
func (l *ignoredInputLog) shouldLog(input string) bool {
	now := l.box.clock.Monotonic()
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, known := l.lastLogged[input]; known && now-at < relogIntervalMs {
		return false
	}
	if len(l.lastLogged) >= maxTrackedInputs {
		clear(l.lastLogged)
	}
	l.lastLogged[input] = now
	return true
}
