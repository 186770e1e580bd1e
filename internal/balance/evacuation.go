package balance

import (
	"fmt"
	"slices"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/evacuation"
)

// ErrAllEvacuated means that all upstreams that would accept the request are in evacuated failure
// domains. It wraps ErrNoUpstream.
var ErrAllEvacuated = fmt.Errorf("%w: their failure domains are evacuated", ErrNoUpstream)

// evacuatedDomain is an evacuated failure domain.
type evacuatedDomain struct {
	// fetchUntilMs is until when engines of other failure domains may fetch cached parts from its engines.
	fetchUntilMs clock.Millis
	// reserveUntilMs is until when its engines may take requests that the others can't hold.
	reserveUntilMs clock.Millis
}

// reserveMarginMs is how long before an evacuation must have taken effect the last request is sent to its engines. A
// request that has been sent arrives much sooner.
const reserveMarginMs = clock.Second

// SetEvacuations sets the evacuated failure domains. Their upstreams get no new requests from now on, except
// for those that the other engines can't hold.
//
// For the first half of the time in which the evacuation must take effect, sessions that move to other
// engines may still fetch their cached parts. The other half is left for the fetches to arrive, since prompts
// wait for each other at an engine.
func (m *Manager) SetEvacuations(list []evacuation.Evacuation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, before := m.monotonic(), m.evacuated
	m.evacuated = make(map[string]evacuatedDomain, len(list))
	for _, e := range list {
		domain := evacuatedDomain{}
		if e.AgeMs >= 0 {
			startedMs := now - e.AgeMs
			domain.fetchUntilMs = startedMs + m.settings.EvacuationMs/2
			domain.reserveUntilMs = startedMs + m.settings.EvacuationMs - reserveMarginMs
		}
		m.evacuated[e.FailureDomain] = domain
	}
	for _, member := range m.byID {
		_, member.evacuated = m.evacuated[member.FailureDomain]
	}
	for domain := range before {
		if _, evacuated := m.evacuated[domain]; !evacuated {
			m.assumeCold(domain, now)
		}
	}
}

// mayFetchFrom reports whether an evacuation allows engines to fetch cached parts from an engine.
func (m *Manager) mayFetchFrom(member *Member, now clock.Millis) bool {
	domain, evacuated := m.evacuated[member.FailureDomain]
	return !evacuated || now < domain.fetchUntilMs
}

// inReserve reports whether an engine is evacuated and may take requests that the others can't hold.
func (m *Manager) inReserve(member *Member, now clock.Millis) bool {
	domain, evacuated := m.evacuated[member.FailureDomain]
	return evacuated && now < domain.reserveUntilMs
}

// reserve returns the engines of failure domains that were evacuated a short time ago. They may take requests while the
// others can't hold the load, because further engines are evacuated, too, or are cold for some seconds. Brittle engines
// are no reserve: those that have room aren't known.
func (m *Manager) reserve(request PickRequest, now clock.Millis) []*Member {
	list := []*Member{}
	if m.maxRejections(request.Pool, now) > 0 {
		return list
	}
	for _, member := range m.members(request) {
		if m.inReserve(member, now) && !member.draining() && !member.signals.backingOff(now) &&
			!m.pathTo(member.FailureDomain).partitioned && !slices.Contains(request.Tried, member.ID) &&
			m.coldDelayMs(member, now) == 0 && member.acceptsRequest(now) {
			list = append(list, member)
		}
	}
	return list
}

// mayUseReserve reports whether the request was given to the reserve and may still be sent there.
func (l *Lease) mayUseReserve() bool {
	return l.FromReserve && l.manager.inReserve(l.Member, l.manager.monotonic())
}

// reserveRank is how many engines of a session's order are tried before those of the reserve.
const reserveRank = 2

// withReserve inserts the reserve into a session's order of engines.
func withReserve(order, reserve []*Member) []*Member {
	return slices.Insert(slices.Clone(order), min(reserveRank, len(order)), reserve...)
}
