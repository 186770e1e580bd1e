package balance

import (
	"cmp"
	"errors"
	"slices"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/pace"
	"dooryard.example/dooryard/internal/prompt"
	"dooryard.example/dooryard/internal/route"
)

// ErrNoUpstream means that no upstream of the pool accepts the request.
var ErrNoUpstream = errors.New("no upstream accepts the request")

// PickRequest holds the inputs of a choice.
type PickRequest struct {
	Pool string
	// Sticky ranks engines by the prompt's session.
	Sticky bool
	Prompt prompt.Prompt
	// Version limits the choice to upstreams that run this software version, because they continue a stream. If it is
	// nil, all versions are eligible.
	Version *string
	// Tried are the IDs of the upstreams to exclude.
	Tried []string
	// Full are the IDs of engines whose owners refused a permit because the engine has reached its
	// bound.
	Full []string
	// Transfers is set if an engine may fetch cached parts from another one.
	Transfers bool
	// ObjectiveMs is the latency objective, or 0. ElapsedMs is the time since the request arrived.
	ObjectiveMs clock.Millis
	ElapsedMs   clock.Millis
	// MayRetry is set if another attempt may follow when this one gets no response.
	MayRetry bool
	// Admission is set if the owner of an engine must admit the prompt. It has no effect in Pick.
	Admission *AdmissionRequest

	// sessionCounted is set if an earlier choice for the request was counted in the recent requests of its session.
	sessionCounted bool
}

// Lease counts a request at an upstream until Release.
type Lease struct {
	*Member
	// Rank is the upstream's position in the session's order of preference, from 0.
	Rank int
	// Load is the estimated number of requests at the upstream before this one.
	Load int
	// Spread is the number of engines over which the session is spread, or 0 for requests that don't
	// belong to a session.
	Spread int
	// MeanPercent is the mean number of requests per candidate upstream at the time of the pick, times
	// 100.
	MeanPercent int
	// FetchFrom is the address of the engine to fetch cached parts from, or "".
	FetchFrom string
	// Prefill is the portion of the shared parts that the engine is expected to prefill.
	Prefill Prefill
	// Skipped is the engine that ranks first for the session, if it was skipped.
	Skipped Skipped
	// FromReserve is set if the engine is in an evacuated failure domain, because the others can't hold the load.
	FromReserve bool
	// Permit is how the request was counted against the load bound.
	Permit Permit

	// passedSlow is set if another upstream would have been chosen but for its pace.
	passedSlow bool
	// prefillTokens is the number of tokens that the engine is expected to prefill.
	prefillTokens int
	// ahead is the number of this box's requests that the engine was to prefill before this one when it was sent, and
	// aheadTokens their tokens. isUnanswered is set from then on until the request gets a response or ends.
	ahead, aheadTokens int
	isUnanswered       bool
	// expected is what the time to the first byte is expected from, to tell whether the request is overdue.
	expected pace.Unanswered
	// number identifies the request among those that were sent.
	number uint64
	gaps   gapSamples
	// newParts are the shared parts that the engine is to prefill and other boxes may not know of.
	newParts []namekey.Key
	manager  *Manager
	path     *netPath
	// shared are the shared parts of the prompt.
	shared []prompt.KeyedPart
	// bound is the maximum load of an upstream whose owner must grant a permit, or 0 for others.
	bound int
	// ownBound is the maximum load as this box estimates it. It counts while no owner has a complete count.
	ownBound int
	// strict is set if a request that gets no permit must not be sent.
	strict bool
	// withinMs is the time within which the response should start, if the owner must be asked whether this is
	// likely, or 0. The bound is then the number of the upstream's slots.
	withinMs clock.Millis
	// onRelease returns the permit to the engine's owner; nil if there is none.
	onRelease func(served bool)
	// countedMs is when the request was counted at the upstream, before a connection was opened for it.
	countedMs clock.Millis
	// sentMs is when the request was sent, or 0.
	sentMs clock.Millis
	// responding is set while the response is being received.
	responding bool
	released   bool
	// stalledTrial is set for the trial request of a stalled pool.
	stalledTrial bool
	// admitted is set if the engine's owner, or this box in its place, has admitted the prompt.
	admitted *admitted
}

