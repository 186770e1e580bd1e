package balance

import (
	"cmp"
	"slices"
	"sync/atomic"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/pace"
	"dooryard.example/dooryard/internal/prompt"
)

// Upstreams that share their machines with others are slow in spells. The pace of an upstream, which it reports or
// which is learnt, moves requests to others while it is slow. It never ejects an upstream, and does not count for its
// health. Without reports and with learning off, choices are as if there were no pace.

const (
	// paceRanks is among how many first engines of a session's order another one than a slow one is looked for. Further
	// engines are less likely to have the session cached on any box.
	paceRanks = 4
	// minStayTokens and maxStayPercent say when a session stays at a slow engine while the time per token is not known:
	// if it has cached more than this, and its pace is below this. Prefilling the tokens elsewhere takes longer than the
	// spell costs then.
	minStayTokens  = 4000
	maxStayPercent = 300
)

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
	// awaiting is the number of this box's requests there that have got no response, and awaitingTokens what they
	// prefill.
	awaiting, awaitingTokens int
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
	// requests numbers the requests that were sent.
	requests uint64
	// changes are those that the log has not taken. Their rate is bounded.
	changes []PaceChange
	// tells are the learnt findings that other boxes have not been told of at once.
	tells          []pace.Finding
	changesSinceMs clock.Millis
	changesInSpan  int
	omitted        int
	// passedOver counts requests that passed over an upstream for its pace, and sentToSlow those that were sent to one
	// that was known to be slow.
	passedOver, sentToSlow int64
}

