package balance

import (
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/prompt"
)

// Reading is what an engine will likely read of a prompt's shared parts, because neither
// it nor the engine that it fetches from is known to keep them.
type Reading struct {
	Tokens int
	Why    ReadWhy
}

// ReadWhy says why shared parts are read.
type ReadWhy string

// Reasons for reading shared parts.
const (
	// ReadNew means that no engine is known to have read them lately.
	ReadNew ReadWhy = "new"
	// ReadLost means that engines kept them that have gone since.
	ReadLost ReadWhy = "engine gone"
	// ReadBehind means that an engine keeps them that is ejected, at rest or behind a cut.
	ReadBehind ReadWhy = "engine unreachable"
	// ReadAtOnce means that another engine is reading them at this moment.
	ReadAtOnce ReadWhy = "read elsewhere at once"
	// ReadUnfetched means that an engine in reach keeps them and is not asked.
	ReadUnfetched ReadWhy = "not fetched"
)

// reading works out what the chosen engine reads, before the prompt is noted as kept there.
func (m *Manager) reading(lease *Lease, a Ask, shared []prompt.Keyed, now clock.Millis) Reading {
	all := tokens(shared)
	had := lease.parts.held(shared, now)
	behind, atOnce, reachable := 0, 0, 0
	for _, member := range m.pools[a.Pool] {
		held := member.parts.held(shared, now)
		switch {
		case member == lease.Member:
		case member.Address == lease.FetchFrom:
			had = max(had, held)
			atOnce = max(atOnce, held-member.answeredParts(shared, now))
		case member.health.Ejected(now) || member.said.resting(now) || m.pathTo(member.FailureDomain).cut:
			behind = max(behind, held)
		default:
			reachable = max(reachable, held)
		}
	}
	lost := m.lost.held(shared, now)
	for _, member := range m.departed[a.Pool] {
		if member.Address == lease.FetchFrom {
			had = max(had, member.parts.held(shared, now))
		}
	}
	switch left := all - had; {
	case left < minFetchTokens && atOnce >= minFetchTokens:
		return Reading{Tokens: atOnce, Why: ReadAtOnce}
	case left < minFetchTokens:
		return Reading{}
	case reachable > had:
		return Reading{Tokens: left, Why: ReadUnfetched}
	case behind > had:
		return Reading{Tokens: left, Why: ReadBehind}
	case lost > had:
		return Reading{Tokens: left, Why: ReadLost}
	default:
		return Reading{Tokens: left, Why: ReadNew}
	}
}

// answeredParts is how many tokens at the beginning of the prompt the engine has answered
// for, so that it surely has read them.
func (m *Member) answeredParts(shared []prompt.Keyed, now clock.Millis) int {
	sum, held := 0, 0
	for _, part := range shared {
		sum += part.Tokens
		if m.parts.knows(part.Key, now, partLifeMs) && m.pending[part.Key] == 0 {
			held = sum
		}
	}
	return held
}
