// Package picker chooses the upstream of a request: by a policy that needs only
// this box's view, or by asking the boxes that own the upstreams for a slot.
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

// tellAgainMs is when a box tells an owner again what it runs there, well inside
// the time for which owners believe it.
const tellAgainMs = 20 * clock.Second

// Picker picks upstreams by grants. It is safe for concurrent use.
type Picker struct {
	pools *pool.Manager
	agent *grant.Agent
	owner func(box string) grant.Owner
	now   func() clock.Millis

	mu   sync.Mutex
	told map[grant.Place]telling
}

// telling is what an owner was told last.
type telling struct {
	owner string
	atMs  clock.Millis
}

// New returns a picker. Owner returns how a box is reached by its name.
func New(
	pools *pool.Manager, agent *grant.Agent, owner func(box string) grant.Owner, now func() clock.Millis,
) *Picker {
	return &Picker{pools: pools, agent: agent, owner: owner, now: now, told: map[grant.Place]telling{}}
}

// Request is what a pick depends on.
type Request struct {
	Pool string
	Key  route.Key
	// Fresh is set for a session that can't be warm anywhere.
	Fresh bool
	Tried pool.Tried
}

// pick is one request's search in progress.
type pick struct {
	p       *Picker
	request Request
	members map[grant.Place]pool.Member
	search  *grant.Search
	first   pool.Member
}

// Acquire takes a lease on an upstream. It wraps route.ErrNoUpstream when none
// takes new work.
func (p *Picker) Acquire(ctx context.Context, r Request) (*pool.Lease, error) {
	ranking, err := p.pools.Rank(r.Pool, r.Key, r.Tried)
	if err != nil {
		return nil, err
	}
	k := &pick{p: p, request: r, members: map[grant.Place]pool.Member{}, first: ranking.First}
	open := make([]grant.Place, 0, len(ranking.Open))
	k.members[ranking.First.Place] = ranking.First
	for _, member := range ranking.Open {
		k.members[member.Place] = member
		open = append(open, member.Place)
	}
	k.search = grant.NewSearch(ranking.First.Place, open, r.Fresh)
	return k.run(ctx)
}

func (k *pick) run(ctx context.Context) (*pool.Lease, error) {
	for {
		question, more := k.search.Next()
		if !more {
			return k.force()
		}
		lease, reply := k.ask(ctx, question)
		if k.search.Hear(question, reply) {
			k.tellFirst(question.Place)
			return lease, nil
		}
	}
}

// ask puts a question to a place's owner. The lease is nil unless the place is
// granted. Where the owner gives no answer this box's own part of the bound
// decides.
func (k *pick) ask(ctx context.Context, q grant.Question) (*pool.Lease, grant.Reply) {
	member := k.members[q.Place]
	owner := k.p.owner(member.Owner)
	asking := grant.Asking{Question: q, Session: k.session(), First: q.Place == k.first.Place}
	if !q.Want {
		// Without an answer the session is taken for one without a home.
		reply, _ := k.p.agent.Ask(ctx, owner, asking)
		return nil, reply
	}
	reserved, found := k.p.pools.Reserve(k.request.Pool, member.Name)
	if !found {
		return nil, grant.Reply{Over: 1}
	}
	asking.Held, asking.Total = reserved.Held, reserved.Total
	reply, err := k.p.agent.Ask(ctx, owner, asking)
	if err != nil {
		reply = grant.Reply{Granted: reserved.WithinOwnBound, Over: 1}
	}
	if !reply.Granted {
		reserved.Lease.Release(pool.Neutral)
		return nil, reply
	}
	k.p.keepTold(member, reserved.Lease)
	return reserved.Lease, reply
}

func (k *pick) session() grant.Session { return grant.Session(k.request.Key) }

// tellFirst lets the owner of the first choice know where the session went.
func (k *pick) tellFirst(granted grant.Place) {
	if k.search.News(granted) {
		k.p.agent.News(k.p.owner(k.first.Owner), k.session(), granted)
	}
}

// force takes the least loaded of those that were asked when all are above the
// bound: refusing would lose a request that an engine can still queue.
func (k *pick) force() (*pool.Lease, error) {
	place, found := k.search.Least()
	if !found {
		return nil, fmt.Errorf("%w: %s", route.ErrSaturated, k.request.Pool)
	}
	member := k.members[place]
	reserved, found := k.p.pools.Reserve(k.request.Pool, member.Name)
	if !found {
		return nil, fmt.Errorf("%w: %s", route.ErrNoUpstream, k.request.Pool)
	}
	k.p.agent.Hold(k.p.owner(member.Owner), place, reserved.Held)
	k.p.keepTold(member, reserved.Lease)
	return reserved.Lease, nil
}

// keepTold lets the place's owner hear of the lease's end.
func (p *Picker) keepTold(member pool.Member, lease *pool.Lease) {
	p.remember(member)
	lease.AfterRelease(func(held int) {
		// The owner may have changed since.
		member.Owner = p.pools.Owner(member.Place)
		p.remember(member)
		p.agent.Hold(p.owner(member.Owner), member.Place, held)
	})
}

func (p *Picker) remember(member pool.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.told[member.Place] = telling{owner: member.Owner, atMs: p.now()}
}

// Refresh tells owners what this box runs on their places: new owners at once,
// the others before they forget it. Call it each second and when the live boxes
// change.
func (p *Picker) Refresh() {
	now := p.now()
	for _, use := range p.pools.InUse() {
		p.mu.Lock()
		last := p.told[use.Member.Place]
		p.mu.Unlock()
		if last.owner == use.Member.Owner && now-last.atMs < tellAgainMs {
			continue
		}
		p.remember(use.Member)
		p.agent.Hold(p.owner(use.Member.Owner), use.Member.Place, use.Held)
	}
	p.forgetOld(now)
}

func (p *Picker) forgetOld(now clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for place, last := range p.told {
		if now-last.atMs > 2*tellAgainMs {
			delete(p.told, place)
		}
	}
}