// Sources of paces.
const (
	paceReported = "reported"
	paceLearnt   = "learnt"
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
func (l *Lease) RecordPace(percent, waiting int) (finding pace.Finding, tell bool) {
	m := l.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	l.waiting = waiting
	if percent <= 0 {
		return pace.Finding{}, false
	}
	l.reportsPace, m.paces.reported = true, true
	m.paces.learning.Store(true)
	return m.findPaceToTell(l.Member, percent, paceReported)
}

// findPaceToTell records a pace that this box found, and returns a finding if other boxes should be told at once.
func (m *Manager) findPaceToTell(member *Member, percent int, source string) (finding pace.Finding, tell bool) {
	known := member.pace.FoundSlow() && member.pace.Held(m.monotonic())
	m.findPace(member, percent, source)
	if known {
		return pace.Finding{}, false
	}
	return pace.NewFinding(member.key, percent, member.pace.HoldSteps(), 0)
}

// SetLearnPace sets whether the paces of upstreams that report none are learnt from their responses. They are learnt
// anyway once an upstream has reported its pace.
func (m *Manager) SetLearnPace(learn bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paces.learning.Store(learn || m.paces.reported)
}

// findPace records a pace that this box found.
func (m *Manager) findPace(member *Member, percent int, source string) {
	now := m.monotonic()
	if percent > pace.SlowPercent {
		member.foundSlowPercent, member.foundSlowMs = percent, now
	}
	m.paces.used = m.paces.used || percent > pace.UsualPercent
	if m.paces.used && member.pace.Report(percent, now) {
		m.recordPaceChange(member, percent, source)
	}
}

// recordPaceChange records that the newest pace of a member made it slow, or usual again.
func (m *Manager) recordPaceChange(member *Member, percent int, source string) {
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

// TakePaceTells returns the learnt findings since the last call that other boxes should be told of at once.
func (m *Manager) TakePaceTells() []pace.Finding {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.paces.tells
	m.paces.tells = nil
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

// RecordPaceFindings records the upstreams that another box found slow. The key of an upstream names its incarnation,
// so that a finding from before a restart is ignored.
func (m *Manager) RecordPaceFindings(list []pace.Finding) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.monotonic()
	for _, finding := range list[:min(pace.MaxFindings, len(list))] {
		if member := m.byKey[finding.Upstream]; member != nil && finding.Valid() {
			m.paces.used = true
			if member.pace.Hear(int(finding.Percent), int(finding.HoldSteps), now-finding.AgeMs()) {
				m.recordPaceChange(member, int(finding.Percent), paceFromBox)
			}
		}
	}
}

// PaceCounts are counts for metrics.
type PaceCounts struct {
	// Slow is the number of upstreams that are slow now, by pool. Zeros are omitted.
	Slow map[string]int `json:"slow"`
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
	counts := PaceCounts{Slow: map[string]int{}, PassedOver: m.paces.passedOver, SentToSlow: m.paces.sentToSlow}
	for _, member := range m.byID {
		if member.pace.Slow(now) {
			counts.Slow[member.Pool]++
		}
	}
	return counts
}

// recordPaceSend counts a request that is about to be sent. It may be the trial of an upstream after its hold.
func (l *Lease) recordPaceSend(now clock.Millis) {
	p := &l.manager.paces
	if l.pace.Slow(now) {
		p.sentToSlow++
	}
	if l.passedSlow {
		p.passedOver++
	}
	l.pace.RecordSend(now)
	if l.prefillTokens > 0 {
		// Engines prefill one prompt after another. Other upstreams run their requests side by side.
		l.ahead, l.aheadTokens = l.awaiting, l.awaitingTokens
	}
	p.requests++
	l.awaited, l.number = true, p.requests
	l.awaiting++
	l.awaitingTokens += l.prefillTokens
}

// endAwait records that the request got a response or has ended.
func (l *Lease) endAwait() {
	if l.awaited {
		l.awaited = false
		l.awaiting--
		l.awaitingTokens -= l.prefillTokens
	}
}

// recordFirstByte learns from the time to the first byte of a response.
func (l *Lease) recordFirstByte(now clock.Millis) {
	m := l.manager
	learning := m.paces.learning.Load()
	if !learning && !m.paces.used || l.sentMs == 0 || l.responding {
		return
	}
	took := now - l.sentMs
	if l.ahead == 0 {
		m.timesOf(l.Pool).FirstByte.Observe(l.prefillTokens, took, l.pace.Percent(now))
	}
	l.learnPace(pace.Sample{Tokens: l.prefillTokens + l.aheadTokens, Ahead: l.ahead, TookMs: took}, now)
}

// gapSamples measures the gaps between the parts of a stream. The goroutine that reads the stream uses it.
type gapSamples struct {
	// parts is the number of parts since the beginning of the current sample, at sinceMs.
	parts   int
	sinceMs clock.Millis
}

// recordPart counts a part of a stream. It returns a time whenever pace.GapsPerSample gaps have passed.
func (g *gapSamples) recordPart(now clock.Millis) (took clock.Millis, complete bool) {
	if g.parts == 0 {
		g.sinceMs = now
	}
	g.parts++
	if g.parts <= pace.GapsPerSample {
		return 0, false
	}
	took = now - g.sinceMs
	g.parts, g.sinceMs = 1, now
	return took, true
}

// recordGaps learns from the gaps between the parts of a stream. It is called for each part.
func (l *Lease) recordGaps(now clock.Millis) {
	m := l.manager
	if !m.paces.learning.Load() {
		return
	}
	took, complete := l.gaps.recordPart(now)
	if !complete {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	sample := pace.Sample{Gaps: true, Tokens: percent * l.load(now), TookMs: took}
	m.timesOf(l.Pool).Gaps.Observe(sample.Tokens, took, l.pace.Percent(now))
	l.learnPace(sample, now)
}

// learnPace judges the upstream's pace by a new sample, unless the upstream reports it.
func (l *Lease) learnPace(sample pace.Sample, now clock.Millis) {
	m := l.manager
	if !m.paces.learning.Load() || l.reportsPace {
		return
	}
	sample.Request, sample.AtMs = l.number, now
	l.learner.Observe(sample)
	p, known := l.learner.Percent(m.timesOf(l.Pool), l.pace.FoundSlow(), now)
	switch {
	case known && p > pace.SlowPercent:
		l.learner.Reset()
		if finding, tell := m.findPaceToTell(l.Member, p, paceLearnt); tell && len(m.paces.tells) < pace.MaxFindings {
			m.paces.tells = append(m.paces.tells, finding)
		}
	case known && l.pace.FoundSlow():
		m.findPace(l.Member, p, paceLearnt)
	}
}

func (m *Manager) timesOf(pool string) *pace.PoolTimes {
	if m.paces.times == nil {
		m.paces.times = map[string]*pace.PoolTimes{}
	}
	t := m.paces.times[pool]
	if t == nil {
		t = &pace.PoolTimes{}
		m.paces.times[pool] = t
	}
	return t
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

// slowLast moves the slow engines of a session's order to its end, if another one of the first paceRanks engines, or
// one that has the prompt's parts cached, is not slow. A request stays at its first engine, though slow, if the others
// are expected to respond later: they have to prefill its parts, or requests wait there. While the others can't hold
// the load and the reserve is in use, the order remains as it is.
func (m *Manager) slowLast(lease *Lease, order []*Member, request PickRequest, now clock.Millis) []*Member {
	if !m.paceApplies(order, now) || slices.ContainsFunc(order, func(member *Member) bool { return member.evacuated }) {
		return order
	}
	first, usual, slow := order[0], []*Member{}, []*Member{}
	for _, member := range order {
		if member.pace.Slow(now) {
			slow = append(slow, member)
		} else {
			usual = append(usual, member)
		}
	}
	if !first.pace.Slow(now) {
		return append(usual, slow...)
	}
	target := m.paceTarget(order, usual, request, now)
	if target == nil {
		return order
	}
	if m.staysAtSlow(first, target, request, now) {
		return slices.Concat(slow[:1], usual, slow[1:])
	}
	lease.passedSlow = true
	usual = slices.DeleteFunc(usual, func(member *Member) bool { return member == target })
	return slices.Concat([]*Member{target}, usual, slow)
}

// paceTarget returns the engine to which a request goes instead of a slow first one: the one of the first engines that
// are not slow, or the one with the most of the prompt cached, that is expected to respond first. Until times are
// known, it is the first of the order that is not slow, or one that has clearly more of the prompt cached. It returns
// nil if none of the first engines is at its usual pace and no other one has anything cached.
func (m *Manager) paceTarget(order, usual []*Member, request PickRequest, now clock.Millis) *Member {
	shared := request.Prompt.Shared().KeyedParts()
	target, cached := usual[0], usual[0].parts.cachedTokens(shared, now)
	for _, member := range usual[1:] {
		if c := member.parts.cachedTokens(shared, now); c >= cached+minFetchTokens {
			target, cached = member, c
		}
	}
	near := order[:min(paceRanks, len(order))]
	if cached == 0 && !slices.Contains(near, target) {
		return nil
	}
	times := &m.timesOf(request.Pool).FirstByte
	if _, known := times.PerToken(); !known {
		return target
	}
	best := m.firstEventMs(target, times, request, now)
	for _, member := range near {
		if ms := m.firstEventMs(member, times, request, now); !member.pace.Slow(now) && ms < best {
			target, best = member, ms
		}
	}
	return target
}

// stayObjectiveShare is the share of the latency objective in which a first event must be expected for a session to
// stay at a slow engine. The rest is left for what varies.
const stayObjectiveShare = 0.75

// staysAtSlow reports whether a request stays at the slow first engine of its session: it is in time there, so that a
// move would only make another engine prefill or fetch its parts, or it is served sooner there than at the other one.
func (m *Manager) staysAtSlow(slow, other *Member, request PickRequest, now clock.Millis) bool {
	times := &m.timesOf(request.Pool).FirstByte
	expected := m.firstEventMs(slow, times, request, now)
	if _, known := times.Expect(0, 0); known &&
		expected <= stayObjectiveShare*float64(request.ObjectiveMs-request.ElapsedMs) {
		return true
	}
	if _, known := times.PerToken(); known {
		return expected <= m.firstEventMs(other, times, request, now)
	}
	shared := request.Prompt.Shared().KeyedParts()
	cached, elsewhere := slow.parts.cachedTokens(shared, now), other.parts.cachedTokens(shared, now)
	return cached > elsewhere && cached > minStayTokens && slow.pace.Percent(now) < maxStayPercent
}

// firstEventMs returns the expected time to the first event of a request at an engine: the wait behind the requests
// that wait there, and its own prefill, at the engine's pace. Parts that can be fetched don't count as prefilled.
func (m *Manager) firstEventMs(member *Member, times *pace.Times, request PickRequest, now clock.Millis) float64 {
	shared := request.Prompt.Shared().KeyedParts()
	prefill := ownTokens(request.Prompt)
	if !request.Transfers {
		prefill += tokens(shared) - member.parts.cachedTokens(shared, now)
	}
	expected, _ := times.Expect(prefill, 0)
	if member.reportedMs > 0 && now-member.reportedMs < reportTTLMs {
		expected += float64(member.waiting) * times.Mean()
	}
	return expected * float64(member.pace.Percent(now)) / pace.UsualPercent
}

// ownTokens returns the length of the part of a prompt that is not shared.
func ownTokens(p prompt.Prompt) int {
	if len(p) == 0 {
		return 0
	}
	return p[len(p)-1].Tokens
}

// pacedCost returns the cost of a member in proportion to the time that a request takes there: its load, and the
// request itself, which counts as much as the load of a full server, times its pace.
func (m *Manager) pacedCost(member *Member, now clock.Millis) int {
	return (percent + m.cost(member, now)) * member.pace.Percent(now) / pace.UsualPercent
}
