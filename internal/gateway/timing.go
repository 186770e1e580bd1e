package gateway

import (
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/pkg/config"
)

// Delays that must fit into the operators' bounds.
const (
	// directReadMarginMs is the minimum by which the age of a confirmation must exceed its usual maximum before a box
	// reads the store directly. It is about the transit time of one response.
	directReadMarginMs clock.Millis = 100
	// directReadLeadMs is the time that a box needs to notice that its confirmation is too old, read the store and apply
	// the result, if the store is about ten times slower than usual.
	directReadLeadMs clock.Millis = 400
	// removalLeadMs is the maximum delay between the removal of an entry and its receipt by a box: changes are batched
	// for 0.25 s before the store is read again.
	removalLeadMs clock.Millis = 300
)

// Limits of the values that are derived from the operators' bounds.
const (
	// maxPeriodMs is the gossip period, unless the bounds require a shorter one. With this period and a round trip, the
	// loads that boxes exchange are about as recent as those that upstreams report themselves.
	maxPeriodMs clock.Millis = 250
	// periodsInSlack is the minimum number of gossip periods that fit into the age at which a box reads the store
	// directly. Two periods pass before the box has pinged the box that reads for it again, and the wait of a
	// long-polling read is longer than two periods.
	periodsInSlack = 6
	// maxPollMs is the longest wait of a long-polling read. Longer waits save reads of the few boxes that read for
	// others, but delay confirmations so much that all boxes read directly whenever a large version is in transit: a
	// simulated day with 87 boxes made 1,712 calls with waits of 2 s and 1,390 with 1 s.
	maxPollMs clock.Millis = 1000
	// maxRemovalGraceMs is how long an entry may stay missing after its store was unavailable. Upstreams rewrite their
	// entries within about two seconds of the recovery.
	maxRemovalGraceMs clock.Millis = 1700
	// maxAnnounceMs is how long the front load balancer may take to see two failed readiness checks and stop sending
	// new connections.
	maxAnnounceMs clock.Millis = 2600
	// announceDivisor limits announceMs to the grace period divided by this number.
	announceDivisor = 2
)

// timing holds the intervals with which a box keeps the operators' bounds.
type timing struct {
	// periodMs is the time between two gossip rounds.
	periodMs clock.Millis
	// pollMs is how long one read of the store waits for changes.
	pollMs clock.Millis
	// removalGraceMs is how long an entry that disappeared because the store was unavailable may reappear before its
	// upstream counts as gone.
	removalGraceMs clock.Millis
	// announceMs is how long a box that shuts down still accepts requests.
	announceMs clock.Millis
}

// timingOf derives the timing from settings with defaults applied. The intervals depend on the bounds: with fixed
// intervals and bounds of 1 s instead of 2 s, boxes sent requests to upstreams up to 1.5 s after these had announced
// that they are draining.
func timingOf(g config.Gateway) timing {
	leave := clock.Millis(g.Freshness.MaxDrainNoticeMs)
	slack := max(0, shortestBoundMs(g)-directReadLeadMs)
	t := timing{
		periodMs:       max(1, min(maxPeriodMs, slack/periodsInSlack)),
		removalGraceMs: max(0, min(maxRemovalGraceMs, leave-removalLeadMs)),
		announceMs:     min(maxAnnounceMs, shutdownGrace(g)/announceDivisor),
	}
	t.pollMs = max(1, min(maxPollMs, slack-2*t.periodMs-directReadMarginMs))
	if g.Freshness.MaxAgeMs > 0 {
		// One failed read must not make a confirmation too old.
		t.pollMs = min(t.pollMs, clock.Millis(g.Freshness.MaxAgeMs)/2)
	}
	if g.Store.PollMs > 0 {
		t.pollMs = clock.Millis(g.Store.PollMs)
	}
	return t
}

// PollMs returns how long one read of the store waits for changes with these settings.
func PollMs(g config.Gateway) clock.Millis { return timingOf(g).pollMs }

// UpstreamsPolls is the wait of one read of the list of upstreams, as a multiple of the poll interval. Such a read
// confirms no routing state when it returns, so it may wait longer. The wait is bounded, because a box must learn of a
// draining upstream within three seconds plus the drain time after the store recovers, and a read that gets no response
// must time out before that.
const UpstreamsPolls = 2

// UpstreamsPollMs returns how long one read of the list of upstreams waits for changes with these settings.
func UpstreamsPollMs(g config.Gateway) clock.Millis { return UpstreamsPolls * PollMs(g) }

// directReadAgeMs returns the age of the confirmation above which a box reads the store directly, even if others read
// for it. Period is the current gossip period.
func (t timing) directReadAgeMs(g config.Gateway, period clock.Millis) clock.Millis {
	typicalMs := t.pollMs + 2*period + directReadMarginMs
	return max(typicalMs, shortestBoundMs(g)-directReadLeadMs)
}

// shortestBoundMs returns the shortest time within which a change in the store must take effect.
func shortestBoundMs(g config.Gateway) clock.Millis {
	bound := min(g.Freshness.MaxDrainNoticeMs, g.Freshness.MaxPropagationMs)
	if g.Freshness.MaxEvacuationMs > 0 {
		bound = min(bound, g.Freshness.MaxEvacuationMs)
	}
	return clock.Millis(bound)
}

// shutdownGrace returns the time that a graceful shutdown may take.
func shutdownGrace(g config.Gateway) clock.Millis {
	return clock.Millis(g.Shutdown.GraceS * float64(clock.Second))
}
