package balance

import (
	"maps"
	"slices"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/upstream"
)

// Thresholds for probing a failure domain. Silence suggests that the path to it is partitioned;
// connections that can't be opened prove it.
const (
	// Shorter thresholds than these cause many additional probes of paths that work.
	//
	// maxResponseSilenceMs is how long a domain may be silent while at least minResponding
	// responses are being received from it. It is several times the pause between two events of a
	// response. It is also longer than the pause that an engine's other streams have while the engine
	// prefills a long prompt.
	maxResponseSilenceMs clock.Millis = 100
	minResponding        int          = 4
	// maxUpstreamSilenceMs is how long all upstreams of a domain together may be silent while requests
	// are in flight there, whatever the boxes of the domain send. It is longer than most requests to a
	// plain service and most prefills take.
	maxUpstreamSilenceMs clock.Millis = 500
	// heartbeatGraceMs is how much longer than the heartbeat interval a domain may be silent,
	// regardless of the responses being received: about ten round trips.
	heartbeatGraceMs clock.Millis = 50
	// maxProbeTargets is how many upstreams a probe of the path connects to, because a single one may
	// be down.
	maxProbeTargets = 3
	// probeIntervalMs is the minimum time between two probes of a path. quietProbeIntervalMs is the
	// minimum for a path on which connections open but nothing else was received since the last
	// probe.
	probeIntervalMs      clock.Millis = 250
	quietProbeIntervalMs clock.Millis = 2000
)

// Probe is a probe of the path to a failure domain. The caller opens connections to the upstreams
// of Clients and reports the result to RecordProbe.
type Probe struct {
	FailureDomain string
	Clients       []*upstream.Client
}

// RecordContact records that another box of a failure domain sent a message.
func (m *Manager) RecordContact(failureDomain string) {
	m.mu.Lock()
	p := m.pathTo(failureDomain)
	m.mu.Unlock()
	p.recordContact(m.monotonic())
}

// Probes returns the probes that are due. The map heartbeatMs holds, by failure domain, the interval
// at which one of the domain's boxes is pinged. The flag paused is set if this box itself was
// paused, so that the silence of others does not indicate a partition.
func (m *Manager) Probes(heartbeatMs map[string]clock.Millis, paused bool) []Probe {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.monotonic()
	probes := []Probe{}
	for name, p := range m.paths {
		if paused {
			p.lastContactMs.Store(int64(now))
			continue
		}
		if p.probing || !p.probeDue(now, heartbeatMs[name]) {
			continue
		}
		if _, evacuated := m.evacuated[name]; evacuated {
			continue
		}
		if clients := m.probeTargets(name, now); len(clients) > 0 {
			p.probing, p.probeRequested = true, false
			probes = append(probes, Probe{FailureDomain: name, Clients: clients})
		}
	}
	return probes
}

// probeTargets selects upstreams of a failure domain to connect to.
func (m *Manager) probeTargets(name string, now clock.Millis) []*upstream.Client {
	return m.selectTargets(now, func(member *Member) bool { return member.FailureDomain == name })
}

// selectTargets selects up to maxProbeTargets of the upstreams that match, healthy ones first.
func (m *Manager) selectTargets(now clock.Millis, matches func(member *Member) bool) []*upstream.Client {
	healthy, unhealthy := []*upstream.Client{}, []*upstream.Client{}
	for _, member := range m.byID {
		switch {
		case !matches(member):
		case member.health.Ejected(now) || member.unavailable(now):
			unhealthy = append(unhealthy, member.client)
		default:
			healthy = append(healthy, member.client)
		}
	}
	all := slices.Concat(healthy, unhealthy)
	return all[:min(maxProbeTargets, len(all))]
}

// ProbeTargetsExcept selects other upstreams to connect to, to learn whether a failure concerns only one.
// It returns none if there is no other.
func (m *Manager) ProbeTargetsExcept(member *Member) []*upstream.Client {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.monotonic()
	return m.selectTargets(now, func(other *Member) bool { return other.ID != member.ID })
}

// ProbeTargetsBeside selects other upstreams in the failure domain of one to connect to, to learn whether a host or the
// path to its failure domain has failed. It returns none if there is no other.
func (m *Manager) ProbeTargetsBeside(member *Member) []*upstream.Client {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selectTargets(m.monotonic(), func(other *Member) bool {
		return other.ID != member.ID && other.FailureDomain == member.FailureDomain
	})
}

// RecordProbe records the result of a probe: opened is set if any connection was opened, or was refused
// by a reachable host. It reports whether the state of the path changed. If a partition has ended,
// partitionMs is its duration; it has no meaning if the state did not change.
func (m *Manager) RecordProbe(name string, opened bool) (partitionMs clock.Millis, changed bool) {
	partitionMs, changed, callbacks := m.recordProbe(name, opened)
	for _, callback := range callbacks {
		callback()
	}
	return partitionMs, changed
}

// RecordProbeWithoutResult records that a probe has ended and tells nothing about the path.
func (m *Manager) RecordProbeWithoutResult(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.pathTo(name)
	p.probing, p.probeEndedMs = false, m.monotonic()
}

// recordProbe records the result of a probe. If the path has become partitioned, it returns the
// callbacks of the requests that use the path.
func (m *Manager) recordProbe(name string, opened bool) (partitionMs clock.Millis, changed bool, callbacks []func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.monotonic()
	p := m.pathTo(name)
	changed = p.partitioned == opened
	p.probing, p.partitioned = false, !opened
	p.probeEndedMs = now
	switch {
	case opened:
		p.lastContactMs.Store(int64(now))
		partitionMs = now - p.partitionedAtMs
	case changed:
		p.partitionedAtMs = now
		m.closeIdleConnections(name)
		callbacks = slices.Collect(maps.Values(p.onPartition))
		clear(p.onPartition)
	}
	return partitionMs, changed, callbacks
}

// probeDue reports whether the path is to be probed now.
func (p *netPath) probeDue(now, heartbeatMs clock.Millis) bool {
	since := now - p.probeEndedMs
	switch {
	case since < probeIntervalMs:
		return false
	case p.partitioned || p.probeRequested:
		return true
	default:
		contactSince := clock.Millis(p.lastContactMs.Load()) > p.probeEndedMs
		responseSince := clock.Millis(p.lastResponseMs.Load()) > p.probeEndedMs
		return p.silent(now, heartbeatMs) && (contactSince || since >= quietProbeIntervalMs) ||
			p.upstreamsSilent(now) && (responseSince || since >= quietProbeIntervalMs)
	}
}
