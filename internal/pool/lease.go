package pool

import (
	"fmt"
	"net/http"

	"dooryard.example/dooryard/internal/route"
	"dooryard.example/dooryard/internal/table"
)

// Lease permits one attempt on an upstream. Release must be called once.
type Lease struct {
	// Row is the upstream's row of the routing table at the time of the lease.
	Row *table.Upstream
	// AddPeerHeaders is set if the upstream is a box of another failure domain. It adds the headers
	// that the listener for peers requires.
	AddPeerHeaders func(header http.Header)
	// Scheme is http, or https for a box whose listener for peers uses TLS.
	Scheme string

	// onRelease is called after the release with the number of requests that this box still has
	// on the upstream.
	onRelease func(inFlight int)
	manager   *Manager
	onResult  func(failed bool)
	poolName  string
	released  bool
}

// NewRemoteLease returns a lease on a box of another failure domain, which is not part of any pool.
// onResult is called with whether the attempt failed.
func NewRemoteLease(box, address string, remote func(header http.Header), onResult func(failed bool)) *Lease {
	return &Lease{
		Row: &table.Upstream{Name: box, Address: address}, AddPeerHeaders: remote, onResult: onResult, Scheme: "http",
	}
}

// Tried lists the names of the upstreams that a request has had a lease on.
type Tried []string

// Acquire picks an upstream for a key and returns a lease on it. The error wraps route.ErrNoUpstream
// or route.ErrSaturated if there is none.
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

// Release returns the lease and records the result for the upstream's health.
func (l *Lease) Release(result Result) {
	if l.manager == nil {
		l.onResult(result == Failed || result == Unreachable)
		return
	}
	if held, firstRelease := l.manager.releaseOnce(l, result); firstRelease && l.onRelease != nil {
		l.onRelease(held)
	}
}

// releaseOnce returns the number of requests that this box still has on the lease's upstream. It
// returns false if the lease was already released.
func (m *Manager) releaseOnce(l *Lease, result Result) (held int, firstRelease bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.released {
		return 0, false
	}
	l.released = true
	held = m.decrement(l)
	m.recordResult(l.Row.Name, result)
	return held, true
}

func (m *Manager) decrement(l *Lease) (held int) {
	if u := m.upstreams[l.Row.Name]; u != nil && u.used > 0 {
		u.addUsed(-1)
	}
	p := m.pools[l.poolName]
	if p == nil {
		return 0
	}
	if index := p.position(l.Row.Name); index >= 0 {
		p.view.Add(index, -1)
		return p.view.Members[index].InFlight
	}
	p.inFlight[l.Row.Name]--
	return p.inFlight[l.Row.Name]
}
