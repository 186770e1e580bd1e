// Package occupancy counts the requests of all boxes at the upstreams that one box owns. A box sees a
// part of the traffic, in a large fleet a small fraction, and receives load reports too seldom to bound an
// upstream's load by itself. An upstream's owner can bound the load, because it grants a permit for each
// request.
package occupancy

import (
	"maps"
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

const (
	// permitTTLMs is the maximum time for which a permit counts. It outlasts most requests, and bounds
	// the effect of a lost release message.
	permitTTLMs = 20 * clock.Second
	// queuedTTLFactor and minQueuedTTLMs are the maximum time for which a permit of AcquireWithin counts, as a
	// multiple of the time within which the response should start. Few such requests take longer, and a permit whose
	// release was lost takes capacity from other requests.
	queuedTTLFactor              = 4
	minQueuedTTLMs  clock.Millis = 500
)

// PermitID identifies a permit: the box that requested it, and a number that the box assigned.
type PermitID struct {
	Box    string
	Number uint32
}

// Reply is the answer to a request for a permit.
type Reply struct {
	// Granted is set unless the upstream has reached its bound.
	Granted bool
	// Provisional is set if no owner answered, or only one that has counted the requests there for a short time. The
	// box must then also go by its own estimate of the load.
	Provisional bool
	// Unanswered is set if no owner answered.
	Unanswered bool
	// Count tells the owner of a request that is sent although the owner hasn't granted it in time; nil if there is no
	// need to.
	Count func()
	// Release returns the permit, and tells whether the upstream served the request; nil if there is none to return.
	Release func(served bool)
}

type permit struct {
	upstream  namekey.Key
	grantedMs clock.Millis
	untilMs   clock.Millis
	// slots is the number of slots of the upstream, or 0 for a permit of Acquire.
	slots int
	// immediate is set if a slot was free when the permit was granted.
	immediate bool
}

// Ledger counts permits. It is safe for concurrent use.
type Ledger struct {
	monotonic func() clock.Millis

	mu        sync.Mutex
	permits   map[PermitID]permit
	upstreams map[namekey.Key]*load
}

// New returns an empty ledger.
func New(monotonic func() clock.Millis) *Ledger {
	return &Ledger{monotonic: monotonic, permits: map[PermitID]permit{}, upstreams: map[namekey.Key]*load{}}
}

// settleMs is how long an owner counts the requests at an upstream before most of the requests there have its permit.
// Until then others may run that an earlier owner has counted.
const settleMs = 3 * clock.Second

// Settled reports whether this box has counted the requests at an upstream for so long that its count is complete.
func (l *Ledger) Settled(upstream namekey.Key) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.upstreams[upstream]
	return u != nil && l.monotonic()-u.sinceMs >= settleMs
}

// Unsettle makes the counts at upstreams incomplete from now on, because other boxes may have counted requests there.
func (l *Ledger) Unsettle(isIncomplete func(upstream namekey.Key) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, u := range l.upstreams {
		if isIncomplete(key) {
			u.sinceMs = l.monotonic()
		}
	}
}

// Acquire grants a permit at an upstream unless the bound is reached, and reports whether it did.
func (l *Ledger) Acquire(id PermitID, upstream namekey.Key, bound int) bool {
	return l.acquire(id, upstream, func(u *load) (permit, bool) {
		now := l.monotonic()
		return permit{untilMs: now + permitTTLMs}, u.inUse < u.room(bound, now)
	})
}

// AcquireWithin grants a permit at an upstream with a number of slots if the response can likely start within a
// time, and reports whether it did.
func (l *Ledger) AcquireWithin(id PermitID, upstream namekey.Key, slots int, within clock.Millis) bool {
	return l.acquire(id, upstream, func(u *load) (permit, bool) {
		p := permit{
			slots: slots, immediate: u.inUse < slots,
			untilMs: l.monotonic() + min(permitTTLMs, max(minQueuedTTLMs, queuedTTLFactor*within)),
		}
		return p, u.accepts(slots, within, l.monotonic())
	})
}

func (l *Ledger) acquire(id PermitID, upstream namekey.Key, decide func(u *load) (permit, bool)) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(id)
	u := l.upstreams[upstream]
	if u == nil {
		u = &load{sinceMs: l.monotonic()}
		l.upstreams[upstream] = u
	}
	u.usedMs = l.monotonic()
	p, granted := decide(u)
	if !granted {
		return false
	}
	p.upstream, p.grantedMs = upstream, u.usedMs
	l.permits[id] = p
	u.inUse++
	if p.slots > 0 && u.inUse == p.slots {
		u.fullSinceMs = u.usedMs
	}
	return true
}

// RecordRejection records that an upstream rejected a request for want of room, although its permit was granted. Until
// it turns out to have more room, it gets no more permits than were held besides that of the request.
func (l *Ledger) RecordRejection(upstream namekey.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u := l.upstreams[upstream]; u != nil {
		u.limit, u.limitedMs = max(1, u.inUse-1), l.monotonic()
	}
}

// Release returns a permit, if it is held, because its request has ended. The flag served is set if the upstream
// served the request.
func (l *Ledger) Release(id PermitID, served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, held := l.permits[id]; held && served && p.slots > 0 {
		l.upstreams[p.upstream].recordEnd(p, l.monotonic())
	}
	l.remove(id)
}

func (l *Ledger) remove(id PermitID) {
	p, found := l.permits[id]
	if !found {
		return
	}
	delete(l.permits, id)
	l.upstreams[p.upstream].inUse--
}

// ReleaseBox returns all permits of a box that has restarted: its requests ended with its last process.
func (l *Ledger) ReleaseBox(box string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range maps.Clone(l.permits) {
		if id.Box == box {
			l.remove(id)
		}
	}
}

// idleTTLMs is how long an upstream without requests is remembered.
const idleTTLMs = 60 * clock.Second

// Expire removes permits whose release was never received, and upstreams that are no longer used.
func (l *Ledger) Expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.monotonic()
	for id, p := range maps.Clone(l.permits) {
		if p.untilMs <= now {
			l.remove(id)
		}
	}
	maps.DeleteFunc(l.upstreams, func(_ namekey.Key, u *load) bool { return u.inUse == 0 && now-u.usedMs >= idleTTLMs })
}

// InUse returns the number of permits that are held at an upstream.
func (l *Ledger) InUse(upstream namekey.Key) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u := l.upstreams[upstream]; u != nil {
		return u.inUse
	}
	return 0
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
	sizes := Sizes{Permits: len(l.permits)}
	for _, u := range l.upstreams {
		if u.inUse > 0 {
			sizes.Upstreams++
		}
	}
	return sizes
}
