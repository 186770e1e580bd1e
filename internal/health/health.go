// Package health decides when an upstream that fails is ejected from its pool
// and for how long.
package health

import "dooryard.example/dooryard/internal/clock"

// failuresToEject is how many failures in a row eject an upstream.
const failuresToEject = 3

// maxDoublings keeps the growing ejection time from overflowing.
const maxDoublings = 20

// Limits are the settings of ejection.
type Limits struct {
	// BaseMs is the first ejection time; each further one doubles it.
	BaseMs clock.Millis
	// MaxMs is the longest ejection time.
	MaxMs clock.Millis
}

// Health is the record of one upstream's successes and failures as one box saw
// them. It is immutable; the zero value is a healthy upstream.
type Health struct {
	failures  int
	ejections int
	untilMs   clock.Millis
}

// Ejected reports whether the upstream is out of its pool at an instant.
func (h Health) Ejected(now clock.Millis) bool { return now < h.untilMs }

// UntilMs returns the end of the newest ejection, or 0.
func (h Health) UntilMs() clock.Millis { return h.untilMs }

// WithSuccess forgets the failures in a row. The next ejection starts from the
// base again only when the upstream stayed well for the longest ejection time,
// so that one that flaps is out for growing times.
func (h Health) WithSuccess(now clock.Millis, limits Limits) Health {
	h.failures = 0
	if now >= h.untilMs+limits.MaxMs {
		h.ejections = 0
	}
	return h
}

// WithUnreachable ejects an upstream to which no connection opens: there is no
// need to try again to know.
func (h Health) WithUnreachable(now clock.Millis, limits Limits) Health {
	if h.Ejected(now) {
		return h
	}
	h.failures = failuresToEject - 1
	return h.WithFailure(now, limits)
}

// WithFailure counts a failure and ejects the upstream after a few in a row, or
// at once when the first request after an ejection fails.
func (h Health) WithFailure(now clock.Millis, limits Limits) Health {
	if h.Ejected(now) {
		return h
	}
	h.failures++
	onProbation := h.ejections > 0 && now < h.untilMs+limits.MaxMs
	if h.failures < failuresToEject && !onProbation {
		return h
	}
	h.untilMs = now + min(limits.BaseMs<<min(h.ejections, maxDoublings), limits.MaxMs)
	h.ejections++
	h.failures = 0
	return h
}
