package balance

import (
	"errors"
	"math"
	"slices"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/prompt"
	"dooryard.example/dooryard/internal/route"
)

// ErrNoUpstream means that no upstream takes work of the pool.
var ErrNoUpstream = errors.New("no upstream takes this")

// Ask is what a choice depends on.
type Ask struct {
	Pool string
	// Sticky ranks engines by the prompt's session.
	Sticky bool
	Prompt prompt.Prompt
	// Tried are the IDs of the upstreams that are left out.
	Tried []string
	// Full are the IDs of engines that hold as much as they may, by their owners' word.
	Full []string
	// Transfers is set when an engine may fetch what another one keeps.
	Transfers bool
}

// Lease is a place on an upstream, counted until Release.
type Lease struct {
	*Member
	// Rank is the upstream's position in the order of preference, from 0.
	Rank int
	// Load is how many requests the upstream was thought to hold, before this one.
	Load int
	// Spread is over how many engines the session goes; 0 for requests without one.
	Spread int
	// MeanPercent is the pool's mean load then, in percent of a request.
	MeanPercent int
	// FetchFrom is the address of an engine to take cached parts from, or "".
	FetchFrom string
	// Reading is what the engine reads of the shared parts.
	Reading Reading
	// Passed is the engine that the session would have gone to.
	Passed Passed

	// news are the shared parts that the engine is to read and other boxes may not
	// know of.
	news    []namekey.Key
	manager *Manager
	path    *domain
	// shared are the shared parts of the prompt.
	shared []prompt.Keyed
	// bound is the largest load of an engine that has an owner, 0 for others.
	bound int
	// onRelease gives a place back to the engine's owner, if it is set.
	onRelease func()
	// answering is set while the answer comes.
	answering bool
	released  bool
}

// Result is how an attempt ended, for the upstream's health.
type Result int

// Results of an attempt.
const (
	// Neutral says nothing about the upstream.
	Neutral Result = iota
	// Succeeded is an answer that is no failure.
	Succeeded
	// Failed is an answer that blames the upstream.
	Failed
	// Broken is a connection that broke before the answer began.
	Broken
	// Unreachable is a connection that did not open.
	Unreachable
)

// Pick chooses an upstream and counts the request there.
func (m *Manager) Pick(a Ask) (*Lease, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.steady()
	members := m.candidates(a, now)
	if len(members) == 0 {
		return nil, m.noUpstream(a.Pool, now)
	}
	total := m.total(a.Pool, members, now)
	shared := a.Prompt.Shared().Keyed()
	lease := &Lease{manager: m, MeanPercent: percent * total / len(members)}
	if a.Sticky && len(a.Prompt) > 0 {
		m.pickSticky(lease, members, a, total, now)
		m.chooseSource(lease, a, shared, now)
		lease.Reading = m.reading(lease, a, shared, now)
		lease.Passed = m.passedOver(lease, a, now)
	} else {
		m.pickLeast(lease, members, now)
	}
	lease.path = m.pathTo(lease.FailureDomain)
	lease.Load = lease.load(now)
	lease.inFlight++
	lease.sent(now)
	lease.shared = shared
	if lease.bound == 0 {
		lease.notePrompt(now)
	}
	return lease, nil
}

const percent = 100

// candidates returns the members that may take the request. Ejections count only
// while enough members stay; members behind a path that is cut can't be reached at all, and
// those that want no request get none.
func (m *Manager) candidates(a Ask, now clock.Millis) []*Member {
	healthy, all := []*Member{}, []*Member{}
	for _, member := range m.pools[a.Pool] {
		if member.wantsNothing(now) || m.pathTo(member.FailureDomain).cut || slices.Contains(a.Tried, member.ID) {
			continue
		}
		all = append(all, member)
		if m.usable(member, now) {
			healthy = append(healthy, member)
		}
	}
	if (len(all)-len(healthy))*percent > len(all)*m.settings.PanicPercent {
		return all
	}
	return healthy
}

// pickSticky takes the first engine in the session's order that is under the
// bound, or else the least loaded one. A session that one engine has no room for begins with
// any of as many as it needs.
func (m *Manager) pickSticky(lease *Lease, members []*Member, a Ask, total int, now clock.Millis) {
	ranked := rank(a.Prompt.Session(), members)
	bound := m.bound(total, len(members))
	lease.Spread = spread(m.shareOf(a, now), total, len(members), bound)
	order := ranked
	if lease.Spread > 1 {
		order = startAt(ranked, m.random(lease.Spread), lease.Spread)
	}
	lease.Member = order[0]
	for _, member := range order {
		if slices.Contains(a.Full, member.ID) {
			continue
		}
		load := member.load(now)
		if load+1 <= bound {
			lease.Member = member
			break
		}
		if load < lease.load(now) {
			lease.Member = member
		}
	}
	lease.Rank = slices.Index(ranked, lease.Member)
	if m.running != nil {
		lease.bound = bound
	}
}

