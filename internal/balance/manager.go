// Package balance chooses upstreams for opaque requests. Prompts go back to the engine that
// prefilled them, unless its load has reached a bound: a configured multiple of the mean load plus a
// small slack. Other requests go to the least loaded upstream.
package balance

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/health"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/pace"
	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/upstream"
)

// Settings configures a Manager.
type Settings struct {
	// FailureDomain is the failure domain of this box.
	FailureDomain string
	// BoundPercent is the maximum load of an engine in percent of the mean load, before boundSlack is
	// added.
	BoundPercent int
	// Health configures ejections.
	Health health.Limits
	// PanicPercent is the maximum percentage of a pool's otherwise available upstreams that may be
	// excluded as ejected or on probation. If there are more, none of them is excluded.
	PanicPercent int
	// EvacuationMs is the time within which an evacuated failure domain must get no new work.
	EvacuationMs clock.Millis
	// Box is the name of this box.
	Box string
	// ColdTolerance is how far requests may exceed the rate of a cold upstream.
	ColdTolerance ColdTolerance
}

// Manager holds the pools and their upstreams. It is safe for concurrent use.
type Manager struct {
	settings  Settings
	monotonic func() clock.Millis
	connect   func(address string) *upstream.Client
	random    func(n int) int

	mu   sync.Mutex
	byID map[string]*Member
	// byKey holds the same upstreams by the key that identifies them in messages between boxes.
	byKey         map[namekey.Key]*Member
	announcements announceLog
	pools         map[string][]*Member
	paths         map[string]*netPath
	// departed holds the upstreams whose entries disappeared recently, by pool.
	departed map[string][]*Member
	// lostParts are the parts that were cached by upstreams which are gone.
	lostParts partIndex
	// retries holds the retry schedules of refused callers, by pool.
	retries map[string]*retrySchedule
	// hotSessions counts the recent requests of each session, by pool.
	hotSessions map[string]*sessionCounts
	// fleetInFlightByPool is the number of requests that all boxes run, by pool, in a fleet so
	// large that boxes don't share their loads by upstream. It is nil in smaller fleets.
	fleetInFlightByPool map[namekey.Key]int
	// loadTrends holds how the loads of pools change.
	loadTrends map[string]*loadTrend
	// enginePermits is set if the owners of engines count the requests of all boxes there.
	enginePermits bool
	// othersAgeMs is the average age of the load reports from other boxes.
	othersAgeMs clock.Millis
	// evacuated holds the evacuated failure domains.
	evacuated map[string]evacuatedDomain
	// coldStarts holds the cold starts of the pools.
	coldStarts map[string]ColdStart
	// brittle holds the pools whose upstreams are brittle.
	brittle map[string]brittlePool
	// attempts counts this box's attempts, by pool. stalledSinceMs is since when pools have been stalled, and
	// respondingMs when stalled ones were last found to respond.
	attempts                     map[string]*attemptCounts
	stalledSinceMs, respondingMs map[string]clock.Millis
	// stalledTrials holds the latest trial requests of stalled pools without health checks.
	stalledTrials map[string]*stalledTrial
	// confirmedMs is when the entries of the upstreams were last known to be the newest, and firstConfirmedMs when they
	// first were, or 0.
	confirmedMs, firstConfirmedMs clock.Millis
	// fleetSize is an upper bound of the number of boxes that may send requests to a cold upstream.
	fleetSize int
	// prefillRates holds what this box has learnt of the time that prefills take, by pool.
	prefillRates map[string]*prefillRate
	// admissionShares holds the shares of recent prompts that were denied, by pool.
	admissionShares map[string]*admissionShare
	// boxesPerReport is the number of boxes for each one whose unstarted prompts this box knows.
	boxesPerReport float64
	// departedSignals holds the signals of upstreams whose entries are gone, by ID.
	departedSignals map[string]*upstreamSignals
	paces           poolPace
}

// New returns a manager without upstreams. Monotonic is a monotonic clock, connect creates the client
// of an upstream, and random returns a number below n.
func New(
	settings Settings, monotonic func() clock.Millis, connect func(address string) *upstream.Client,
	random func(n int) int,
) *Manager {
	return &Manager{
		settings: settings, monotonic: monotonic, connect: connect, random: random,
		byID: map[string]*Member{}, pools: map[string][]*Member{}, paths: map[string]*netPath{},
		departed: map[string][]*Member{}, lostParts: partIndex{}, retries: map[string]*retrySchedule{},
		departedSignals: map[string]*upstreamSignals{},
		loadTrends:      map[string]*loadTrend{}, hotSessions: map[string]*sessionCounts{},
		brittle: map[string]brittlePool{}, attempts: map[string]*attemptCounts{},
		stalledSinceMs: map[string]clock.Millis{}, respondingMs: map[string]clock.Millis{},
		stalledTrials: map[string]*stalledTrial{}, prefillRates: map[string]*prefillRate{},
		admissionShares: map[string]*admissionShare{}, boxesPerReport: 1,
	}
}

