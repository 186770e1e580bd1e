package pool

import (
	"fmt"
	"net/http"

	"dooryard.example/dooryard/internal/route"
	"dooryard.example/dooryard/internal/table"
)

// Lease is the right to send one attempt to an upstream. Release it once.
type Lease struct {
	// Row is the upstream as the table had it when the lease was given.
	Row *table.Upstream
	// Remote is set when the upstream is a box of another failure domain; it
	// adds what the peers' listener asks for.
	Remote func(header http.Header)
	// Scheme is http, or https to a box whose peers' listener speaks TLS.
	Scheme string

	// after is called after the release with what this box still has there.
	after    func(held int)
	manager  *Manager
	judged   func(failed bool)
	poolName string
	released bool
}

// NewRemoteLease returns a lease on a box of another failure domain, which no
// pool counts. Judged hears how its attempt ended.
func NewRemoteLease(box, address string, remote func(header http.Header), judged func(failed bool)) *Lease {
	return &Lease{
		Row: &table.Upstream{Name: box, Address: address}, Remote: remote, judged: judged, Scheme: "http",
	}
}

// Tried names the upstreams that one request has had a lease on.
type Tried []string

// Acquire picks an upstream for a key. It wraps route.ErrNoUpstream or
// route.ErrSaturated when there is none.
func (m *Manager) Acquire(poolName string, key route.Key, tried Tried) (*Lease, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.pools[poolName]
	if p == nil {
		return nil, fmt.Errorf("%w: %s", route.ErrNoUpstream, poolName)
	}
	position, err := m.settings.Policy.Pick(p.view, key, p.positions(tried))
	if err != nil {
		return nil, fmt.Errorf("%w: %s", err, poolName)
	}
	return m.lease(p, position), nil
}

func (m *Manager) lease(p *pool, position int) *Lease {
	u := p.members[position]
	p.view.Add(position, 1)
	u.addUsed(1)
	return &Lease{Row: u.row, manager: m, poolName: p.name, Scheme: "http"}
}

// Release gives the lease back and counts the result for the upstream's health.
func (l *Lease) Release(result Result) {
	if l.manager == nil {
		l.judged(result == Failed || result == Unreachable)
		return
	}
	if held, first := l.manager.giveBack(l, result); first && l.after != nil {
		l.after(held)
	}
}

// giveBack returns what this box still has on the lease's upstream, and false
// when the lease was given back before.
func (m *Manager) giveBack(l *Lease, result Result) (held int, first bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.released {
		return 0, false
	}
	l.released = true
	held = m.release(l)
	m.judge(l.Row.Name, result)
	return held, true
}

func (m *Manager) release(l *Lease) (held int) {
	if u := m.upstreams[l.Row.Name]; u != nil && u.used > 0 {
		u.addUsed(-1)
	}
	p := m.pools[l.poolName]
	if p == nil {
		return 0
	}
	if at := p.position(l.Row.Name); at >= 0 {
		p.view.Add(at, -1)
		return p.view.Members[at].InFlight
	}
	p.inFlight[l.Row.Name]--
	return p.inFlight[l.Row.Name]
}
