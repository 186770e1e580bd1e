// Package picker selects the upstream of a request, either by a policy that needs only this box's
// view or by asking the boxes that own the upstreams for a slot.
package picker

import (
	"context"
	"fmt"
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/grant"
	"dooryard.example/dooryard/internal/pool"
	"dooryard.example/dooryard/internal/route"
)

// refreshIntervalMs is the interval at which a box repeats its count of requests in flight to an
// owner. It is well below the time after which owners expire a count.
const refreshIntervalMs = 20 * clock.Second

// Picker selects upstreams by slots that their owners grant. It is safe for concurrent use.
type Picker struct {
	pools *pool.Manager
	agent *grant.Agent
	owner func(box string) grant.Owner
	now   func() clock.Millis

	mu      sync.Mutex
	reports map[grant.MemberID]report
}

// report describes the last count of requests in flight that was sent for a member.
type report struct {
	owner  string
	sentMs clock.Millis
}

// New returns a picker. The owner function returns the address of a box by its name.
func New(
	pools *pool.Manager, agent *grant.Agent, owner func(box string) grant.Owner, now func() clock.Millis,
) *Picker {
	return &Picker{pools: pools, agent: agent, owner: owner, now: now, reports: map[grant.MemberID]report{}}
}

// Request is the input of a selection.
type Request struct {
	Pool string
	Key  route.Key
	// FirstTurn is set for a new session, whose prefix can't be cached on any upstream.
	FirstTurn bool
	Tried     pool.Tried
}

// selection is the search of one request in progress.
type selection struct {
	p       *Picker
	request Request
	members map[grant.MemberID]pool.Member
	search  *grant.Search
	first   pool.Member
}

// Acquire takes a lease on an upstream. The error wraps route.ErrNoUpstream if no upstream accepts
// new work, and route.ErrSaturated if the search ends without a candidate.
func (p *Picker) Acquire(ctx context.Context, r Request) (*pool.Lease, error) {
	ranking, err := p.pools.Rank(r.Pool, r.Key, r.Tried)
	if err != nil {
		return nil, err
	}
	s := &selection{p: p, request: r, members: map[grant.MemberID]pool.Member{}, first: ranking.First}
	open := make([]grant.MemberID, 0, len(ranking.Open))
	s.members[ranking.First.MemberID] = ranking.First
	for _, member := range ranking.Open {
		s.members[member.MemberID] = member
		open = append(open, member.MemberID)
	}
	s.search = grant.NewSearch(ranking.First.MemberID, open, r.FirstTurn)
	return s.run(ctx)
}

func (s *selection) run(ctx context.Context) (*pool.Lease, error) {
	for {
		question, more := s.search.Next()
		if !more {
			return s.forceLeastLoaded()
		}
		lease, reply := s.ask(ctx, question)
		if s.search.HandleReply(question, reply) {
			s.notifyFirstOwner(question.MemberID)
			return lease, nil
		}
	}
}

// ask sends a question to a member's owner. The lease is nil unless the slot is granted. If the
// owner does not answer, the slot is granted if the upstream is within this box's share of the load
// bound.
func (s *selection) ask(ctx context.Context, q grant.Question) (*pool.Lease, grant.Reply) {
	member := s.members[q.MemberID]
	owner := s.p.owner(member.Owner)
	query := grant.Query{Question: q, Session: s.session(), First: q.MemberID == s.first.MemberID}
	if !q.WantSlot {
		// Without an answer, the session is treated as one without a cached prefix.
		reply, _ := s.p.agent.Ask(ctx, owner, query)
		return nil, reply
	}
	reserved, found := s.p.pools.Reserve(s.request.Pool, member.Name)
	if !found {
		return nil, grant.Reply{Excess: 1}
	}
	query.InFlight, query.Total = reserved.InFlight, reserved.Total
	reply, err := s.p.agent.Ask(ctx, owner, query)
	if err != nil {
		reply = grant.Reply{Granted: reserved.WithinLocalBound, Excess: 1}
	}
	if !reply.Granted {
		reserved.Lease.Release(pool.Neutral)
		return nil, reply
	}
	s.p.reportOnRelease(member, reserved.Lease)
	return reserved.Lease, reply
}

func (s *selection) session() grant.Session { return grant.Session(s.request.Key) }

// notifyFirstOwner informs the owner of the first choice which member the session was sent to.
func (s *selection) notifyFirstOwner(granted grant.MemberID) {
	if s.search.MustNotify(granted) {
		s.p.agent.NotifyPlacement(s.p.owner(s.first.Owner), s.session(), granted)
	}
}

// forceLeastLoaded takes the least loaded upstream that was asked when all are above the bound.
// Refusing would reject a request that an engine can still queue.
func (s *selection) forceLeastLoaded() (*pool.Lease, error) {
	memberID, found := s.search.LeastLoaded()
	if !found {
		return nil, fmt.Errorf("%w: %s", route.ErrSaturated, s.request.Pool)
	}
	member := s.members[memberID]
	reserved, found := s.p.pools.Reserve(s.request.Pool, member.Name)
	if !found {
		return nil, fmt.Errorf("%w: %s", route.ErrNoUpstream, s.request.Pool)
	}
	s.p.agent.ReportInFlight(s.p.owner(member.Owner), memberID, reserved.InFlight)
	s.p.reportOnRelease(member, reserved.Lease)
	return reserved.Lease, nil
}

// reportOnRelease records the count that the owner received for this lease, and sends the new count
// to the member's owner when the lease is released.
func (p *Picker) reportOnRelease(member pool.Member, lease *pool.Lease) {
	p.recordReport(member)
	lease.OnRelease(func(held int) {
		// The owner may have changed since the lease was taken.
		member.Owner = p.pools.Owner(member.MemberID)
		p.recordReport(member)
		p.agent.ReportInFlight(p.owner(member.Owner), member.MemberID, held)
	})
}

func (p *Picker) recordReport(member pool.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports[member.MemberID] = report{owner: member.Owner, sentMs: p.now()}
}

// Refresh reports this box's requests in flight to the owners: to a new owner immediately, to the
// others before they expire the previous report. Call it every second and after each change of the
// live boxes.
func (p *Picker) Refresh() {
	now := p.now()
	for _, inUse := range p.pools.InUse() {
		p.mu.Lock()
		last := p.reports[inUse.Member.MemberID]
		p.mu.Unlock()
		if last.owner == inUse.Member.Owner && now-last.sentMs < refreshIntervalMs {
			continue
		}
		p.recordReport(inUse.Member)
		p.agent.ReportInFlight(p.owner(inUse.Member.Owner), inUse.Member.MemberID, inUse.InFlight)
	}
	p.evictOldReports(now)
}

func (p *Picker) evictOldReports(now clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for memberID, last := range p.reports {
		if now-last.sentMs > 2*refreshIntervalMs {
			delete(p.reports, memberID)
		}
	}
}