// Result is the outcome of an attempt, for the upstream's health.
type Result int

// Outcomes of an attempt.
const (
	// Neutral says nothing about the upstream's health.
	Neutral Result = iota
	// Succeeded is a response that is not a failure.
	Succeeded
	// Failed is a response that shows a fault of the upstream.
	Failed
	// Broken is a connection that broke before the response started.
	Broken
	// Unreachable is a connection that could not be opened.
	Unreachable
	// Replaced is a response by another incarnation, which now has the upstream's address.
	Replaced
	// Rejected is a rejection for want of room by a brittle upstream.
	Rejected
)

// Pick chooses an upstream and counts the request there. The error is ErrPartitioned if there is none and
// another box may reach one that this box can't.
func (m *Manager) Pick(request PickRequest) (*Lease, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.monotonic()
	lease, err := m.choose(request, now)
	if err != nil {
		return nil, err
	}
	lease.count(now)
	if lease.bound == 0 {
		lease.recordPrompt(now)
	}
	return lease, nil
}

// choose chooses an upstream and does not count the request there.
func (m *Manager) choose(request PickRequest, now clock.Millis) (*Lease, error) {
	members, err := m.candidatesOrError(request, now)
	if err != nil {
		return nil, err
	}
	m.findOverdue(request.Pool, now)
	total := m.total(request.Pool, members, now)
	shared := request.Prompt.Shared().KeyedParts()
	lease := &Lease{manager: m, MeanPercent: percent * total / len(members), shared: shared}
	_, lease.stalledTrial = m.stalledSinceMs[request.Pool]
	brittle := m.maxRejections(request.Pool, now) > 0
	if brittle {
		if err := m.pickBrittle(lease, members, request, total, now); err != nil {
			return nil, err
		}
	}
	if request.Sticky && len(request.Prompt) > 0 {
		if !brittle {
			m.pickSticky(lease, members, request, total, now)
		}
		m.chooseFetchSource(lease, request, shared, now)
		lease.Prefill = m.estimatePrefill(lease, request, shared, now)
		lease.Skipped = m.skippedEngine(lease, request, now)
		lease.prefillTokens = ownTokens(request.Prompt) + lease.Prefill.Tokens
	} else if !brittle {
		if err := m.pickPlain(lease, members, request, now); err != nil {
			return nil, err
		}
	}
	lease.path = m.pathTo(lease.FailureDomain)
	lease.Load = lease.load(now)
	return lease, nil
}

// count counts the request at the chosen upstream, to which it is about to be sent.
func (l *Lease) count(now clock.Millis) {
	l.Load = l.load(now)
	if l.inFlight == 0 {
		l.inFlightSinceMs = now
	}
	l.inFlight++
	l.path.recordSend(now)
	l.recordTrial(now)
	l.manager.recordColdSend(l.Member, now)
}

// recordTrial records that the request may serve as a trial request.
func (l *Lease) recordTrial(now clock.Millis) {
	l.recordSend(now)
	l.countedMs = now
}

const percent = 100

// candidatesOrError returns the members that may receive the request, or the reason why there are none.
func (m *Manager) candidatesOrError(request PickRequest, now clock.Millis) ([]*Member, error) {
	eligible := m.members(request)
	switch {
	case versionGone(request, eligible):
		return nil, ErrVersionGone
	case m.unreachable(eligible, now) && !m.takeStalledTrial(request, eligible, now):
		return nil, ErrPartitioned
	}
	members := m.candidates(request, eligible, now)
	if request.Version != nil {
		members = lessDoubtful(m.certain(members))
	}
	if len(members) == 0 {
		return nil, m.noUpstreamError(eligible, now)
	}
	return members, nil
}

// HasCandidate reports whether an upstream may receive the request now.
func (m *Manager) HasCandidate(request PickRequest) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	candidates := m.candidates(request, m.members(request), m.monotonic())
	if request.Version != nil {
		candidates = m.certain(candidates)
	}
	return len(candidates) > 0
}

