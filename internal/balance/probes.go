package balance

import (
	"maps"
	"slices"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/upstream"
)

// Silence of a failure domain. Nothing heard from it says that the path to it may be cut,
// and connections that don't open say that it is.
const (
	// A silence that says nothing costs a probe: with shorter spans 87 boxes opened 58,000
	// connections on a day that takes 22,000.
	//
	// answeringSilenceMs is how long a domain may be silent while answeringCount answers
	// or more come from there: several times the pause between two events of one, and more
	// than an engine's other streams wait while it reads a long prompt.
	answeringSilenceMs clock.Millis = 100
	answeringCount     int          = 4
	// askSilenceMs is how much longer than the time between two asks of its boxes a domain
	// may be silent otherwise: some ten round trips.
	askSilenceMs clock.Millis = 50
	// probesAtOnce is how many upstreams are tried for one probe at the path: one alone
	// may be dead.
	probesAtOnce = 3
	// probeAgainMs is the least time between two probes at a path, and calmMs that between
	// two at one that opens connections, but from which nothing else was heard since.
	probeAgainMs clock.Millis = 250
	calmMs       clock.Millis = 2000
)

// Probe is a probe at the path to a failure domain: connections to some upstreams there are
// to be opened, and what comes of it told by Probed.
type Probe struct {
	FailureDomain string
	Clients       []*upstream.Client
}

// HeardFrom notes that another box of a failure domain was heard.
func (m *Manager) HeardFrom(failureDomain string) {
	m.mu.Lock()
	d := m.pathTo(failureDomain)
	m.mu.Unlock()
	d.heard(m.steady())
}

// Probes returns the probes that are due. AskEach is how often some box of a failure
// domain is asked for a sign of life, by domain. Paused is set when this box itself stood still,
// so that the silence of others says nothing.
func (m *Manager) Probes(askEach map[string]clock.Millis, paused bool) []Probe {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.steady()
	probes := []Probe{}
	for name, d := range m.domains {
		if paused {
			d.heardMs.Store(int64(now))
			continue
		}
		if d.probing || !d.due(now, askEach[name]) {
			continue
		}
		if clients := m.probeTargets(name, now); len(clients) > 0 {
			d.probing, d.asked = true, false
			probes = append(probes, Probe{FailureDomain: name, Clients: clients})
		}
	}
	return probes
}

// probeTargets chooses upstreams to open connections to, those that seem well first.
func (m *Manager) probeTargets(name string, now clock.Millis) []*upstream.Client {
	well, ill := []*upstream.Client{}, []*upstream.Client{}
	for _, member := range m.byID {
		switch {
		case member.FailureDomain != name:
		case member.health.Ejected(now) || member.wantsNothing(now):
			ill = append(ill, member.client)
		default:
			well = append(well, member.client)
		}
	}
	all := slices.Concat(well, ill)
	return all[:min(probesAtOnce, len(all))]
}

// Probed takes in whether any of a probe's connections opened, or was refused by a host
// that is there. It returns whether that is news, and how long the path was cut.
func (m *Manager) Probed(name string, opened bool) (awayMs clock.Millis, news bool) {
	awayMs, news, calls := m.takeProbe(name, opened)
	for _, call := range calls {
		call()
	}
	return awayMs, news
}

// takeProbe takes in a probe, and returns what to call for the requests behind a path that
// turns out to be cut.
func (m *Manager) takeProbe(name string, opened bool) (awayMs clock.Millis, news bool, calls []func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.steady()
	d := m.pathTo(name)
	news = d.cut == opened
	d.probing, d.cut = false, !opened
	d.probeEndedMs = now
	switch {
	case opened:
		d.heardMs.Store(int64(now))
		awayMs = now - d.cutMs
	case news:
		d.cutMs = now
		m.closeIdle(name)
		calls = slices.Collect(maps.Values(d.onCut))
		clear(d.onCut)
	}
	return awayMs, news, calls
}

// due reports whether the path is to be probed now.
func (d *domain) due(now, askEach clock.Millis) bool {
	since := now - d.probeEndedMs
	switch {
	case since < probeAgainMs:
		return false
	case d.cut || d.asked:
		return true
	default:
		heardSince := clock.Millis(d.heardMs.Load()) > d.probeEndedMs
		return d.silent(now, askEach) && (heardSince || since >= calmMs)
	}
}
