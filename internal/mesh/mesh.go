package mesh

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/occupancy"
	"dooryard.example/dooryard/internal/prompt"
	"dooryard.example/dooryard/internal/quarantine"
)

// Timing of the mesh.
const (
	// largePeriodMs is the period of a fleet of more than largeFleet boxes, where
	// a box may spend 3 KB a second on control: an ask and a reply of 180 bytes, to
	// and from four boxes.
	largePeriodMs clock.Millis = 1000
	// forgetMs is how long the address of a silent box is kept at least: long enough for
	// a cut to heal.
	forgetMs clock.Millis = 60_000
	// newcomerMs is how long a box counts as one that knows few others: a few rounds.
	newcomerMs clock.Millis = 3000
	// aliveMs is how long a box counts as there after it was last heard, or
	// aliveCycles times the time in which every box is asked, if that is more.
	aliveMs clock.Millis = 2500
)

// Sizes of the mesh.
const (
	largeFleet  = 128
	largeFanout = 3
	aliveCycles = 3
	// minFanout is how many boxes are asked in a round, beside this box's
	// sources; a larger fleet is asked in roundsPerCycle rounds, maxFanout at the most.
	minFanout      = 6
	maxFanout      = 32
	roundsPerCycle = 10
	// newcomerSample is how many boxes a datagram names to a box that was first heard
	// within newcomerMs, or that is not known yet. To others one reply in settledOneIn
	// names a box, for those that forgot each other in a long cut.
	newcomerSample = 16
	settledOneIn   = 16
	// maxKept bounds the parts of prompts that a datagram names, at 11 bytes each:
	// more than a box has engines read while it misses a cycle.
	maxKept = 64
	// maxEndings bounds the news of ended upstreams in a datagram, at 16 bytes each, and
	// maxEndingsLarge those in a large fleet, where a box sends and answers some seven
	// datagrams a second.
	maxEndings      = 64
	maxEndingsLarge = 16
	// sources is how many boxes of a failure domain read the store for it. Boxes
	// of other domains are asked too, so that one silent source costs nothing.
	sources = 1
)

// Answer is what another box knew between two instants of this box.
type Answer struct {
	From      Identity
	Knowledge Knowledge
	// AskedMs is when this box asked, or 0 for news that nobody asked for.
	AskedMs clock.Millis
}

// Mesh is this box's part of the mesh. It is safe for concurrent use.
type Mesh struct {
	self      Identity
	clock     clock.Clock
	period    clock.Millis
	conn      net.PacketConn
	contacts  func() []string
	knowledge func() Knowledge
	inFlight  func() map[namekey.Key]int
	running   func() map[namekey.Key]int
	ledger    *occupancy.Ledger
	kept      func(from int64, most int) ([]prompt.Kept, int64)
	learnKept func(list []prompt.Kept)
	endings   func(from int64, most int) ([]quarantine.Ending, int64)
	learnEnds func(list []quarantine.Ending)
	answered  func(a Answer)
	random    *rand.Rand

	mu    sync.Mutex
	peers map[string]*peer
	// heard is how many of the peers were heard themselves, not only named.
	heard   int
	leaving bool
	// order is what is left of the boxes to ask in this cycle.
	order     []string
	ignored   int64
	sentBytes int64
	unsent    int64

	asks placeAsks
	// unansweredPlaces counts asks for places that no owner answered in time.
	unansweredPlaces int64
}

// Dependencies are what the mesh needs of its box.
type Dependencies struct {
	Self  Identity
	Clock clock.Clock
	// PeriodMs is the time between two rounds of asks, in a fleet that is not large.
	PeriodMs clock.Millis
	Conn     net.PacketConn
	// Contacts are addresses to ask while few boxes are known.
	Contacts func() []string
	// Knowledge returns what this box knows now.
	Knowledge func() Knowledge
	// InFlight returns what this box has running, by upstream.
	InFlight func() map[namekey.Key]int
	// Running returns how many requests this box runs, by pool. It is told in place of InFlight
	// in a large fleet.
	Running func() map[namekey.Key]int
	// KeptSince returns what this box had engines read since a number, at most so
	// much, and the number to go on from; LearnKept takes what other boxes had.
	KeptSince func(from int64, most int) ([]prompt.Kept, int64)
	LearnKept func(list []prompt.Kept)
	// EndingsSince returns this box's news of ended upstreams since a number, as KeptSince
	// does; LearnEndings takes other boxes' news.
	EndingsSince func(from int64, most int) ([]quarantine.Ending, int64)
	LearnEndings func(list []quarantine.Ending)
	// Answered takes what another box knows; it must not block.
	Answered func(a Answer)
	Random   *rand.Rand
}

