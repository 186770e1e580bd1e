package balance

import (
	"slices"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/pace"
	"dooryard.example/dooryard/internal/prompt"
)

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
