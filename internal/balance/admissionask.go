package balance

import (
	"dooryard.example/dooryard/internal/admission"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/prompt"
	"dooryard.example/dooryard/internal/work"
)

// askFor returns the ask for a prompt at the chosen engine, without InTimeMs and PatienceMs, which are set when it is
// sent.
func (m *Manager) askFor(l *Lease, request PickRequest) admission.Ask {
	a, now := request.Admission, m.monotonic()
	cached := max(l.parts.cachedTokens(l.shared, now), m.fetchableTokens(l, now))
	return admission.Ask{
		Pool: namekey.Of(l.Pool), Upstream: l.key,
		Organisation: namekey.Of(a.Organisation), Session: namekey.Of(request.Prompt.Session()),
		Urgency:       a.Urgency,
		PrefillTokens: max(0, a.Demand.PromptTokens-cached),
		OwnTokens:     max(0, a.Demand.PromptTokens-a.Demand.SharedTokens) + a.OutputTokens,
		SharedTokens:  a.Demand.SharedTokens,
		Slots:         l.slots, MemoryTokens: a.MemoryTokens, Bound: l.bound, SlowPercent: l.paceForOwner(now),
	}
}

// heldPace returns the pace of an upstream in percent of the usual time, or 0 if no report of it counts any more.
func (m *Member) heldPace(now clock.Millis) int {
	if !m.pace.Held(now) {
		return 0
	}
	return m.pace.Percent(now)
}

// fetchableTokens returns the number of tokens at the beginning of the prompt that the engine is to fetch from another
// one, which may have left the pool.
func (m *Manager) fetchableTokens(l *Lease, now clock.Millis) int {
	if l.FetchFrom == "" {
		return 0
	}
	for _, members := range [][]*Member{m.pools[l.Pool], m.departed[l.Pool]} {
		for _, member := range members {
			if member.Address == l.FetchFrom {
				return member.parts.cachedTokens(l.shared, now)
			}
		}
	}
	return 0
}

// DemandOf returns the size of a request as its caller states it, corrected where the parts of its prompt are longer.
func DemandOf(stated work.Demand, p prompt.Prompt) work.Demand {
	shared, all := boundedTokens(p.Shared()), boundedTokens(p)
	stated.SharedTokens = max(stated.SharedTokens, shared)
	stated.PromptTokens = max(stated.PromptTokens, stated.SharedTokens, all)
	return stated
}

// boundedTokens returns the number of tokens in some parts, at most work.MaxTokens, so that sums don't overflow.
func boundedTokens(parts prompt.Prompt) int {
	sum := 0
	for _, part := range parts {
		sum = min(work.MaxTokens, sum+min(work.MaxTokens, part.Tokens))
	}
	return sum
}
