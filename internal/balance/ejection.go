package balance

import (
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/health"
)

// trialIntervalMs is the minimum time between two trial requests to an upstream after an ejection.
// It is longer than a failing connection attempt takes.
const trialIntervalMs clock.Millis = 300

// ejection is the ejection state of an upstream. After an ejection or a backoff the upstream is on
// probation: it receives single trial requests until one is answered.
type ejection struct {
	health      health.Health
	probation   bool
	lastTrialMs clock.Millis
}

// acceptsRequest reports whether a request may be sent.
func (e *ejection) acceptsRequest(now clock.Millis) bool {
	return !e.health.Ejected(now) && e.trialDue(now)
}

// trialDue reports whether probation leaves room for a request.
func (e *ejection) trialDue(now clock.Millis) bool {
	return !e.probation || now-e.lastTrialMs >= trialIntervalMs
}

// recordSend records that a request is sent.
func (e *ejection) recordSend(now clock.Millis) { e.lastTrialMs = now }

// setHealth sets the health after a failure.
func (e *ejection) setHealth(h health.Health, now clock.Millis) {
	e.health = h
	e.probation = e.probation || h.Ejected(now)
}
