package admission

import (
	"maps"
	"slices"
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

const (
	// permitTTLMs is the time for which a granted request counts after its grant or its last renewal. It outlasts most
	// requests, and bounds the effect of a lost release.
	permitTTLMs = 20 * clock.Second
	// settleMs is how long an owner counts before its count is complete.
	settleMs = 3 * clock.Second
	// idleTTLMs is how long an upstream or a pool without asks is remembered.
	idleTTLMs = 60 * clock.Second
	// maxUpstreams and maxPools bound what is remembered, since other boxes choose the keys.
	maxUpstreams = 4096
	maxPools     = 256
)

// Ledger counts the work at the upstreams that one box owns. It is safe for concurrent use.
type Ledger struct {
	monotonic func() clock.Millis

	mu        sync.Mutex
	requests  map[ID]*request
	upstreams map[namekey.Key]*upstream
	pools     map[namekey.Key]*pool
	asks      uint64
	// renewed, unanswered and evicted are counts for metrics.
	renewed, unanswered, evicted int64
}

// pool is what is common to the upstreams of a pool.
type pool struct {
	times      prefillTimes
	holds      holdTimes
	objectives objectives
	// deniedMs is when an ask of an urgency was last denied, or 0.
	deniedMs [maxClasses]clock.Millis
	usedMs   clock.Millis
	// organisations are those without waiting asks at the upstreams of the pool.
	organisations idleFlows
}

// New returns an empty ledger. The clock is monotonic.
func New(monotonic func() clock.Millis) *Ledger {
	return &Ledger{
		monotonic: monotonic,
		requests:  map[ID]*request{}, upstreams: map[namekey.Key]*upstream{}, pools: map[namekey.Key]*pool{},
	}
}

// Ask decides on an ask. Asking again under the same ID counts once. It also returns the grants that are due.
func (l *Ledger) Ask(a Ask) (Answer, []Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.monotonic()
	a = a.bounded()
	if r := l.requests[a.ID]; r != nil {
		if r.isRepeatedBy(a) {
			return r.upstream.withPace(r.repeatedAnswer(now), a, now), nil
		}
		l.remove(r, now)
	}
	u := l.upstream(a, now)
	if u == nil {
		l.unanswered++
		return Answer{Verdict: Unanswered}, nil
	}
	l.asks++
	r := &request{
		ask: a, upstream: u, number: l.asks,
		askedMs: now, inTimeMs: now + a.InTimeMs, giveUpMs: now + a.PatienceMs,
		objectiveMs: u.pool.objectives.observe(a, now),
	}
	u.observe(now)
	answer, grants := u.decide(r, now)
	l.apply(grants)
	if answer.Verdict != Denied {
		l.requests[a.ID] = r
	}
	u.observe(now)
	return u.withPace(answer, a, now), grants
}

// upstream returns the state of the upstream of an ask, with the capacity and the pace that the ask tells. It returns
// nil if the ledger is full.
func (l *Ledger) upstream(a Ask, now clock.Millis) *upstream {
	u := l.upstreams[a.Upstream]
	if u == nil {
		p := l.pool(a.Pool)
		if p == nil || len(l.upstreams) >= maxUpstreams {
			return nil
		}
		u = newUpstream(p, now)
		l.upstreams[a.Upstream], l.pools[a.Pool] = u, p
	}
	u.pool.usedMs, u.usedMs = now, now
	if a.Slots > 0 {
		u.slots = a.Slots
	}
	if a.MemoryTokens > 0 {
		u.memory.capacity = a.MemoryTokens
	}
	u.pace.report(a.SlowPercent, now)
	return u
}

// pool returns a pool, which may be a new one, or nil if the ledger has too many.
func (l *Ledger) pool(key namekey.Key) *pool {
	p := l.pools[key]
	if p == nil && len(l.pools) < maxPools {
		p = &pool{organisations: idleFlows{limit: maxIdleOrganisations, evicted: &l.evicted}}
	}
	return p
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

// Started records that the first event of a request has come, and returns the grants that are due.
func (l *Ledger) Started(id ID) []Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil {
		return nil
	}
	now := l.monotonic()
	if r.phase != backlogged {
		return l.startedOtherwise(r, now)
	}
	r.upstream.observe(now)
	r.upstream.start(r, now)
	return l.dispatch(r.upstream, now)
}

// startedOtherwise handles the first event of a request whose start counted as lost, or that was sent although it still
// waits here, because its box got no answer.
func (l *Ledger) startedOtherwise(r *request, now clock.Millis) []Grant {
	u := r.upstream
	switch {
	case r.phase == waiting:
		u.observe(now)
		u.queue.remove(r, now)
		u.grant(r, 0, now)
		u.backlog.remove(r, false, now)
		u.run(r, now)
	case r.startLost:
		u.learnLateStart(r, now)
	}
	return l.dispatch(u, now)
}

// Release records that a request has ended, or withdraws a queued ask, and returns the grants that are due.
func (l *Ledger) Release(id ID, served bool) []Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil {
		return nil
	}
	now := l.monotonic()
	r.upstream.observe(now)
	if served {
		r.upstream.pool.holds.observe(r, now)
	}
	l.remove(r, now)
	return l.dispatch(r.upstream, now)
}

