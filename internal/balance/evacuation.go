package balance

import (
	"fmt"

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
}

// SetEvacuations sets the evacuated failure domains. Their upstreams get no new requests from now on.
//
// For the first half of the time in which the evacuation must take effect, sessions that move to other
// engines may still fetch their cached parts. The other half is left for the fetches to arrive.
func (m *Manager) SetEvacuations(list []evacuation.Evacuation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, before := m.monotonic(), m.evacuated
	m.evacuated = make(map[string]evacuatedDomain, len(list))
	for _, e := range list {
		domain := evacuatedDomain{}
		if e.AgeMs >= 0 {
			domain.fetchUntilMs = now - e.AgeMs + m.settings.EvacuationMs/2
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
