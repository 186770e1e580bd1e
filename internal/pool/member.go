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

// Member is one upstream in one pool, with the box that counts what runs there.
type Member struct {
	Name  string
	Place grant.Place
	// Owner is the name of the box that owns the place.
	Owner string
}

// entries names a pool's members on the wire and picks their owners: each box that
// sees the same live boxes picks the same.
func (m *Manager) entries(p *pool) []Member {
	hashes := make([]uint64, len(m.fleet.Boxes))
	for i, box := range m.fleet.Boxes {
		hashes[i] = route.HashName(box)
	}
	entries := make([]Member, len(p.members))
	for i, u := range p.members {
		hash := route.HashName(p.name + "/" + u.row.Name)
		entries[i] = Member{Name: u.row.Name, Place: grant.Place(hash)}
		if first := route.First(route.Key(hash), hashes); first >= 0 {
			entries[i].Owner = m.fleet.Boxes[first]
		}
		m.places[entries[i].Place] = place{pool: p, position: i}
	}
	return entries
}

// Ranking is a pool's upstreams in the order of their rank for a key.
type Ranking struct {
	// First is the first choice, even if it takes nothing now.
	First Member
	// Open are the first ranks that take new work.
	Open []Member
}

// rankedChoices is how many of the first ranks a request may ask for.
const rankedChoices = 6

// Rank returns a pool's first ranks for a key, without those that were tried.
// It wraps route.ErrNoUpstream when none takes new work.
func (m *Manager) Rank(poolName string, key route.Key, tried Tried) (Ranking, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.pools[poolName]
	if p == nil {
		return Ranking{}, fmt.Errorf("%w: %s", route.ErrNoUpstream, poolName)
	}
	positions := [rankedChoices]int{}
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
		return ranking, m.anyOpen(p, excluded, &ranking)
	}
	return ranking, nil
}

// anyOpen fills a ranking whose first ranks are all closed.
func (m *Manager) anyOpen(p *pool, excluded route.Tried, ranking *Ranking) error {
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

// Reservation is a lease that counts already, with what this box then runs.
type Reservation struct {
	Lease *Lease
	// Held is what this box has on the upstream for this pool.
	Held int
	// Total is what it has on the whole pool.
	Total int
	// WithinOwnBound reports whether this box's part of the load bound holds.
	WithinOwnBound bool
}

// Reserve takes a lease on an upstream by name. It returns false when the
// upstream is gone from the pool.
func (m *Manager) Reserve(poolName, name string) (Reservation, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.pools[poolName]
	if p == nil {
		return Reservation{}, false
	}
	at := p.position(name)
	if at < 0 {
		return Reservation{}, false
	}
	within := p.view.WithinOwnBound(at)
	lease := m.lease(p, at)
	return Reservation{
		Lease: lease, Held: p.view.Members[at].InFlight, Total: p.view.Total(), WithinOwnBound: within,
	}, true
}

// AfterRelease has a function called when the lease is given back, with what
// this box still has on the upstream.
func (l *Lease) AfterRelease(after func(held int)) { l.after = after }

// Standing returns how a place stands in its pool, for its owner.
func (m *Manager) Standing(wanted grant.Place) (grant.Standing, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	found, known := m.places[wanted]
	if !known {
		return grant.Standing{}, false
	}
	view := found.pool.view
	return grant.Standing{
		Pool: found.pool.id, Part: view.Part(found.position), Boxes: view.Boxes(),
		BoundPercent: view.BoundPercent, Slots: view.Members[found.position].Slots,
		Closed: found.closed(),
	}, true
}

// Owned returns the engines in the table that this box owns in any pool.
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

// Owner returns the box that owns a place now, or "".
func (m *Manager) Owner(wanted grant.Place) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if found, known := m.places[wanted]; known {
		return found.pool.entries[found.position].Owner
	}
	return ""
}

// Use is what this box runs on one member.
type Use struct {
	Member Member
	Held   int
}

// InUse returns the entries on which this box runs anything.
func (m *Manager) InUse() []Use {
	m.mu.Lock()
	defer m.mu.Unlock()
	uses := []Use{}
	for _, p := range m.pools {
		for position, member := range p.entries {
			if held := p.view.Members[position].InFlight; held > 0 {
				uses = append(uses, Use{Member: member, Held: held})
			}
		}
	}
	return uses
}
