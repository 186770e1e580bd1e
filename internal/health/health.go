// Package health implements outlier ejection: it decides when a failing upstream is ejected from
// its pool and for how long.
package health

import "dooryard.example/dooryard/internal/clock"

// consecutiveFailuresToEject is the number of consecutive failures that eject an upstream.
const consecutiveFailuresToEject = 3

// maxDoublings keeps the exponential backoff of the ejection time from overflowing.
const maxDoublings = 20

// Limits are the settings of ejection.
type Limits struct {
	// BaseMs is the duration of the first ejection. Each further ejection doubles it.
	BaseMs clock.Millis
	// MaxMs is the maximum duration of an ejection.
	MaxMs clock.Millis
}

// Health is the record of one upstream's successes and failures as observed by one box. It is
// immutable. The zero value is a healthy upstream.
type Health struct {
	consecutiveFailures int
	ejections           int
	ejectedUntilMs      clock.Millis
}

// Ejected reports whether the upstream is ejected from its pool at the given time.
func (h Health) Ejected(now clock.Millis) bool { return now < h.ejectedUntilMs }

// UntilMs returns the end of the latest ejection, or 0 if there was none.
func (h Health) UntilMs() clock.Millis { return h.ejectedUntilMs }

// WithSuccess returns the record after a success, which resets the consecutive failures. The
// ejection time is reset to the base only if the upstream stayed healthy for the maximum ejection
// time after its last ejection, so that a flapping upstream is ejected for increasingly long times.
func (h Health) WithSuccess(now clock.Millis, limits Limits) Health {
	h.consecutiveFailures = 0
	if now >= h.ejectedUntilMs+limits.MaxMs {
		h.ejections = 0
	}
	return h
}

// WithUnreachable returns the record after a failure to connect, which ejects the upstream
// immediately: further attempts would not add any information.
func (h Health) WithUnreachable(now clock.Millis, limits Limits) Health {
	if h.Ejected(now) {
		return h
	}
	h.consecutiveFailures = consecutiveFailuresToEject - 1
	return h.WithFailure(now, limits)
}

// WithFailure returns the record after a failure. It ejects the upstream after several consecutive
// failures, or on the first failure if the last ejection ended less than the maximum ejection time ago.
func (h Health) WithFailure(now clock.Millis, limits Limits) Health {
	if h.Ejected(now) {
		return h
	}
	h.consecutiveFailures++
	recentlyEjected := h.ejections > 0 && now < h.ejectedUntilMs+limits.MaxMs
	if h.consecutiveFailures < consecutiveFailuresToEject && !recentlyEjected {
		return h
	}
	h.ejectedUntilMs = now + min(limits.BaseMs<<min(h.ejections, maxDoublings), limits.MaxMs)
	h.ejections++
	h.consecutiveFailures = 0
	return h
}
