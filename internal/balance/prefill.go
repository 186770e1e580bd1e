package balance

import (
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/prompt"
)

// Prefill is what an engine is expected to prefill of a prompt's shared parts, because neither it
// nor the engine that it fetches from is known to cache them.
type Prefill struct {
	Tokens int
	Reason PrefillReason
}

// PrefillReason is the reason for which shared parts are prefilled.
type PrefillReason string

// Reasons for prefilling shared parts.
const (
	// PrefillNew means that no engine is known to have prefilled them recently.
	PrefillNew PrefillReason = "new"
	// PrefillEngineGone means that the engines which cached them are gone.
	PrefillEngineGone PrefillReason = "engine gone"
	// PrefillEngineUnreachable means that an engine which caches them is ejected, backing off or
	// behind a partition.
	PrefillEngineUnreachable PrefillReason = "engine unreachable"
	// PrefillConcurrent means that another engine is prefilling them at the same time.
	PrefillConcurrent PrefillReason = "read elsewhere at once"
	// PrefillNotFetched means that a reachable engine caches them but they are not fetched from it.
	PrefillNotFetched PrefillReason = "not fetched"
)

// estimatePrefill returns what the chosen engine is expected to prefill. It must run before the
// prompt is recorded as cached there.
func (m *Manager) estimatePrefill(
	lease *Lease, request PickRequest, shared []prompt.KeyedPart, now clock.Millis,
) Prefill {
	total := tokens(shared)
	cached := lease.parts.cachedTokens(shared, now)
	unreachable, concurrent, reachable := 0, 0, 0
	for _, member := range m.pools[request.Pool] {
		memberCached := member.parts.cachedTokens(shared, now)
		switch {
		case member == lease.Member:
		case member.Address == lease.FetchFrom:
			cached = max(cached, memberCached)
			concurrent = max(concurrent, memberCached-member.confirmedTokens(shared, now))
		case member.health.Ejected(now) || member.signals.backingOff(now) || m.pathTo(member.FailureDomain).partitioned:
			unreachable = max(unreachable, memberCached)
		default:
			reachable = max(reachable, memberCached)
		}
	}
	lostTokens := m.lostParts.cachedTokens(shared, now)
	for _, member := range m.departed[request.Pool] {
		if member.Address == lease.FetchFrom {
			cached = max(cached, member.parts.cachedTokens(shared, now))
		}
	}
	switch missing := total - cached; {
	case missing < minFetchTokens && concurrent >= minFetchTokens:
		return Prefill{Tokens: concurrent, Reason: PrefillConcurrent}
	case missing < minFetchTokens:
		return Prefill{}
	case reachable > cached:
		return Prefill{Tokens: missing, Reason: PrefillNotFetched}
	case unreachable > cached:
		return Prefill{Tokens: missing, Reason: PrefillEngineUnreachable}
	case lostTokens > cached:
		return Prefill{Tokens: missing, Reason: PrefillEngineGone}
	default:
		return Prefill{Tokens: missing, Reason: PrefillNew}
	}
}

// confirmedTokens returns how many tokens at the beginning of the prompt the engine has certainly
// prefilled, because it has responded to requests with them.
func (m *Member) confirmedTokens(shared []prompt.KeyedPart, now clock.Millis) int {
	sum, confirmed := 0, 0
	for _, part := range shared {
		sum += part.Tokens
		if m.parts.seenWithin(part.Key, now, partTTLMs) && m.prefilling[part.Key] == 0 {
			confirmed = sum
		}
	}
	return confirmed
}
