package gateway

import (
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/pkg/config"
)

// Spans that the operators' bounds have to leave room for.
const (
	// ownReadMarginMs is how much older than usual a proof must be at least before a
	// box reads the store by itself: about the way of one answer.
	ownReadMarginMs clock.Millis = 100
	// ownReadLeadMs is how long a box needs to look, to read the store and to act on
	// it, when the store is slow by some ten times.
	ownReadLeadMs clock.Millis = 400
	// lapseLeadMs is how long after an entry has disappeared a box hears of it at most:
	// entries gather for 0.25 s before the store is read again.
	lapseLeadMs clock.Millis = 300
)

// Bounds of what follows from the operators' bounds.
const (
	// usualPeriodMs is the period of the mesh where there is time: a load that is this
	// old on top of a round trip is about as fresh as an upstream's own report.
	usualPeriodMs clock.Millis = 250
	// periodsInSlack is how many periods fit into the age at which a box reads by itself:
	// two rounds pass before it has asked its source again, and the read's wait is longer.
	periodsInSlack = 6
	// mostPollMs is the longest wait of a read. Longer ones save reads of the few boxes that
	// read for others, but proofs then come so late that all boxes read by themselves
	// whenever a large version is on its way: 1,712 calls on a day with 87 boxes and waits
	// of 2 s, 1,390 with 1 s.
	mostPollMs clock.Millis = 1000
	// mostLapseMs is how long an entry may stay away after its store was lost for a while:
	// upstreams write theirs anew within about two seconds of its return.
	mostLapseMs clock.Millis = 1700
	// mostNoticeMs is how long the entry may take to miss two answers and send no new
	// connections.
	mostNoticeMs clock.Millis = 2600
	// noticePart is the part of the grace that is spent on it at most.
	noticePart = 2
)

// timing is what a box does when, so that the operators' bounds are kept.
type timing struct {
	// periodMs is the time between two rounds of the mesh.
	periodMs clock.Millis
	// pollMs is how long one read of the store waits for news.
	pollMs clock.Millis
	// lapseMs is how long an entry that disappeared while the store was away may come
	// back before its upstream counts as gone.
	lapseMs clock.Millis
	// noticeMs is how long a box that stops still takes requests.
	noticeMs clock.Millis
}

// timingOf derives the timing from settings with their defaults. With bounds of 1 s in
// place of 2 s boxes that kept fixed times sent work to upstreams up to 1.5 s after those
// said that they leave.
func timingOf(g config.Gateway) timing {
	leave := clock.Millis(g.Freshness.LeaveMs)
	slack := max(0, min(leave, clock.Millis(g.Freshness.InForceMs))-ownReadLeadMs)
	t := timing{
		periodMs: max(1, min(usualPeriodMs, slack/periodsInSlack)),
		lapseMs:  max(0, min(mostLapseMs, leave-lapseLeadMs)),
		noticeMs: min(mostNoticeMs, graceOf(g)/noticePart),
	}
	t.pollMs = max(1, min(mostPollMs, slack-2*t.periodMs-ownReadMarginMs))
	if g.Freshness.MaxAgeMs > 0 {
		// A proof must not be too old because one read failed.
		t.pollMs = min(t.pollMs, clock.Millis(g.Freshness.MaxAgeMs)/2)
	}
	if g.Store.PollMs > 0 {
		t.pollMs = clock.Millis(g.Store.PollMs)
	}
	return t
}

// PollMs is how long one read of the store waits for news under some settings.
func PollMs(g config.Gateway) clock.Millis { return timingOf(g).pollMs }

// ownReadAgeMs is the age of the proof from which a box reads the store by itself, though
// others read for it, with the mesh's period as it is.
func (t timing) ownReadAgeMs(g config.Gateway, period clock.Millis) clock.Millis {
	usual := t.pollMs + 2*period + ownReadMarginMs
	return max(usual, clock.Millis(min(g.Freshness.LeaveMs, g.Freshness.InForceMs))-ownReadLeadMs)
}

func graceOf(g config.Gateway) clock.Millis {
	return clock.Millis(g.Shutdown.GraceS * float64(clock.Second))
}