// SetBoxesPerReport sets the number of boxes for each one whose unstarted prompts this box knows.
func (m *Manager) SetBoxesPerReport(boxes float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.boxesPerReport = boxes
}

// SetUpstreams applies a newer list. Upstreams that stay keep their state.
func (m *Manager) SetUpstreams(list []registry.Upstream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.byID
	m.byID = make(map[string]*Member, len(list))
	m.byKey = make(map[namekey.Key]*Member, len(list))
	m.pools = map[string][]*Member{}
	for _, u := range list {
		member := m.memberFor(old[u.ID], u)
		_, member.evacuated = m.evacuated[member.FailureDomain]
		member.cold.entryUntilMs = m.monotonic() + u.ColdMs
		m.byID[u.ID] = member
		m.byKey[member.key] = member
		m.pools[u.Pool] = append(m.pools[u.Pool], member)
	}
	for id, member := range old {
		if m.byID[id] != member {
			member.client.Close()
			m.recordDeparture(member, m.byID[id])
		}
	}
	for _, members := range m.pools {
		slices.SortFunc(members, func(a, b *Member) int { return strings.Compare(a.ID, b.ID) })
	}
	maps.DeleteFunc(m.attempts, func(pool string, _ *attemptCounts) bool { return m.pools[pool] == nil })
	maps.DeleteFunc(m.stalledSinceMs, func(pool string, _ clock.Millis) bool { return m.pools[pool] == nil })
	maps.DeleteFunc(m.stalledTrials, func(pool string, _ *stalledTrial) bool { return m.pools[pool] == nil })
	maps.DeleteFunc(m.paces.times, func(pool string, _ *pace.PoolTimes) bool { return m.pools[pool] == nil })
	maps.DeleteFunc(m.prefillRates, func(pool string, _ *prefillRate) bool { return m.pools[pool] == nil })
	maps.DeleteFunc(m.admissionShares, func(pool string, _ *admissionShare) bool { return m.pools[pool] == nil })
	maps.DeleteFunc(m.respondingMs, func(pool string, _ clock.Millis) bool { return m.pools[pool] == nil })
}

// departedTTLMs is how long an upstream usually continues to serve after its entry has gone.
const departedTTLMs = 2 * clock.Second

// recordDeparture keeps an upstream whose entry has gone as a fetch source for a while, unless its
// server has restarted: a restart empties its cache. In both cases it records the upstream's parts as
// lost.
func (m *Manager) recordDeparture(member, successor *Member) {
	if successor == nil || successor.StartedMs == member.StartedMs {
		member.departedMs = m.monotonic()
		m.storeSignals(member)
		m.departed[member.Pool] = append(m.departed[member.Pool], member)
	}
	for key, at := range member.parts {
		if at > m.lostParts[key] {
			m.lostParts.record(key, at)
		}
	}
}

// expireDeparted removes upstreams that departed more than departedTTLMs ago, and expired signals.
func (m *Manager) expireDeparted(now clock.Millis) {
	maps.DeleteFunc(m.departedSignals, func(_ string, s *upstreamSignals) bool { return s.expired(now) })
	for pool, members := range m.departed {
		m.departed[pool] = slices.DeleteFunc(members,
			func(member *Member) bool { return now-member.departedMs > departedTTLMs })
	}
}

// memberFor returns the state of an upstream. A server that has restarted gets a new state, because
// its running requests and its cache are gone. Attempts that were sent to the previous incarnation
// fail when the server's host resets their connections at the next keep-alive, within a second. They
// are not ended here, because attempts that were sent after the restart, but before this box noticed
// it, run on the new incarnation.
func (m *Manager) memberFor(old *Member, u registry.Upstream) *Member {
	if old == nil {
		return newMember(u, m.connect(u.Address), m.signalsFor(u, nil))
	}
	if old.Upstream != identityOf(u) {
		return newMember(u, m.connect(u.Address), m.signalsFor(u, old.signals))
	}
	old.slots, old.drainingEntry = u.Slots, u.Draining
	return old
}

// SetOthersInFlight sets the number of requests that the other boxes have in flight, by upstream.
func (m *Manager) SetOthersInFlight(others map[namekey.Key]int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range m.byID {
		member.othersInFlight = others[member.key]
	}
}

// SetOthersInFlightAge sets the average age of the load reports from other boxes.
func (m *Manager) SetOthersInFlightAge(age clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.othersAgeMs = age
}

// InFlight returns the number of requests that this box has in flight, by upstream. Zeros are
// omitted.
func (m *Manager) InFlight() map[namekey.Key]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := map[namekey.Key]int{}
	for _, member := range m.byID {
		if member.inFlight > 0 {
			counts[member.key] = member.inFlight
		}
	}
	return counts
}

// Refresh closes expired idle connections and removes the expired state of departed upstreams. Call
// it every second.
func (m *Manager) Refresh() {
	m.mu.Lock()
	m.expireDeparted(m.monotonic())
	members := make([]*Member, 0, len(m.byID))
	for _, member := range m.byID {
		members = append(members, member)
	}
	m.mu.Unlock()
	for _, member := range members {
		member.client.CloseExpired()
	}
}