// candidates returns the eligible members that may receive the request. It first excludes members that were
// tried, are behind a partitioned path, are draining, evacuated or backing off, are cold and may get no
// request from this box now, are brittle and rejected one, or are replaced. Of the others it also excludes
// those that are ejected or were sent a trial request recently, unless these are more than PanicPercent
// of the others.
func (m *Manager) candidates(request PickRequest, eligible []*Member, now clock.Millis) []*Member {
	healthy, all := []*Member{}, []*Member{}
	for _, member := range eligible {
		if member.unavailable(now) || m.pathTo(member.FailureDomain).partitioned ||
			slices.Contains(request.Tried, member.ID) || m.coldDelayMs(member, now) > 0 || now < member.rejectedUntilMs ||
			now < member.replacedUntilMs {
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

// pickSticky chooses the first engine in the session's order that is below the bound, or else the
// least loaded one. It passes over engines in request.Full, except that the first engine in the order
// is chosen if no other one is below the bound or less loaded than it. If a session needs the capacity
// of several engines (lease.Spread), the search starts at a random one of that many first engines. After owners of
// maxPermitRefusals engines have refused the request, the search goes on among engines with a low load.
//
// If an owner decides on the engine next, only the requests of this box count here: its estimate of the
// load is older than the owner's count, and would move sessions away from engines that have room.
//
// It returns the bound as this box estimates it.
func (m *Manager) pickSticky(
	lease *Lease, members []*Member, request PickRequest, total int, now clock.Millis,
) (ownBound int) {
	load := poolLoad{
		candidates: len(members), running: m.withoutEnded(request.Pool, total, now),
		excluded: m.excluded(request.Pool, now),
	}
	ranked := rank(request.Prompt.Session(), members)
	if !m.canHold(load) {
		reserve := m.reserve(request, now)
		load = load.withReserve(len(reserve), m.total(request.Pool, reserve, now))
		ranked = withReserve(ranked, rank(request.Prompt.Session(), reserve))
	}
	bound := m.bound(load)
	// Owners count the load that boxes don't report to each other.
	ownBound = m.withoutUnreported(bound, load)
	if !m.enginePermits {
		bound = ownBound
	}
	lease.Spread = spreadWidth(m.sessionShare(request, now), load.running, load.candidates, bound)
	order := m.slowLast(lease, m.searchOrder(ranked, lease.Spread, request, now), request, now)
	lease.Member = order[0]
	for _, member := range order {
		if slices.Contains(request.Full, member.ID) {
			continue
		}
		memberLoad := member.load(now)
		if memberLoad+1 <= bound || m.ownerDecides(request) && member.inFlight < bound {
			lease.Member = member
			break
		}
		if memberLoad < lease.load(now) {
			lease.Member = member
		}
	}
	lease.Rank = slices.Index(ranked, lease.Member)
	lease.FromReserve = lease.evacuated
	if m.enginePermits {
		lease.bound, lease.ownBound = bound, ownBound
	}
	return ownBound
}

// searchOrder returns the order in which engines are considered, from their rank for the session.
func (m *Manager) searchOrder(ranked []*Member, spread int, request PickRequest, now clock.Millis) []*Member {
	order := ranked
	if spread > 1 {
		order = rotateFirst(ranked, m.random(spread), spread)
	}
	switch {
	case m.enginePermits && len(request.Full) >= maxPermitRefusals:
		return m.leastLoadedFirst(order, now)
	case request.Admission != nil && len(request.Full) > 0:
		return m.holdersFirst(order, request, now)
	}
	return order
}

// leastLoadedFirst orders engines by their load as this box estimates it, but those of the lower half at random: boxes
// have similar estimates, which are a second old, and would all choose the same engine.
func (m *Manager) leastLoadedFirst(order []*Member, now clock.Millis) []*Member {
	loads := make(map[*Member]int, len(order))
	for _, member := range order {
		loads[member] = member.load(now)
	}
	order = slices.SortedStableFunc(slices.Values(rotateFirst(order, m.random(len(order)), len(order))),
		func(a, b *Member) int { return cmp.Compare(loads[a], loads[b]) })
	half := (len(order) + 1) / 2 //nolint:mnd // Half.
	for i := range half {
		j := i + m.random(half-i)
		order[i], order[j] = order[j], order[i]
	}
	return order
}

// ownerDecides reports whether the owner of the engine decides if it has room for the request. In a fleet so large that
// boxes don't report their loads by engine, the estimate consists of what engines report in responses, which is recent,
// and saves requests for permits.
func (m *Manager) ownerDecides(request PickRequest) bool {
	return m.enginePermits && m.fleetInFlightByPool == nil && len(request.Full) < maxPermitRefusals &&
		!request.forced()
}

// sessionShare returns the session's share of the pool's recent requests. It counts the request,
// unless this is a further pick after an owner refused a permit.
func (m *Manager) sessionShare(request PickRequest, now clock.Millis) float64 {
	h := m.hotSessions[request.Pool]
	if h == nil {
		h = newSessionCounts(now)
		m.hotSessions[request.Pool] = h
	}
	if len(request.Full) == 0 && !request.sessionCounted {
		h.record(request.Prompt.Session(), now)
	}
	return h.share(request.Prompt.Session())
}

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

// pickLeastLoaded chooses the member with the lowest cost, which favors this failure domain. Among
// members with the same cost it chooses the first one at or after a random position, wrapping around.
func (m *Manager) pickLeastLoaded(lease *Lease, members []*Member, now clock.Millis) {
	first := m.random(len(members))
	lease.Member = leastCost(members, first, now, m.cost)
	if m.paceApplies(members, now) {
		usual := leastCost(members, first, now, m.pacedCost)
		lease.passedSlow = usual != lease.Member && lease.pace.Slow(now)
		lease.Member = usual
	}
}

func leastCost(members []*Member, first int, now clock.Millis, cost func(*Member, clock.Millis) int) *Member {
	best, bestCost := 0, 0
	for i := range members {
		at := (first + i) % len(members)
		c := cost(members[at], now)
		if i == 0 || c < bestCost {
			best, bestCost = at, c
		}
	}
	return members[best]
}

// cost returns a member's load in percent of its slots, plus a surcharge for members of another
// failure domain.
func (m *Manager) cost(member *Member, now clock.Millis) int {
	cost := percent * member.load(now) / max(1, member.slots)
	if member.FailureDomain != m.settings.FailureDomain {
		cost += crossDomainPercent
	}
	return cost
}

// crossDomainPercent is by how many percentage points the load of a member of this failure domain may
// exceed that of a member of another domain before the other one is chosen.
const crossDomainPercent = 34

// Release stops counting the request and updates the upstream's health. It may be called more than
// once; only the first call has an effect.
func (l *Lease) Release(result Result) {
	if l.release(result) && l.onRelease != nil {
		l.onRelease(result == Succeeded)
	}
}

// release ends the lease and reports whether this was the first call.
func (l *Lease) release(result Result) bool {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	if l.released {
		return false
	}
	l.released = true
	l.inFlight--
	l.endUnanswered()
	l.path.recordEnd()
	delete(l.path.onPartition, l)
	l.manager.retryScheduleFor(l.Pool).recordCompletion(l.manager.monotonic())
	if l.responding {
		l.path.responding--
	}
	if result == Unreachable || result == Replaced || result == Broken {
		l.discardNewParts()
	}
	l.clearNewParts()
	l.endPrefill(false)
	l.manager.recordResult(l.Member, result)
	return true
}

// OnPartition sets a callback that is called once if the path to the upstream becomes partitioned
// before the lease ends.
func (l *Lease) OnPartition(callback func()) {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	l.path.onPartition[l] = callback
}

// RecordLoad records the upstream's own count of the requests it holds.
func (l *Lease) RecordLoad(count int) {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	l.reportedLoad = count
	l.inFlightAtReport = l.inFlight
	l.reportedMs = l.manager.monotonic()
}

// RecordContact records that a part of the response arrived, which shows that the path to the upstream
// works.
func (l *Lease) RecordContact() {
	now := l.manager.monotonic()
	l.lastResponseMs.Store(int64(now))
	l.path.recordResponse(now)
	l.recordGaps(now)
}

// RecordResponseStart records that the response has started.
func (l *Lease) RecordResponseStart() {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	l.manager.recordResponseStart(l.Member, l.countedMs)
	l.recordFirstByte(l.manager.monotonic())
	l.announceParts()
	if !l.responding && !l.released {
		l.responding = true
		l.path.responding++
	}
}
