package balance

import (
	"maps"
	"slices"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/upstream"
)

// Silence of a failure domain. Nothing heard from it says that the way to it may be cut,
// and connections that don't open say that it is.
const (
	// A silence that says nothing costs a look: with shorter spans 87 boxes opened 58,000
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
	// probesAtOnce is how many upstreams are tried for one look at the way: one alone
	// may be dead.
	probesAtOnce = 3
	// lookAgainMs is the least time between two looks at a way, and calmMs that between
	// two at one that opens connections, but from which nothing else was heard since.
	lookAgainMs clock.Millis = 250
	calmMs      clock.Millis = 2000
)

// Look is a look at the way to a failure domain: connections to some upstreams there are
// to be opened, and what comes of it told by Looked.
type Look struct {
	FailureDomain string
	Clients       []*upstream.Client
}

// HeardFrom notes that another box of a failure domain was heard.
func (m *Manager) HeardFrom(failureDomain string) {
	m.mu.Lock()
	d := m.wayTo(failureDomain)
	m.mu.Unlock()
	d.heard(m.steady())
}

// Looks returns the looks that are due. AskEach is how often some box of a failure
// domain is asked for a sign of life, by domain. Paused is set when this box itself stood still,
// so that the silence of others says nothing.
func (m *Manager) Looks(askEach map[string]clock.Millis, paused bool) []Look {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.steady()
	looks := []Look{}
	for name, d := range m.domains {
		if paused {
			d.heardMs.Store(int64(now))
			continue
		}
		if d.looking || !d.due(now, askEach[name]) {
			continue
		}
		if clients := m.lookAt(name, now); len(clients) > 0 {
			d.looking, d.asked = true, false
			looks = append(looks, Look{FailureDomain: name, Clients: clients})
		}
	}
	return looks
}

// lookAt chooses upstreams to open connections to, those that seem well first.
func (m *Manager) lookAt(name string, now clock.Millis) []*upstream.Client {
	well, ill := []*upstream.Client{}, []*upstream.Client{}
	for _, member := range m.byID {
		switch {
		case member.FailureDomain != name:
		case member.health.Ejected(now) || member.Draining:
			ill = append(ill, member.client)
		default:
			well = append(well, member.client)
		}
	}
	all := slices.Concat(well, ill)
	return all[:min(probesAtOnce, len(all))]
}

// Looked takes in whether any of a look's connections opened, or was refused by a host
// that is there. It returns whether that is news, and how long the way was cut.
func (m *Manager) Looked(name string, opened bool) (awayMs clock.Millis, news bool) {
	awayMs, news, calls := m.takeLook(name, opened)
	for _, call := range calls {
		call()
	}
	return awayMs, news
}

// takeLook takes in a look, and returns what to call for the requests behind a way that
// turns out to be cut.
func (m *Manager) takeLook(name string, opened bool) (awayMs clock.Millis, news bool, calls []func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.steady()
	d := m.wayTo(name)
	news = d.cut == opened
	d.looking, d.cut = false, !opened
	d.lookedMs = now
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

// due tells whether the way is to be looked at now.
func (d *domain) due(now, askEach clock.Millis) bool {
	since := now - d.lookedMs
	switch {
	case since < lookAgainMs:
		return false
	case d.cut || d.asked:
		return true
	default:
		heardSince := clock.Millis(d.heardMs.Load()) > d.lookedMs
		return d.silent(now, askEach) && (heardSince || since >= calmMs)
	}
}
