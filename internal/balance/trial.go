package balance

import (
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/health"
)

// probeMs is the time between two requests that try whether an ejected
// upstream is well again: longer than a connection takes that does not open.
const probeMs clock.Millis = 300

// trial is the state of an upstream that may be ejected. After an ejection single
// requests try it, until one is answered.
type trial struct {
	health    health.Health
	probation bool
	probedMs  clock.Millis
}

// open reports whether a request may be sent.
func (t *trial) open(now clock.Millis) bool {
	if t.health.Ejected(now) {
		return false
	}
	return !t.probation || now-t.probedMs >= probeMs
}

// sent notes that a request is sent.
func (t *trial) sent(now clock.Millis) { t.probedMs = now }

// set takes in the health after a failure.
func (t *trial) set(h health.Health, now clock.Millis) {
	t.health = h
	t.probation = t.probation || h.Ejected(now)
}
