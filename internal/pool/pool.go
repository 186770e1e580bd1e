// Package pool manages the upstreams of this failure domain as seen by this box. There is one pool
// per model or service. It counts the requests that this box has in flight on each upstream.
package pool

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/grant"
	"dooryard.example/dooryard/internal/health"
	"dooryard.example/dooryard/internal/limit"
	"dooryard.example/dooryard/internal/route"
	"dooryard.example/dooryard/internal/table"
)

// Settings configure a Manager.
type Settings struct {
	Policy       route.Policy
	BoundPercent int
	SlowStartMs  clock.Millis
	PanicPercent int
	Health       health.Limits
}

// Fleet is the part of the membership state that pools depend on.
type Fleet struct {
	// Boxes lists the live boxes of this failure domain, including this one.
	Boxes []string
	// Draining holds the names of upstreams that are about to shut down according to the membership
	// state. The draining column of a row in the table and an engine's own report are separate
	// sources.
	Draining map[string]bool
}

// Result is the outcome of an attempt on an upstream with regard to the upstream's health.
type Result int

// Results of an attempt.
const (
	// Neutral doesn't affect the upstream's health.
	Neutral Result = iota
	Succeeded
	Failed
	// Unreachable means that no connection could be opened.
	Unreachable
)

// upstream is the state of an upstream. It is shared by all pools that contain the upstream.
type upstream struct {
	row           *table.Upstream
	joinedMs      clock.Millis
	health        health.Health
	used          int
	reported      int
	poolPositions []poolPosition
	// draining and models are the upstream's last report about itself. models is nil before the first
	// report.
	draining bool
	models   []string
}

// poolPosition is a position in the view of a pool.
type poolPosition struct {
	pool     *pool
	position int
}

// closed reports whether the upstream accepts no new work of the pool, because its own report or its
// row says that it is draining, or it no longer has the pool's model loaded.
func (p poolPosition) closed() bool {
	u := p.pool.members[p.position]
	if u.draining || u.row.Draining {
		return true
	}
	_, target, _ := strings.Cut(p.pool.name, "/")
	return u.models != nil && !slices.Contains(u.models, target)
}

type pool struct {
	name     string
	id       uint32
	view     *route.View
	members  []*upstream
	entries  []Member
	inFlight map[string]int
}

// Manager manages all pools of a box. It is safe for concurrent use.
type Manager struct {
	settings Settings
	domain   string
	box      string
	now      func() clock.Millis

	mu            sync.Mutex
	upstreams     map[string]*upstream
	pools         map[string]*pool
	poolPositions map[grant.MemberID]poolPosition
	slots         limit.Slots
	fleet         Fleet
	state         *table.State
	started       bool
}

// New returns a manager without upstreams.
func New(settings Settings, domain, box string, now func() clock.Millis) *Manager {
	return &Manager{
		settings: settings, domain: domain, box: box, now: now,
		upstreams: map[string]*upstream{}, pools: map[string]*pool{},
		slots: limit.Slots{Boxes: 1}, fleet: Fleet{Boxes: []string{box}}, state: table.New(),
	}
}

// Name returns the name of the pool for a target of a kind.
func Name(kind, target string) string { return kind + "/" + target }

// SetTable applies a newer table.
func (m *Manager) SetTable(state *table.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state
	m.rebuild()
}

// SetFleet applies a newer state of the membership.
func (m *Manager) SetFleet(fleet Fleet) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleet = fleet
	m.rebuild()
}

// rebuild rebuilds all pools. Counts and health are carried over by name.
func (m *Manager) rebuild() {
	now := m.now()
	counts := map[string]map[string]int{}
	for name, p := range m.pools {
		counts[name] = p.counts()
	}
	members := m.collect(now)
	m.pools = map[string]*pool{}
	m.poolPositions = map[grant.MemberID]poolPosition{}
	for name, list := range members {
		m.pools[name] = m.newPool(name, list, counts[name])
	}
	m.started = m.started || len(m.upstreams) > 0
}

func (p *pool) counts() map[string]int {
	counts := p.inFlight
	for i := range p.view.Members {
		counts[p.members[i].row.Name] = p.view.Members[i].InFlight
	}
	return counts
}

// collect updates the upstreams from the table and returns them by pool.
func (m *Manager) collect(now clock.Millis) map[string][]*upstream {
	current := map[string]*upstream{}
	byPool := map[string][]*upstream{}
	for _, row := range m.state.Upstreams() {
		if row.FailureDomain != m.domain {
			continue
		}
		u := m.upsert(row, now)
		u.poolPositions = nil
		current[row.Name] = u
		for _, target := range row.Serves {
			name := Name(row.Kind, target)
			byPool[name] = append(byPool[name], u)
		}
	}
	m.upstreams = current
	return byPool
}

// upsert returns the state of an upstream that is in the table. An upstream that joins after the
// first table, or whose row is no longer marked as draining, gets a slow start. An upstream with a
// new address is treated as a new one.
func (m *Manager) upsert(row *table.Upstream, now clock.Millis) *upstream {
	old := m.upstreams[row.Name]
	if old == nil || old.row.Address != row.Address {
		joined := now
		if !m.started {
			joined = now - m.settings.SlowStartMs
		}
		return &upstream{row: row, joinedMs: joined}
	}
	if old.row.Draining && !row.Draining {
		old.joinedMs = now
	}
	old.row = row
	return old
}