// shareOf counts a request, and returns its session's part of the pool's newest requests.
func (m *Manager) shareOf(a Ask, now clock.Millis) float64 {
	p := m.popular[a.Pool]
	if p == nil {
		p = newPopularity(now)
		m.popular[a.Pool] = p
	}
	if len(a.Full) == 0 {
		p.note(a.Prompt.Session(), now)
	}
	return p.share(a.Prompt.Session())
}

// bound is the largest load that an engine may reach: the set multiple of the
// mean with this request counted, rounded up, and a slack that matters while the mean
// is small.
func (m *Manager) bound(total, members int) int {
	bound := ((total+1)*m.settings.BoundPercent+members*percent-1)/(members*percent) + boundSlack
	return max(bound-m.unheard(bound), (total+members)/members)
}

// unheard is how much of a load may be unknown, as other boxes' words on theirs are old: the
// standard deviation of a count that is as large, if they are as old as requests usually take.
//
// Without it engines fill up unseen where boxes hear of each other each 1.25 s: on three days of
// clients that press, at 87 boxes, 4.2 to 4.7% of the requests of some 5 s went to engines over
// twice the mean, with it under 3% (three days each, no more than 3% allowed); worth there
// 0.873, 0.894, 0.889 before and 0.872, 0.891, 0.879 with it, as more prompts are read again. Six
// boxes hear of each other each 0.25 s and keep their bound as it was.
func (m *Manager) unheard(load int) int {
	if m.running != nil {
		// Owners count what boxes don't hear of each other.
		return 0
	}
	late := min(1, float64(m.othersAgeMs)/float64(reportLifeMs))
	return int(math.Sqrt(float64(load)) * late)
}

// boundSlack is how many requests an engine may hold above the multiple: one less
// than operators allow beside it, for what boxes don't know of each other yet.
const boundSlack = 2

// rank orders members for a session by rendezvous hashing.
func rank(session string, members []*Member) []*Member {
	hashes := make([]uint64, len(members))
	for i, member := range members {
		hashes[i] = member.hash
	}
	order := make([]*Member, len(members))
	for i, at := range route.Rank(route.Key(route.HashName(session)), hashes) {
		order[i] = members[at]
	}
	return order
}

// pickLeast takes the least loaded member, one of this failure domain first
// while it has slots to spare.
func (m *Manager) pickLeast(lease *Lease, members []*Member, now clock.Millis) {
	best, bestCost := 0, 0
	first := m.random(len(members))
	for i := range members {
		at := (first + i) % len(members)
		cost := m.cost(members[at], now)
		if i == 0 || cost < bestCost {
			best, bestCost = at, cost
		}
	}
	lease.Member = members[best]
}

// cost is a member's load in percent of its slots; a member of another failure
// domain costs a part of its slots more.
func (m *Manager) cost(member *Member, now clock.Millis) int {
	cost := percent * member.load(now) / max(1, member.Slots)
	if member.FailureDomain != m.settings.FailureDomain {
		cost += foreignPercent
	}
	return cost
}

// foreignPercent is how much fuller a member of this failure domain may be than
// one of another before the other one is taken.
const foreignPercent = 34

// Release gives the place back and judges the upstream. It may be called more
// than once; only the first call counts.
func (l *Lease) Release(result Result) {
	if l.release(result) && l.onRelease != nil {
		l.onRelease()
	}
}

// release returns whether the place was not given back before.
func (l *Lease) release(result Result) bool {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	if l.released {
		return false
	}
	l.released = true
	l.inFlight--
	delete(l.path.onCut, l)
	l.manager.returnsTo(l.Pool).ended(l.manager.steady())
	if l.answering {
		l.path.answering--
	}
	if result == Unreachable || result == Broken {
		l.forgetNews()
	}
	l.settleNews()
	l.manager.judge(l.Member, result)
	return true
}

// OnCut sets what is called once if the path to the upstream turns out to be cut before
// the lease ends.
func (l *Lease) OnCut(call func()) {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	l.path.onCut[l] = call
}

// Report takes in the upstream's own count of the requests it holds.
func (l *Lease) Report(holds int) {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	l.reported = holds
	l.ownThen = l.inFlight
	l.reportedMs = l.manager.steady()
}

// Heard notes that a part of the answer came: the path to the upstream is well.
func (l *Lease) Heard() { l.path.heard(l.manager.steady()) }

// Answered notes that the answer has begun.
func (l *Lease) Answered() {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	l.manager.answered(l.Member)
	l.tellNews()
	if !l.answering && !l.released {
		l.answering = true
		l.path.answering++
	}
}
