package balance

import (
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/prompt"
)

const (
	// minFetchTokens is the least gain for which cached parts are fetched from
	// another engine: below it, reading them is as quick as the call.
	minFetchTokens = 64
	// settledMs is how long an engine takes to be asked for most sessions that
	// it is first for.
	settledMs = 10 * clock.Second
)

// chooseSource names the engine that is most likely to keep more of the prompt
// than the chosen one: one that this box had read all of it, or else the one that
// all boxes prefer for the session, or else one that this box had read the most.
func (m *Manager) chooseSource(lease *Lease, a Ask, shared []prompt.Keyed, now clock.Millis) {
	if !a.Transfers || len(shared) == 0 {
		return
	}
	all := tokens(shared)
	own := lease.parts.held(shared, now)
	if all-own < minFetchTokens {
		return
	}
	order := rank(a.Prompt.Session(), m.pools[a.Pool])
	known, held := m.knownHolder(lease, order, shared, now)
	if held < all {
		lease.FetchFrom = m.usualHolder(lease, order, now)
	}
	if lease.FetchFrom == "" && held >= own+minFetchTokens {
		lease.FetchFrom = known
	}
}

func tokens(parts []prompt.Keyed) int {
	sum := 0
	for _, part := range parts {
		sum += part.Tokens
	}
	return sum
}

// knownHolder is the address of the engine that this box had read the most of the
// prompt, and how many tokens that was.
func (m *Manager) knownHolder(
	lease *Lease, order []*Member, shared []prompt.Keyed, now clock.Millis,
) (address string, held int) {
	for _, member := range append(order, m.departed[lease.Pool]...) {
		if member == lease.Member || member.health.Ejected(now) {
			continue
		}
		if tokens := member.parts.held(shared, now); tokens > held {
			address, held = member.Address, tokens
		}
	}
	return address, held
}

// settled tells whether an engine has been there for so long that most sessions that
// it is first for have been sent to it.
func (m *Manager) settled(member *Member, now clock.Millis) bool {
	return member.joined <= m.startedMs || now-member.joined > settledMs
}

// usualHolder is the address of the engine that other boxes have most likely sent
// the session to: the first in its order, or the second when the first has only
// just joined.
func (m *Manager) usualHolder(lease *Lease, order []*Member, now clock.Millis) string {
	for _, member := range order {
		settled := m.settled(member, now)
		if member == lease.Member {
			if settled {
				return ""
			}
			continue
		}
		if settled && !member.health.Ejected(now) {
			return member.Address
		}
	}
	return ""
}