// New returns a mesh of one box.
func New(d Dependencies) *Mesh {
	return &Mesh{
		self: d.Self, clock: d.Clock, period: d.PeriodMs, conn: d.Conn, contacts: d.Contacts, knowledge: d.Knowledge,
		inFlight: d.InFlight, running: d.Running, ledger: occupancy.New(d.Clock.Steady),
		kept: d.KeptSince, learnKept: d.LearnKept,
		endings: d.EndingsSince, learnEnds: d.LearnEndings, answered: d.Answered,
		random: d.Random, peers: map[string]*peer{},
		asks: placeAsks{next: d.Random.Uint32(), waiting: map[uint32]chan bool{}},
	}
}

// Run asks and answers until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(m.receive)
	for {
		m.round()
		if m.clock.Sleep(ctx, m.Period()) != nil {
			break
		}
	}
	// Reading ends with the connection.
	_ = m.conn.Close()
	running.Wait()
}

func (m *Mesh) receive() {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, from, err := m.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		if isPlaceMessage(buffer[:n]) {
			m.handlePlace(buffer[:n], from)
			continue
		}
		p, err := decode(buffer[:n])
		if err != nil {
			m.mu.Lock()
			m.ignored++
			m.mu.Unlock()
			continue
		}
		m.handle(p, from)
	}
}

// handle handles one datagram.
func (m *Mesh) handle(p *packet, from net.Addr) {
	if p.From.Box == m.self.Box || !m.complete(p) {
		return
	}
	m.record(p)
	if len(p.Kept) > 0 {
		m.learnKept(p.Kept)
	}
	if len(p.Endings) > 0 {
		m.learnEnds(p.Endings)
	}
	switch p.Type {
	case typePing:
		m.send(from.String(), m.addressed(m.packet(typeReply, p.AskedMs), p.From.Box))
	case typeReply:
		m.answered(Answer{From: p.From, Knowledge: p.Knowledge, AskedMs: p.AskedMs})
	case typeUpdate:
		m.answered(Answer{From: p.From, Knowledge: p.Knowledge})
	}
}

