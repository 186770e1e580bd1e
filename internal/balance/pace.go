package balance

import (
	"maps"
	"sync/atomic"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/pace"
)

// Upstreams that share their machines with others are slow in spells. The pace of an upstream, which it reports or
// which is learnt, moves requests to others while it is slow. It never ejects an upstream, and does not count for its
// health. Without reports and with learning off, choices are as if there were no pace.

// memberPace is the pace of an upstream.
type memberPace struct {
	pace pace.Tracker
	// reportsPace is set once the upstream has reported a pace.
	reportsPace bool
	// foundSlowPercent and foundSlowMs are the newest finding of this box that the upstream is slow, and its time.
	foundSlowPercent int
	foundSlowMs      clock.Millis
	// waiting is the number of requests waiting at the upstream according to its newest load report.
	waiting int
	learner pace.Learner
	// unanswered is the number of this box's requests there that have got no response, and unansweredTokens what they
	// prefill.
	unanswered, unansweredTokens int
	// usualMs is the newest time at which a response has shown it at its usual pace. Time before it does not make a
	// request overdue.
	usualMs clock.Millis
	// overdueMs is when an overdue request last showed it to be slow, or 0.
	overdueMs clock.Millis
}

// poolPace is what a manager keeps of paces beside those of its members.
type poolPace struct {
	// used is set once an upstream was found to have another pace than the usual one, or paces are learnt.
	used bool
	// learning is set if paces are learnt: it is configured, or an upstream has reported its pace, in which case those of
	// the others are learnt too. It is read without the lock.
	learning atomic.Bool
	// reported is set once an upstream has reported its pace.
	reported bool
	// times are the times of upstreams at their usual pace, by pool.
	times map[string]*pace.PoolTimes
	// overdue holds the requests that may become overdue, by pool.
	overdue map[string]*overdueWatch
	// requests numbers the requests that were sent.
	requests uint64
	// changes are those that the log has not taken. Their rate is bounded.
	changes []PaceChange
	// unsent are the findings that other boxes have not been told of at once.
	unsent         []pace.Finding
	changesSinceMs clock.Millis
	changesInSpan  int
	omitted        int
	// turnedSlow counts by source the findings that an upstream turned slow.
	turnedSlow map[string]int64
	// passedOver counts requests that passed over an upstream for its pace, and sentToSlow those that were sent to one
	// that was known to be slow.
	passedOver, sentToSlow int64
}

// SetLearnPace sets whether the paces of upstreams that report none are learnt from their responses. They are learnt
// anyway once an upstream has reported its pace.
func (m *Manager) SetLearnPace(learn bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paces.learning.Store(learn || m.paces.reported)
}

// PaceCounts are counts for metrics.
type PaceCounts struct {
	// Slow is the number of upstreams that are slow now, by pool. Zeros are omitted.
	Slow map[string]int `json:"slow"`
	// TurnedSlow counts by source the findings that an upstream turned slow.
	TurnedSlow map[string]int64 `json:"turned_slow"`
	// PassedOver counts requests that passed over an upstream for its pace, and SentToSlow those that were sent to an
	// upstream that was known to be slow.
	PassedOver int64 `json:"passed_over"`
	SentToSlow int64 `json:"sent_to_slow"`
}

// PaceCounts returns counts for metrics.
func (m *Manager) PaceCounts() PaceCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.monotonic()
	counts := PaceCounts{
		Slow: map[string]int{}, TurnedSlow: map[string]int64{},
		PassedOver: m.paces.passedOver, SentToSlow: m.paces.sentToSlow,
	}
	maps.Copy(counts.TurnedSlow, m.paces.turnedSlow)
	for _, member := range m.byID {
		if member.pace.Slow(now) {
			counts.Slow[member.Pool]++
		}
	}
	return counts
}

// paceApplies reports whether the paces of members count: some of them are slow, but at most half of them. If more are
// slow, the others could not hold the load, and reports of that many are doubtful.
func (m *Manager) paceApplies(members []*Member, now clock.Millis) bool {
	if !m.paces.used {
		return false
	}
	slow := 0
	for _, member := range members {
		if member.pace.Slow(now) {
			slow++
		}
	}
	return slow > 0 && 2*slow <= len(members) //nolint:mnd // Half.
}
