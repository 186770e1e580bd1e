// Package pool holds the upstreams of this failure domain as this box sees
// them, one pool for each model or service, and counts what runs on each.
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

// Settings are the limits of a Manager.
type Settings struct {
	Policy       route.Policy
	BoundPercent int
	SlowStartMs  clock.Millis
	PanicPercent int
	Health       health.Limits
}

// Fleet is what membership says, as far as pools depend on it.
type Fleet struct {
	// Boxes are the live boxes of this failure domain, this one included.
	Boxes []string
	// Leaving are upstreams that are about to go, by name.
	Leaving map[string]bool
}

// Result is how an attempt on an upstream ended, for its health.
type Result int

// Results of an attempt.
const (
	// Neutral says nothing about the upstream's health.
	Neutral Result = iota
	Succeeded
	Failed
	// Unreachable is a failure to open a connection.
	Unreachable
)

// upstream is the state of one upstream, shared by all pools it is in.
type upstream struct {
	row      *table.Upstream
	joinedMs clock.Millis
	health   health.Health
	used     int
	reported int
	places   []place
	// leaving and models are what the upstream last said of itself; models is
	// nil until it did.
	leaving bool
	models  []string
}

// place is a position in a pool's view.
type place struct {
	pool     *pool
	position int
}

// closed reports whether the upstream said that it takes no new work of the pool.
func (p place) closed() bool {
	u := p.pool.members[p.position]
	if u.leaving || u.row.Draining {
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

// Manager holds all pools of a box. It is safe for concurrent use.
type Manager struct {
	settings Settings
	domain   string
	box      string
	now      func() clock.Millis

	mu        sync.Mutex
	upstreams map[string]*upstream
	pools     map[string]*pool
	places    map[grant.Place]place
	slots     limit.Slots
	fleet     Fleet
	state     *table.State
	started   bool
}

// New returns a manager without upstreams.
func New(settings Settings, domain, box string, now func() clock.Millis) *Manager {
	return &Manager{
		settings: settings, domain: domain, box: box, now: now,
		upstreams: map[string]*upstream{}, pools: map[string]*pool{},
		slots: limit.Slots{Boxes: 1}, fleet: Fleet{Boxes: []string{box}}, state: table.New(),
	}
}

// Name is the name of the pool for a target of a kind.
func Name(kind, target string) string { return kind + "/" + target }

// SetTable takes a newer table into force.
func (m *Manager) SetTable(state *table.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state
	m.rebuild()
}

// SetFleet takes a newer view of membership into force.
func (m *Manager) SetFleet(fleet Fleet) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleet = fleet
	m.rebuild()
}

// rebuild makes the pools anew, keeping counts and health by name.
func (m *Manager) rebuild() {
	now := m.now()
	counts := map[string]map[string]int{}
	for name, p := range m.pools {
		counts[name] = p.counts()
	}
	members := m.collect(now)
	m.pools = map[string]*pool{}
	m.places = map[grant.Place]place{}
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

// collect refreshes the upstreams from the table and returns them by pool.
func (m *Manager) collect(now clock.Millis) map[string][]*upstream {
	kept := map[string]*upstream{}
	byPool := map[string][]*upstream{}
	for _, row := range m.state.Upstreams() {
		if row.FailureDomain != m.domain {
			continue
		}
		u := m.keep(row, now)
		u.places = nil
		kept[row.Name] = u
		for _, target := range row.Serves {
			name := Name(row.Kind, target)
			byPool[name] = append(byPool[name], u)
		}
	}
	m.upstreams = kept
	return byPool
}

// keep returns the state of an upstream that is in the table. One that joins
// after the first table starts slowly; one at a new address is a new one.
func (m *Manager) keep(row *table.Upstream, now clock.Millis) *upstream {
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
		u.places = append(u.places, place{pool: p, position: i})
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
		Leaving:     u.row.Draining || m.fleet.Leaving[u.row.Name],
	}
}

func (p *pool) positions(names Tried) route.Tried {
	tried := route.Tried{}
	for _, name := range names {
		if at := p.position(name); at >= 0 {
			tried = tried.With(at)
		}
	}
	return tried
}

func (p *pool) position(name string) int {
	at, found := slices.BinarySearchFunc(p.members, name, func(u *upstream, name string) int {
		return strings.Compare(u.row.Name, name)
	})
	if !found {
		return -1
	}
	return at
}

func (u *upstream) addUsed(change int) {
	u.used += change
	for _, place := range u.places {
		place.pool.view.Members[place.position].Used = u.used
	}
}

func (m *Manager) judge(name string, result Result) {
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

// Refresh brings slow starts and ended ejections up to date; call it each
// second.
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
	for _, place := range u.places {
		place.pool.view.SetWeight(place.position, weight)
		place.pool.view.SetEjected(place.position, ejected, m.settings.PanicPercent)
	}
}

// Report takes in an upstream's own count of what it runs.
func (m *Manager) Report(name string, inFlight int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.upstreams[name]
	if u == nil {
		return
	}
	u.reported = inFlight
	for _, place := range u.places {
		place.pool.view.Members[place.position].Reported = inFlight
	}
}

// ReportState takes in whether an engine leaves and which models it has loaded.
func (m *Manager) ReportState(name string, leaving bool, models []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.upstreams[name]
	if u == nil {
		return
	}
	u.leaving = leaving
	u.models = append([]string{}, models...)
}

// Load is what this box has in flight on one upstream.
type Load struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	InFlight int    `json:"in_flight"`
	Reported int    `json:"reported"`
	Weight   int    `json:"weight"`
	Ejected  bool   `json:"ejected"`
	Leaving  bool   `json:"leaving"`
}

// Loads returns the state of all upstreams, by name.
func (m *Manager) Loads() []Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	loads := make([]Load, 0, len(m.upstreams))
	for _, u := range m.upstreams {
		member := m.member(u, u.used)
		loads = append(loads, Load{
			Name: u.row.Name, Address: u.row.Address, InFlight: u.used, Reported: u.reported,
			Weight: member.Weight, Ejected: u.health.Ejected(now), Leaving: member.Leaving,
		})
	}
	slices.SortFunc(loads, func(a, b Load) int { return strings.Compare(a.Name, b.Name) })
	return loads
}

// Explain returns how the pool ranks its members for a key now.
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

// Capacity returns this box's part of a pool's slots, for the queue in front.
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
	return max(1, int(m.slots.Part(slots)+half))
}

const half = 0.5

// SetSlots takes in who uses the slots of this failure domain's engines.
func (m *Manager) SetSlots(slots limit.Slots) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.slots = slots
}
