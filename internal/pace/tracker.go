// Package pace estimates how slow an upstream is at this moment, from what it reports or from how long its responses
// take. It does no I/O and reads no clock.
//
// This answers upstreams that share their machines with others and are slow in spells of some hundred milliseconds, or
// for hours.
package pace

import "dooryard.example/dooryard/internal/clock"

const (
	// UsualPercent is the pace of an upstream at which work takes as long as usual.
	UsualPercent = 100
	// SlowPercent is the pace above which an upstream is slow.
	SlowPercent = 150
	// MaxPercent is the highest pace.
	MaxPercent = 1000
)

const (
	// minHoldMs is how long a report counts at first. It is the length of a usual spell.
	minHoldMs clock.Millis = 600
	// maxHoldMs is the longest time for which a report counts, so that an upstream that is slow for hours is tried every
	// 10 s.
	maxHoldMs = 10 * clock.Second
	// trialMs is how long the first request after a hold may take to bring a report. It is longer than a slow upstream
	// usually takes to respond.
	trialMs = 2 * clock.Second
	// maxHoldSteps is the number of times that a hold doubles.
	maxHoldSteps = 5
)

// Tracker is the pace of one upstream. A report counts until its hold is over. The first request after that is a trial:
// until its response brings a report, the upstream remains slow for others, so that a spell that lasts costs one
// request. If the report shows the upstream slow again, the hold doubles. The zero value is an upstream without
// reports. A Tracker has no lock of its own.
type Tracker struct {
	percent  int
	holdMs   clock.Millis
	untilMs  clock.Millis
	reportMs clock.Millis
	// trialUntilMs is the end of the time for the trial after the hold, or 0 if none was sent.
	trialUntilMs clock.Millis
}

// Report records a pace in percent of the usual time that held at a time. A report that is older than the newest one is
// ignored. It returns whether the upstream was found to turn slow or to be at its usual pace again.
func (t *Tracker) Report(percent int, at clock.Millis) (changed bool) {
	if t.percent > 0 && at < t.reportMs {
		return false
	}
	wasSlow, held := t.percent > SlowPercent, at < t.untilMs
	percent = min(MaxPercent, max(UsualPercent, percent))
	switch {
	case percent <= SlowPercent || !wasSlow:
		t.holdMs = minHoldMs
	case !held:
		t.holdMs = min(maxHoldMs, 2*t.holdMs) //nolint:mnd // Doubled.
	}
	t.percent, t.reportMs, t.untilMs, t.trialUntilMs = percent, at, at+t.holdMs, 0
	return wasSlow != (percent > SlowPercent)
}

// Hear records a pace that another box found at a time, and how often its hold had doubled. It is ignored if it is
// older than the newest report. It returns whether the upstream was found to turn slow, or to be at its usual pace
// again.
func (t *Tracker) Hear(percent, holdSteps int, at clock.Millis) (changed bool) {
	if percent <= SlowPercent {
		return t.Report(percent, at)
	}
	if t.percent > 0 && at < t.reportMs {
		return false
	}
	wasSlow := t.percent > SlowPercent
	hold := min(maxHoldMs, minHoldMs<<min(maxHoldSteps, max(0, holdSteps)))
	if wasSlow {
		hold = max(hold, t.holdMs)
	}
	t.percent, t.holdMs, t.reportMs, t.untilMs, t.trialUntilMs = min(MaxPercent, percent), hold, at, at+hold, 0
	return !wasSlow
}

// HoldSteps returns how often the hold has doubled.
func (t *Tracker) HoldSteps() int {
	steps := 0
	for ; steps < maxHoldSteps && minHoldMs<<steps < t.holdMs; steps++ {
	}
	return steps
}

// Held reports whether the newest report still counts.
func (t *Tracker) Held(now clock.Millis) bool { return t.percent > 0 && now < t.untilMs }

// RecordSend records that a request was sent to the upstream. After a hold it becomes the trial.
func (t *Tracker) RecordSend(now clock.Millis) {
	if t.percent > SlowPercent && now >= t.untilMs && t.trialUntilMs == 0 {
		t.trialUntilMs = now + trialMs
	}
}

// Percent returns the pace in percent of the usual time. It is 100 if nothing is known.
func (t *Tracker) Percent(now clock.Millis) int {
	if t.percent > 0 && (now < t.untilMs || now < t.trialUntilMs) {
		return t.percent
	}
	return UsualPercent
}

// Newest returns the pace that the newest report showed, also after its hold.
func (t *Tracker) Newest() int { return max(UsualPercent, t.percent) }

// Slow reports whether the upstream is slow.
func (t *Tracker) Slow(now clock.Millis) bool { return t.Percent(now) > SlowPercent }

// HoldMs returns for how long the newest report counts, counted from the report, in milliseconds.
func (t *Tracker) HoldMs() clock.Millis { return t.holdMs }

// FoundSlow reports whether the newest report showed the upstream slow, also after its hold.
func (t *Tracker) FoundSlow() bool { return t.percent > SlowPercent }
