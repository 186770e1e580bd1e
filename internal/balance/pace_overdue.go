package balance

import (
	"maps"
	"slices"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/pace"
)

// A request that is overdue shows that its upstream is slow before a response does: a request that is sent at the
// beginning of a spell gets its response when the spell is over, and others would be sent there until then.
//
// A stalled path looks the same at first. An upstream is therefore found slow only if something has come from its
// failure domain since the request was sent, and each request makes at most one finding, so that a lost one marks a
// sound upstream for one hold.

// overdueWatch holds the requests at a pool's upstreams that may become overdue, with the time at which they are to be
// checked.
type overdueWatch struct {
	dueMs map[*Lease]clock.Millis
	// nextMs is not after the earliest of these times.
	nextMs clock.Millis
}

// recheckMs is the interval between checks of an overdue request while nothing has come from its failure domain.
const recheckMs clock.Millis = 20

// watchOverdue has the request checked when it may be overdue, unless times are not known. The pace is the one that was
// known before the request was sent.
func (l *Lease) watchOverdue(knownPercent int, now clock.Millis) {
	m := l.manager
	if !m.paces.learning.Load() {
		return
	}
	l.expected = pace.Unanswered{
		Tokens: l.prefillTokens, Ahead: l.ahead, AheadTokens: l.aheadTokens,
		Others: max(0, l.queued(now)-l.ahead), StartInMs: l.ownersStartMs(), Percent: knownPercent,
	}
	afterMs, known := m.timesOf(l.Pool).FirstByte.OverdueMs(l.expected)
	if !known {
		return
	}
	w := m.paces.overdue[l.Pool]
	if w == nil {
		w = &overdueWatch{dueMs: map[*Lease]clock.Millis{}}
		if m.paces.overdue == nil {
			m.paces.overdue = map[string]*overdueWatch{}
		}
		m.paces.overdue[l.Pool] = w
	}
	w.add(l, now+afterMs)
}

// ownersStartMs returns in how long the engine's owner expected the prefill to end when it admitted the prompt, at the
// usual pace, or 0. The owner's estimate contains the pace that the engine was last found to have.
func (l *Lease) ownersStartMs() clock.Millis {
	if l.admitted == nil {
		return 0
	}
	for _, asked := range l.admitted.Asked {
		if asked.Upstream == l.ID {
			return asked.Answer.StartInMs * pace.UsualPercent / clock.Millis(l.pace.Newest())
		}
	}
	return 0
}

// queued returns the number of requests of all boxes that wait at the upstream, as far as it is reported.
func (m *Member) queued(now clock.Millis) int {
	queued := max(0, m.load(now)-max(1, m.slots))
	if m.reportedMs > 0 && now-m.reportedMs < reportTTLMs {
		queued = max(queued, m.waiting)
	}
	return queued
}

func (w *overdueWatch) add(l *Lease, due clock.Millis) {
	if len(w.dueMs) == 0 || due < w.nextMs {
		w.nextMs = due
	}
	w.dueMs[l] = due
}

// FindOverdue finds the upstreams that overdue requests show to be slow.
func (m *Manager) FindOverdue() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for pool := range m.paces.overdue {
		m.findOverdue(pool, m.monotonic())
	}
}

// findOverdue checks the requests of a pool that are due.
func (m *Manager) findOverdue(pool string, now clock.Millis) {
	w := m.paces.overdue[pool]
	if w == nil || len(w.dueMs) == 0 || now < w.nextMs {
		return
	}
	checked := maps.Clone(w.dueMs)
	clear(w.dueMs)
	for l, due := range checked {
		if now >= due {
			due = m.checkOverdue(l, now)
		}
		if due > 0 {
			w.add(l, due)
		}
	}
}

// checkOverdue records what a request shows of its upstream's pace. It returns when to check it again, or 0.
func (m *Manager) checkOverdue(l *Lease, now clock.Millis) (due clock.Millis) {
	times := &m.timesOf(l.Pool).FirstByte
	sinceMs := max(l.sentMs, l.usualMs)
	percent, overdue := times.OverduePercent(l.expected, now-sinceMs)
	switch {
	case m.byID[l.ID] != l.Member || l.pace.FoundSlow() && l.pace.Held(now):
		return 0
	case !overdue:
		afterMs, _ := times.OverdueMs(l.expected)
		return max(now, sinceMs+afterMs) + 1
	case !m.domainResponds(l):
		return now + recheckMs
	}
	l.overdueMs = now
	// A trial after a hold does not show that the upstream is less slow than before.
	m.findPaceUnsent(l.Member, max(percent, l.pace.Newest()), paceOverdue)
	return 0
}

// domainResponds reports whether something has come from an upstream of the failure domain since the request was sent.
// If the pool has no other upstream there, one of another failure domain will do.
func (m *Manager) domainResponds(l *Lease) bool {
	path := m.pathTo(l.FailureDomain)
	if path.partitioned || clock.Millis(path.lastResponseMs.Load()) > l.sentMs {
		return !path.partitioned
	}
	alone := !slices.ContainsFunc(m.pools[l.Pool], func(member *Member) bool {
		return member != l.Member && member.FailureDomain == l.FailureDomain
	})
	return alone && m.lastResponseMs(l.Pool) > l.sentMs
}