func (m *Manager) newPool(name string, list []*upstream, counts map[string]int) *pool {
	slices.SortFunc(list, func(a, b *upstream) int { return strings.Compare(a.row.Name, b.row.Name) })
	p := &pool{name: name, members: list, inFlight: map[string]int{}}
	members := make([]route.Member, len(list))
	for i, u := range list {
		members[i] = m.member(u, counts[u.row.Name])
		u.poolPositions = append(u.poolPositions, poolPosition{pool: p, position: i})
	}
	for name, count := range counts {
		if count > 0 {
			p.inFlight[name] = count
		}
	}
	p.view = route.NewView(members, m.boundPercent(name), m.fleet.Boxes, m.box)
	p.id = uint32(route.HashName(name))
	p.entries = m.entries(p)
	return p
}

func (m *Manager) boundPercent(poolName string) int {
	for _, name := range m.state.ModelNames() {
		if Name(table.KindEngine, name) != poolName {
			continue
		}
		if bound := m.state.Model(name).LoadBoundPercent; bound > 0 {
			return bound
		}
	}
	return m.settings.BoundPercent
}

func (m *Manager) member(u *upstream, inFlight int) route.Member {
	now := m.now()
	return route.Member{
		Name:        u.row.Name,
		Weight:      route.SlowStartWeight(u.row.Weight, u.joinedMs, now, m.settings.SlowStartMs),
		TableWeight: u.row.Weight,
		InFlight:    inFlight,
		Used:        u.used,
		Reported:    u.reported,
		Slots:       u.row.Slots,
		Ejected:     u.health.Ejected(now),
		Draining:    u.row.Draining || m.fleet.Draining[u.row.Name],
	}
}

func (p *pool) positions(names Tried) route.Tried {
	tried := route.Tried{}
	for _, name := range names {
		if index := p.position(name); index >= 0 {
			tried = tried.With(index)
		}
	}
	return tried
}

func (p *pool) position(name string) int {
	index, found := slices.BinarySearchFunc(p.members, name, func(u *upstream, name string) int {
		return strings.Compare(u.row.Name, name)
	})
	if !found {
		return -1
	}
	return index
}

func (u *upstream) addUsed(change int) {
	u.used += change
	for _, poolPosition := range u.poolPositions {
		poolPosition.pool.view.Members[poolPosition.position].Used = u.used
	}
}

func (m *Manager) recordResult(name string, result Result) {
	u := m.upstreams[name]
	if u == nil {
		return
	}
	switch result {
	case Succeeded:
		u.health = u.health.WithSuccess(m.now(), m.settings.Health)
	case Failed:
		u.health = u.health.WithFailure(m.now(), m.settings.Health)
	case Unreachable:
		u.health = u.health.WithUnreachable(m.now(), m.settings.Health)
	case Neutral:
		return
	}
	m.refresh(u, m.now())
}

// Refresh updates the weights of upstreams in slow start and ends expired ejections. It must be
// called once per second.
func (m *Manager) Refresh() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	for _, u := range m.upstreams {
		m.refresh(u, now)
	}
}

func (m *Manager) refresh(u *upstream, now clock.Millis) {
	weight := route.SlowStartWeight(u.row.Weight, u.joinedMs, now, m.settings.SlowStartMs)
	ejected := u.health.Ejected(now)
	for _, poolPosition := range u.poolPositions {
		poolPosition.pool.view.SetWeight(poolPosition.position, weight)
		poolPosition.pool.view.SetEjected(poolPosition.position, ejected, m.settings.PanicPercent)
	}
}

// Report records an upstream's own count of its requests in flight.
func (m *Manager) Report(name string, inFlight int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.upstreams[name]
	if u == nil {
		return
	}
	u.reported = inFlight
	for _, poolPosition := range u.poolPositions {
		poolPosition.pool.view.Members[poolPosition.position].Reported = inFlight
	}
}

// ReportState records whether an engine is draining and which models it has loaded.
func (m *Manager) ReportState(name string, draining bool, models []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.upstreams[name]
	if u == nil {
		return
	}
	u.draining = draining
	u.models = append([]string{}, models...)
}

// Load is the state of an upstream with the number of requests that this box has in flight on it.
type Load struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	InFlight int    `json:"in_flight"`
	Reported int    `json:"reported"`
	Weight   int    `json:"weight"`
	Ejected  bool   `json:"ejected"`
	Draining bool   `json:"leaving"`
}

// Loads returns the state of all upstreams, sorted by name.
func (m *Manager) Loads() []Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	loads := make([]Load, 0, len(m.upstreams))
	for _, u := range m.upstreams {
		member := m.member(u, u.used)
		loads = append(loads, Load{
			Name: u.row.Name, Address: u.row.Address, InFlight: u.used, Reported: u.reported,
			Weight: member.Weight, Ejected: u.health.Ejected(now), Draining: member.Draining,
		})
	}
	slices.SortFunc(loads, func(a, b Load) int { return strings.Compare(a.Name, b.Name) })
	return loads
}

// Explain returns how the pool currently ranks its members for a key.
func (m *Manager) Explain(poolName string, key route.Key) ([]route.Explanation, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.pools[poolName]
	if p == nil {
		return nil, fmt.Errorf("%w: %s", route.ErrNoUpstream, poolName)
	}
	ranking := m.settings.Policy.Explain(p.view, key)
	for i := range ranking {
		ranking[i].Owner = p.entries[p.position(ranking[i].Name)].Owner
	}
	return ranking, nil
}

// Capacity returns this box's share of the slots of a pool. It sizes the queue in front of the pool.
func (m *Manager) Capacity(poolName string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.pools[poolName]
	if p == nil {
		return 0
	}
	slots := float64(p.view.Slots())
	if slots == 0 {
		return 0
	}
	return max(1, int(m.slots.Share(slots)+half))
}

const half = 0.5

// SetSlots records how the boxes use the slots of this failure domain's engines.
func (m *Manager) SetSlots(slots limit.Slots) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.slots = slots
}
