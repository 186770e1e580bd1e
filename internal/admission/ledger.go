package admission

import (
	"maps"
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

const (
	// permitTTLMs is the maximum time for which a granted request counts. It outlasts most requests, and bounds the
	// effect of a lost release.
	permitTTLMs = 20 * clock.Second
	// settleMs is how long an owner counts before its count is complete.
	settleMs = 3 * clock.Second
)

// Ledger counts the work at the upstreams that one box owns. It is safe for concurrent use.
type Ledger struct {
	monotonic func() clock.Millis

	mu        sync.Mutex
	permits   map[ID]permit
	upstreams map[namekey.Key]*upstream
}

// permit is a granted request.
type permit struct {
	upstream namekey.Key
	untilMs  clock.Millis
}

// upstream is the state of one upstream.
type upstream struct {
	inUse   int
	sinceMs clock.Millis
}

// Option configures a Ledger.
type Option func(l *Ledger)

// New returns an empty ledger. The clock is monotonic.
func New(monotonic func() clock.Millis, options ...Option) *Ledger {
	l := &Ledger{monotonic: monotonic, permits: map[ID]permit{}, upstreams: map[namekey.Key]*upstream{}}
	for _, option := range options {
		option(l)
	}
	return l
}

// Ask decides on an ask. Asking again under the same ID counts once. It also returns the grants that are due.
func (l *Ledger) Ask(a Ask) (Answer, []Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(a.ID)
	now := l.monotonic()
	u := l.upstreams[a.Upstream]
	if u == nil {
		u = &upstream{sinceMs: now}
		l.upstreams[a.Upstream] = u
	}
	answer := Answer{Provisional: now-u.sinceMs < settleMs}
	if !a.Force && a.Bound > 0 && u.inUse >= a.Bound {
		return answer, nil
	}
	u.inUse++
	l.permits[a.ID] = permit{upstream: a.Upstream, untilMs: now + permitTTLMs}
	answer.Verdict = Granted
	return answer, nil
}

// Started records that the first event of a request has come, and returns the grants that are due.
func (*Ledger) Started(ID) []Grant { return nil }

// Release records that a request has ended, or withdraws a queued ask, and returns the grants that are due.
func (l *Ledger) Release(id ID, _ bool) []Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(id)
	return nil
}

func (l *Ledger) remove(id ID) {
	if p, found := l.permits[id]; found {
		delete(l.permits, id)
		l.upstreams[p.upstream].inUse--
	}
}

// ReleaseBox ends all requests of a box that has restarted, and returns the grants that are due.
func (l *Ledger) ReleaseBox(box string) []Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range maps.Clone(l.permits) {
		if id.Box == box {
			l.remove(id)
		}
	}
	return nil
}

// Expire removes requests whose release was never received, and returns the grants that are due.
func (l *Ledger) Expire() []Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.monotonic()
	for id, p := range maps.Clone(l.permits) {
		if p.untilMs <= now {
			l.remove(id)
		}
	}
	return nil
}

// Sizes holds counts for metrics.
type Sizes struct {
	Upstreams int `json:"upstreams"`
	Permits   int `json:"permits"`
	Queued    int `json:"queued"`
}

// Sizes returns counts for metrics.
func (l *Ledger) Sizes() Sizes {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Sizes{Upstreams: len(l.upstreams), Permits: len(l.permits)}
}
