// Package occupancy counts the requests of all boxes of a large fleet at the upstreams that one box
// owns. In such a fleet a box sees a small fraction of the traffic and receives load reports too
// seldom to bound an upstream's load by itself. An upstream's owner can bound the load, because it
// grants a permit for each request.
package occupancy

import (
	"maps"
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

// permitTTLMs is the maximum time for which a permit counts. It outlasts most requests, and bounds
// the effect of a lost release message.
const permitTTLMs = 20 * clock.Second

// PermitID identifies a permit: the box that requested it, and a number that the box assigned.
type PermitID struct {
	Box    string
	Number uint32
}

type permit struct {
	upstream namekey.Key
	atMs     clock.Millis
}

// Ledger counts permits. It is safe for concurrent use.
type Ledger struct {
	monotonic func() clock.Millis

	mu      sync.Mutex
	permits map[PermitID]permit
	counts  map[namekey.Key]int
}

// New returns an empty ledger.
func New(monotonic func() clock.Millis) *Ledger {
	return &Ledger{monotonic: monotonic, permits: map[PermitID]permit{}, counts: map[namekey.Key]int{}}
}

// Acquire grants a permit at an upstream unless the bound is reached, and reports whether it did.
func (l *Ledger) Acquire(id PermitID, upstream namekey.Key, bound int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(id)
	if l.counts[upstream] >= bound {
		return false
	}
	l.permits[id] = permit{upstream: upstream, atMs: l.monotonic()}
	l.counts[upstream]++
	return true
}

// Release returns a permit, if it is held.
func (l *Ledger) Release(id PermitID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(id)
}

func (l *Ledger) remove(id PermitID) {
	p, found := l.permits[id]
	if !found {
		return
	}
	delete(l.permits, id)
	if l.counts[p.upstream]--; l.counts[p.upstream] == 0 {
		delete(l.counts, p.upstream)
	}
}

// Expire removes permits whose release was never received.
func (l *Ledger) Expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := l.monotonic() - permitTTLMs
	for id, p := range maps.Clone(l.permits) {
		if p.atMs <= oldest {
			l.remove(id)
		}
	}
}

// InUse returns the number of permits that are held at an upstream.
func (l *Ledger) InUse(upstream namekey.Key) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[upstream]
}

// Sizes holds counts for metrics.
type Sizes struct {
	Upstreams int `json:"upstreams"`
	Permits   int `json:"places"`
}

// Sizes returns counts for metrics.
func (l *Ledger) Sizes() Sizes {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Sizes{Upstreams: len(l.counts), Permits: len(l.permits)}
}
