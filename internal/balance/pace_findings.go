package balance

import (
	"cmp"
	"slices"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/pace"
)

// Sources of paces.
const (
	paceReported = "reported"
	paceLearnt   = "learnt"
	paceOverdue  = "overdue"
	paceFromBox  = "another box"
)

// PaceChange is the finding that an upstream turned slow, or is at its usual pace again.
type PaceChange struct {
	// Upstream is the incarnation.
	Upstream, Pool string
	// Percent is the pace in percent of the usual time. Slow is set if the upstream turned slow, for HoldMs.
	Percent int
	Slow    bool
	HoldMs  clock.Millis
	// Source is where the pace was learnt from.
	Source string
	// Omitted is the number of changes before this one that were not kept.
	Omitted int
}

// RecordPace records what the upstream reports of its pace, in percent of the usual time, or 0 if it reports none, and
// the number of requests that wait there. It returns a finding if other boxes should be told at once: the upstream was
// found slow, and was not known to be at this moment.
func (l *Lease) RecordPace(percent, waiting int) (finding pace.Finding, isNew bool) {
	m := l.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	l.waiting = waiting
	if percent <= 0 {
		return pace.Finding{}, false
	}
	l.reportsPace, m.paces.reported = true, true
	m.paces.learning.Store(true)
	return m.findPace(l.Member, percent, paceReported)
}

// findPace records a pace that this box found. It returns a finding if other boxes should be told at once: the upstream
// was found slow, and was not known to be at this moment, or it is at its usual pace again. Without the latter, boxes
// that did not get the response pass over the upstream for up to a hold after a spell, and more than half of a pool may
// count as slow.
func (m *Manager) findPace(member *Member, percent int, source string) (finding pace.Finding, isNew bool) {
	now := m.monotonic()
	known := member.pace.FoundSlow() && member.pace.Held(now)
	if percent > pace.SlowPercent {
		member.foundSlowPercent, member.foundSlowMs = percent, now
	} else {
		member.usualMs = now
	}
	m.paces.used = m.paces.used || percent > pace.UsualPercent
	changed := m.paces.used && member.pace.Report(percent, now)
	if changed {
		m.recordPaceChange(member, percent, source)
	}
	switch {
	case changed && percent <= pace.SlowPercent:
		return pace.NewUsualFinding(member.key), true
	case known:
		return pace.Finding{}, false
	}
	return pace.NewFinding(member.key, percent, member.pace.HoldSteps(), 0)
}

// findPaceUnsent records a pace like findPace, and keeps the finding until it is sent to other boxes.
func (m *Manager) findPaceUnsent(member *Member, percent int, source string) {
	if finding, isNew := m.findPace(member, percent, source); isNew && len(m.paces.unsent) < pace.MaxFindings {
		m.paces.unsent = append(m.paces.unsent, finding)
	}
}

// recordPaceChange records that the newest pace of a member made it slow, or usual again.
func (m *Manager) recordPaceChange(member *Member, percent int, source string) {
	if percent > pace.SlowPercent {
		if m.paces.turnedSlow == nil {
			m.paces.turnedSlow = map[string]int64{}
		}
		m.paces.turnedSlow[source]++
	}
	m.paces.recordChange(PaceChange{
		Upstream: member.Incarnation(), Pool: member.Pool, Percent: percent, Slow: percent > pace.SlowPercent,
		HoldMs: member.pace.HoldMs(), Source: source,
	}, m.monotonic())
}

// Bounds of the rate at which changes are kept for the log. Spells are frequent, and there may be dozens of upstreams.
const (
	maxPaceChanges = 10
	paceSpanMs     = 10 * clock.Second
)

func (p *poolPace) recordChange(c PaceChange, now clock.Millis) {
	if now-p.changesSinceMs >= paceSpanMs {
		p.changesSinceMs, p.changesInSpan = now, 0
	}
	if p.changesInSpan >= maxPaceChanges {
		p.omitted++
		return
	}
	p.changesInSpan++
	c.Omitted, p.omitted = p.omitted, 0
	p.changes = append(p.changes, c)
}

// TakePaceChanges returns the changes since the last call, at most 10 in 10 s.
func (m *Manager) TakePaceChanges() []PaceChange {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.paces.changes
	m.paces.changes = nil
	return taken
}

// TakeUnsentFindings returns the findings since the last call that other boxes should be told of at once, except for
// those that RecordPace has returned.
func (m *Manager) TakeUnsentFindings() []pace.Finding {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.paces.unsent
	m.paces.unsent = nil
	return taken
}

// PaceFindings returns the upstreams that this box itself found slow in the last second, the newest 16 at most.
func (m *Manager) PaceFindings() []pace.Finding {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.paces.used {
		return nil
	}
	now, list := m.monotonic(), []pace.Finding{}
	for _, member := range m.byID {
		if finding, recent := pace.NewFinding(
			member.key, member.foundSlowPercent, member.pace.HoldSteps(), now-member.foundSlowMs,
		); recent {
			list = append(list, finding)
		}
	}
	slices.SortFunc(list, func(a, b pace.Finding) int {
		return cmp.Or(cmp.Compare(a.AgeTens, b.AgeTens), cmp.Compare(a.Upstream, b.Upstream))
	})
	return list[:min(pace.MaxFindings, len(list))]
}

// RecordPaceFindings records the upstreams that another box found slow, or at their usual pace again. The key of an
// upstream names its incarnation, so that a finding from before a restart is ignored.
func (m *Manager) RecordPaceFindings(list []pace.Finding) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.monotonic()
	for _, finding := range list[:min(pace.MaxFindings, len(list))] {
		if member := m.byKey[finding.Upstream]; member != nil && finding.Valid() {
			m.paces.used = m.paces.used || finding.Slow()
			at := now - finding.AgeMs()
			if !finding.Slow() {
				member.usualMs = max(member.usualMs, at)
			}
			if m.paces.used && member.pace.Hear(int(finding.Percent), int(finding.HoldSteps), at) {
				m.recordPaceChange(member, int(finding.Percent), paceFromBox)
			}
		}
	}
}