// Renew records that requests of a box still run, so that they count for permitTTLMs from now. Requests that aren't
// counted are ignored, since neither their upstream nor their work is known.
func (l *Ledger) Renew(box string, numbers []uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.monotonic()
	for _, number := range numbers {
		if r := l.requests[ID{Box: box, Number: number}]; r != nil && r.phase != waiting {
			r.untilMs = now + permitTTLMs
			l.renewed++
		}
	}
}

// ReleaseBox ends all requests of a box that has restarted, and returns the grants that are due.
func (l *Ledger) ReleaseBox(box string) []Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.monotonic()
	for id, r := range l.requests {
		if id.Box == box {
			r.upstream.observe(now)
			l.remove(r, now)
		}
	}
	return l.dispatchAll(now)
}

// Expire removes requests whose release was never received, denies queued asks that can't be served any more, and
// returns the grants that are due.
func (l *Ledger) Expire() []Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.monotonic()
	for _, r := range l.requests {
		if r.phase != waiting && now >= r.untilMs {
			l.remove(r, now)
		}
	}
	grants := []Grant{}
	for _, u := range l.inOrder() {
		if !u.unused() {
			// Renewed requests may run for longer than an upstream without asks is remembered.
			u.usedMs, u.pool.usedMs = now, now
		}
		u.observe(now)
		u.expireLostStarts(now)
		denied := u.denyLate(now)
		l.apply(denied)
		grants = append(grants, denied...)
		u.queue.forgetIdle(now)
	}
	grants = append(grants, l.dispatchAll(now)...)
	l.forgetIdle(now)
	return grants
}

// forgetIdle forgets the upstreams and pools without recent asks.
func (l *Ledger) forgetIdle(now clock.Millis) {
	maps.DeleteFunc(l.upstreams, func(_ namekey.Key, u *upstream) bool {
		return u.unused() && now-u.usedMs >= idleTTLMs
	})
	maps.DeleteFunc(l.pools, func(_ namekey.Key, p *pool) bool { return now-p.usedMs >= 2*idleTTLMs })
}

// DenyQueued denies the queued asks of all boxes but one, so that these go elsewhere when the owner shuts down, and
// returns the grants that are then due.
func (l *Ledger) DenyQueued(exceptBox string) []Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.monotonic()
	var grants []Grant
	for _, u := range l.inOrder() {
		// The last ones first, so that each is told a time that includes the asks ahead of it.
		for _, r := range slices.Backward(u.queue.all()) {
			if r.ask.ID.Box != exceptBox {
				grants = append(grants, u.denyQueued(r, now))
			}
		}
	}
	l.apply(grants)
	return append(grants, l.dispatchAll(now)...)
}

// inOrder returns the upstreams in the order of their keys, so that equal histories give equal grants.
func (l *Ledger) inOrder() []*upstream {
	all := make([]*upstream, 0, len(l.upstreams))
	for _, key := range slices.Sorted(maps.Keys(l.upstreams)) {
		all = append(all, l.upstreams[key])
	}
	return all
}

func (l *Ledger) remove(r *request, now clock.Millis) {
	delete(l.requests, r.ask.ID)
	r.upstream.remove(r, now)
}

func (l *Ledger) dispatchAll(now clock.Millis) []Grant {
	grants := []Grant{}
	for _, u := range l.inOrder() {
		grants = append(grants, l.dispatch(u, now)...)
	}
	return grants
}

func (l *Ledger) dispatch(u *upstream, now clock.Millis) []Grant {
	grants := u.dispatch(now)
	l.apply(grants)
	u.observe(now)
	return grants
}

// apply forgets the queued asks that were denied.
func (l *Ledger) apply(grants []Grant) {
	for _, g := range grants {
		if g.Answer.Verdict == Denied {
			delete(l.requests, g.ID)
		}
	}
}

// Sizes holds counts for metrics.
type Sizes struct {
	Upstreams int `json:"upstreams"`
	Permits   int `json:"permits"`
	Queued    int `json:"queued"`
	// Renewed counts how often a box told that a granted request still runs.
	Renewed int64 `json:"renewed"`
	// Unanswered counts asks beyond the bounds on upstreams and pools, and Evicted the organisations and sessions whose
	// usage was forgotten early.
	Unanswered int64 `json:"unanswered"`
	Evicted    int64 `json:"evicted"`
}

// Sizes returns counts for metrics.
func (l *Ledger) Sizes() Sizes {
	l.mu.Lock()
	defer l.mu.Unlock()
	sizes := Sizes{Upstreams: len(l.upstreams), Renewed: l.renewed, Unanswered: l.unanswered, Evicted: l.evicted}
	for _, r := range l.requests {
		if r.phase == waiting {
			sizes.Queued++
		} else {
			sizes.Permits++
		}
	}
	return sizes
}