// complete fills in what a reply leaves out of its sender, and reports whether the sender
// is known. Asks name their sender in full, so one that is not will be.
func (m *Mesh) complete(p *packet) bool {
	if p.From.Address != "" {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.peers[p.From.Box]
	if known == nil {
		m.ignored++
		return false
	}
	p.From.FailureDomain, p.From.Address = known.FailureDomain, known.Address
	return true
}

// Ping asks other boxes now, beside the rounds.
func (m *Mesh) Ping() { m.round() }

// round asks this box's sources and a few other boxes.
func (m *Mesh) round() {
	now := m.clock.Steady()
	p := m.packet(typePing, now)
	for _, target := range m.targets(now) {
		m.noteAsked(target.box)
		m.send(target.address, m.addressed(p, target.box))
	}
}

// noteAsked counts an ask that the box has not answered yet.
func (m *Mesh) noteAsked(box string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[box]; p != nil {
		p.unanswered++
	}
}

func (m *Mesh) packet(t packetType, askedMs clock.Millis) *packet {
	p := &packet{Type: t, From: m.self, AskedMs: askedMs, Knowledge: m.knowledge(), InFlight: m.inFlight()}
	m.mu.Lock()
	defer m.mu.Unlock()
	p.Leaving = m.leaving
	if m.largeLocked() {
		// Heard once in minutes, loads by upstream say nothing.
		p.InFlight, p.Running = nil, m.running()
	}
	return p
}

// addressed makes a datagram fit one receiver: it adds boxes that it may not know, and
// parts that engines keep as far as it was not told, and leaves out who the sender is as
// far as it knows. In a large fleet it is not told of parts: bytes bind there.
func (m *Mesh) addressed(p *packet, box string) *packet {
	m.mu.Lock()
	defer m.mu.Unlock()
	with := *p
	receiver := m.peers[box]
	switch {
	case receiver == nil || m.clock.Steady()-receiver.firstMs < newcomerMs:
		with.Known = m.sampleLocked(newcomerSample)
	case p.Type == typeReply:
		if m.random.IntN(settledOneIn) == 0 {
			with.Known = m.sampleLocked(1)
		}
		with.From = Identity{Box: m.self.Box, Incarnation: m.self.Incarnation}
	}
	if receiver != nil && !m.largeLocked() {
		with.Kept, receiver.toldKept = m.kept(receiver.toldKept, maxKept)
	}
	if receiver != nil {
		m.addEndingsLocked(&with, receiver)
	}
	return &with
}

// addEndingsLocked adds news of ended upstreams until the receiver says that it has heard
// them: a lost datagram loses none.
func (m *Mesh) addEndingsLocked(p *packet, receiver *peer) {
	most := maxEndings
	if m.largeLocked() {
		most = maxEndingsLarge
	}
	p.EndingsHeard = receiver.heardEndings
	if list, to := m.endings(receiver.ackedEndings, most); len(list) > 0 {
		p.Endings, p.EndingsTo = list, to
	}
}

// send sends a datagram. One that can't be sent is as good as lost, and counted.
func (m *Mesh) send(address string, p *packet) {
	data, err := p.encode()
	sent := 0
	if err == nil {
		sent, err = m.write(address, data)
	}
	m.noteSent(sent, err)
}

func (m *Mesh) noteSent(sent int, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sentBytes += int64(sent)
	if err != nil {
		m.unsent++
	}
}

func (m *Mesh) write(address string, data []byte) (int, error) {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return 0, fmt.Errorf("address of a box: %w", err)
	}
	return m.conn.WriteTo(data, net.UDPAddrFromAddrPort(target))
}

// Broadcast tells the other boxes of the failure domain that what this one knows has
// changed.
func (m *Mesh) Broadcast() {
	m.broadcast(func(p *peer) bool { return p.FailureDomain == m.self.FailureDomain })
}

// BroadcastEndings tells all boxes at once that this one has news of ended upstreams. In a large
// fleet they go from box to box with the rounds.
func (m *Mesh) BroadcastEndings() {
	m.broadcast(func(*peer) bool { return !m.largeLocked() })
}

// Leave tells all boxes that this one is about to stop. It goes on answering.
func (m *Mesh) Leave() {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.broadcast(func(*peer) bool { return true })
}

func (m *Mesh) broadcast(to func(p *peer) bool) {
	p := m.packet(typeUpdate, 0)
	now := m.clock.Steady()
	m.mu.Lock()
	life := m.lifeLocked()
	targets := []target{}
	for _, other := range m.peers {
		if other.alive(now, life) && to(other) {
			targets = append(targets, target{box: other.Box, address: other.Address})
		}
	}
	m.mu.Unlock()
	for _, t := range targets {
		m.send(t.address, m.addressed(p, t.box))
	}
}

// Sizes are counts for metrics.
type Sizes struct {
	Boxes     int   `json:"boxes"`
	Ignored   int64 `json:"datagrams_ignored"`
	Unsent    int64 `json:"datagrams_unsent"`
	SentBytes int64 `json:"datagram_bytes_sent"`
	// Places are those that this box counts as an owner, PlacesUnanswered its asks for some
	// that no owner answered in time.
	Places           occupancy.Sizes `json:"places"`
	PlacesUnanswered int64           `json:"places_unanswered"`
}

// Sizes returns counts for metrics.
func (m *Mesh) Sizes() Sizes {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Sizes{
		Boxes: 1 + m.aliveCount(m.clock.Steady()), Ignored: m.ignored, Unsent: m.unsent, SentBytes: m.sentBytes,
		Places: m.ledger.Sizes(), PlacesUnanswered: m.unansweredPlaces,
	}
}
