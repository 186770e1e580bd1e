package balance

import (
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/prompt"
)

// minFetchTokens is the minimum number of tokens that a fetch from another engine must save. Prefilling
// fewer tokens is as fast as the fetch call.
const minFetchTokens = 64

// chooseFetchSource selects the engine from which the chosen engine fetches cached parts. This is the
// engine that is known to cache the most of the prompt, if it caches at least minFetchTokens more than
// the chosen engine. Otherwise it is the engine that likelyHolder returns, if any.
func (m *Manager) chooseFetchSource(lease *Lease, request PickRequest, shared []prompt.KeyedPart, now clock.Millis) {
	if !request.Transfers || len(shared) == 0 {
		return
	}
	own := lease.parts.cachedTokens(shared, now)
	if tokens(shared)-own < minFetchTokens {
		return
	}
	order := rank(request.Prompt.Session(), m.pools[request.Pool])
	if address, cached := m.knownHolder(lease, order, shared, now); cached >= own+minFetchTokens {
		lease.FetchFrom = address
		return
	}
	if m.fleetInFlightByPool != nil || request.Admission != nil {
		lease.FetchFrom = m.likelyHolder(lease, order, now)
	}
}

// likelyHolder returns the address of the engine that ranks first for a session, if it is usable but
// another engine was chosen, for example because the first one's owner refused a permit. Other boxes have likely sent
// the session to the first engine, although this box has not heard of it: in a large fleet boxes don't announce what
// engines cache, and with admission sessions move more often than announcements arrive.
func (m *Manager) likelyHolder(lease *Lease, order []*Member, now clock.Millis) string {
	first := order[0]
	if first == lease.Member || first.unavailable(now) || !m.usable(first, now) {
		return ""
	}
	return first.Address
}

func tokens(parts []prompt.KeyedPart) int {
	sum := 0
	for _, part := range parts {
		sum += part.Tokens
	}
	return sum
}

// knownHolder returns the address of the engine that is known to cache the most of the prompt, and
// the number of tokens it caches. It considers the engines in order and the recently departed ones,
// but not the chosen engine or those that are ejected, backing off, or evacuated for a while.
func (m *Manager) knownHolder(
	lease *Lease, order []*Member, shared []prompt.KeyedPart, now clock.Millis,
) (address string, cached int) {
	for _, member := range append(order, m.departed[lease.Pool]...) {
		if member == lease.Member || member.health.Ejected(now) || member.signals.backingOff(now) ||
			!m.mayFetchFrom(member, now) {
			continue
		}
		if tokens := member.parts.cachedTokens(shared, now); tokens > cached {
			address, cached = member.Address, tokens
		}
	}
	return address, cached
}
