package pool

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"dooryard.example/dooryard/internal/grant"
	"dooryard.example/dooryard/internal/route"
	"dooryard.example/dooryard/internal/table"
)

// Member is an upstream in a pool, with the box that owns it. The owner counts the requests in
// flight on the upstream.
type Member struct {
	Name     string
	MemberID grant.MemberID
	// Owner is the name of the box that owns the member.
	Owner string
}

// entries returns the members of a pool with the IDs that they have on the wire and their owners.
// All boxes that see the same live boxes select the same owners.
func (m *Manager) entries(p *pool) []Member {
	hashes := make([]uint64, len(m.fleet.Boxes))
	for i, box := range m.fleet.Boxes {
		hashes[i] = route.HashName(box)
	}
	entries := make([]Member, len(p.members))
	for i, u := range p.members {
		hash := route.HashName(p.name + "/" + u.row.Name)
		entries[i] = Member{Name: u.row.Name, MemberID: grant.MemberID(hash)}
		if owner := route.First(route.Key(hash), hashes); owner >= 0 {
			entries[i].Owner = m.fleet.Boxes[owner]
		}
		m.poolPositions[entries[i].MemberID] = poolPosition{pool: p, position: i}
	}
	return entries
}

// Ranking holds the upstreams of a pool ordered by their rank for a key.
type Ranking struct {
	// First is the highest-ranked upstream, even if it doesn't accept new work at the moment.
	First Member
	// Open lists those of the maxRankedChoices highest-ranked upstreams that accept new work. If none
	// of them does, it lists all upstreams of the pool that do, in no rank order.
	Open []Member
}

// maxRankedChoices is the number of ranks that are considered for a request.
const maxRankedChoices = 6

// Rank returns the highest-ranked upstreams of a pool for a key. Open excludes those in tried. The
// error wraps route.ErrNoUpstream if no upstream accepts new work.
func (m *Manager) Rank(poolName string, key route.Key, tried Tried) (Ranking, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.pools[poolName]
	if p == nil {
		return Ranking{}, fmt.Errorf("%w: %s", route.ErrNoUpstream, poolName)
	}
	positions := [maxRankedChoices]int{}
	ranking := Ranking{Open: make([]Member, 0, len(positions))}
	excluded := p.positions(tried)
	for i, position := range p.view.Ranked(key, positions[:0]) {
		if i == 0 {
			ranking.First = p.entries[position]
		}
		if p.view.Usable(position, excluded) {
			ranking.Open = append(ranking.Open, p.entries[position])
		}
	}
	if len(ranking.Open) == 0 {
		return ranking, m.addAllOpen(p, excluded, &ranking)
	}
	return ranking, nil
}

// addAllOpen adds all upstreams of the pool that accept new work to a ranking whose first ranks
// accept none.
func (m *Manager) addAllOpen(p *pool, excluded route.Tried, ranking *Ranking) error {
	for position := range p.members {
		if p.view.Usable(position, excluded) {
			ranking.Open = append(ranking.Open, p.entries[position])
		}
	}
	if len(ranking.Open) == 0 {
		return fmt.Errorf("%w: %s", route.ErrNoUpstream, p.name)
	}
	return nil
}

// Reservation is a lease that is already counted, with the resulting load of this box.
type Reservation struct {
	Lease *Lease
	// InFlight is the number of requests that this box has on the upstream for this pool.
	InFlight int
	// Total is the number of requests that this box has on the whole pool.
	Total int
	// WithinLocalBound reports whether this lease keeps the upstream within this box's share of the
	// load bound.
	WithinLocalBound bool
}

// Reserve returns a lease on the upstream with the given name. It returns false if the upstream is
// no longer in the pool.
func (m *Manager) Reserve(poolName, name string) (Reservation, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.pools[poolName]
	if p == nil {
		return Reservation{}, false
	}
	index := p.position(name)
	if index < 0 {
		return Reservation{}, false
	}
	within := p.view.WithinLocalBound(index)
	lease := m.lease(p, index)
	return Reservation{
		Lease: lease, InFlight: p.view.Members[index].InFlight, Total: p.view.Total(), WithinLocalBound: within,
	}, true
}

// OnRelease sets a function that is called when the lease is released, with the number of
// requests that this box still has on the upstream.
func (l *Lease) OnRelease(onRelease func(inFlight int)) { l.onRelease = onRelease }

// MemberState returns the state of a member of a pool, as its owner needs it.
func (m *Manager) MemberState(memberID grant.MemberID) (grant.MemberState, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	found, known := m.poolPositions[memberID]
	if !known {
		return grant.MemberState{}, false
	}
	view := found.pool.view
	return grant.MemberState{
		Pool: found.pool.id, WeightFraction: view.WeightFraction(found.position), Boxes: view.Boxes(),
		BoundPercent: view.BoundPercent, Slots: view.Members[found.position].Slots,
		Unavailable: found.closed(),
	}, true
}

// Owned returns the engines of the table that this box owns in at least one pool.
func (m *Manager) Owned() []*table.Upstream {
	m.mu.Lock()
	defer m.mu.Unlock()
	owned := map[string]*table.Upstream{}
	for _, p := range m.pools {
		for position, member := range p.entries {
			if row := p.members[position].row; member.Owner == m.box && row.Kind == table.KindEngine {
				owned[row.Name] = row
			}
		}
	}
	return slices.SortedFunc(maps.Values(owned), func(a, b *table.Upstream) int {
		return strings.Compare(a.Name, b.Name)
	})
}

// Owner returns the name of the box that currently owns a member, or "" if there is none.
func (m *Manager) Owner(memberID grant.MemberID) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if found, known := m.poolPositions[memberID]; known {
		return found.pool.entries[found.position].Owner
	}
	return ""
}

// Usage is the load of this box on one member.
type Usage struct {
	Member   Member
	InFlight int
}

// InUse returns the members on which this box has requests in flight.
func (m *Manager) InUse() []Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	usages := []Usage{}
	for _, p := range m.pools {
		for position, member := range p.entries {
			if held := p.view.Members[position].InFlight; held > 0 {
				usages = append(usages, Usage{Member: member, InFlight: held})
			}
		}
	}
	return usages
}
