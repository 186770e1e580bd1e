package mesh

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"dooryard.example/dooryard/internal/admission"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/guard"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/occupancy"
	"dooryard.example/dooryard/internal/pace"
	"dooryard.example/dooryard/internal/prompt"
	"dooryard.example/dooryard/internal/quarantine"
	"dooryard.example/dooryard/internal/streams"
)

// Timing of gossip rounds and liveness.
const (
	// largePeriodMs is the period between rounds in a fleet of more than largeFleetBoxes boxes.
	// In such a fleet a box may spend 3 KB a second on control traffic. This allows it to exchange a
	// ping and a reply of 180 bytes each with four boxes.
	largePeriodMs clock.Millis = 1000
	// forgetAfterMs is the minimum time for which the address of an unresponsive box is kept. It is
	// long enough for a network partition to heal.
	forgetAfterMs clock.Millis = 60_000
	// newPeerMs is how long a box counts as new, that is, as knowing few other boxes. It spans a
	// few rounds.
	newPeerMs clock.Millis = 3000
	// minAliveMs is how long a box counts as alive after its last message. If pinging every box
	// once takes long, aliveCycles times the duration of that cycle applies instead.
	minAliveMs clock.Millis = 2500
)

// Limits of rounds and datagrams.
const (
	largeFleetBoxes = 128
	// smallFleetBoxes is the size up to which boxes bound the load of engines by what they report to
	// each other. They hear from each other every second or sooner there.
	smallFleetBoxes = 32
	largeFanout     = 3
	aliveCycles     = 3
	// minFanout is how many boxes are pinged per round, in addition to the store readers of the failure
	// domain. A larger fleet is pinged within roundsPerCycle rounds, with at most maxFanout boxes per
	// round.
	minFanout      = 6
	maxFanout      = 32
	roundsPerCycle = 10
	// newPeerSample is how many boxes a datagram names to a receiver that is unknown or was first
	// seen less than newPeerMs ago. To other receivers, one in repliesPerSample replies names one
	// box, so that boxes that forgot each other during a long partition find each other again.
	newPeerSample    = 16
	repliesPerSample = 16
	// maxAnnouncements limits the prompt parts that a datagram names, at 11 bytes each. It exceeds the
	// number of parts that one box's requests put into engine caches during a missed cycle.
	maxAnnouncements = 64
	// maxCrashEvents limits the upstream crashes that a datagram reports, at 16 bytes each, and those by parts of
	// prompts, at 26 bytes each.
	// maxCrashEventsLarge applies in a large fleet, where a box sends and answers about seven datagrams
	// a second.
	maxCrashEvents      = 64
	maxCrashEventsLarge = 16
	// readersPerDomain is how many boxes of a failure domain read the store on behalf of it. Boxes
	// of other domains are pinged too, so an unresponsive reader does no harm by itself.
	readersPerDomain = 1
)

// PeerState is the state of another box, observed at some instant between the ping and the reply.
type PeerState struct {
	From         Identity
	StateSummary StateSummary
	// PingedMs is when this process sent the ping, or 0 for an update and for a reply to an earlier process.
	PingedMs clock.Millis
	// TellsVersions is set if the box tells the software versions of upstreams.
	TellsVersions bool
}

// Mesh is this box's member of the gossip mesh. It is safe for concurrent use.
type Mesh struct {
	self                Identity
	clock               clock.Clock
	period              clock.Millis
	conn                net.PacketConn
	contacts            func() []Contact
	stateSummary        func() StateSummary
	inFlight            func() map[namekey.Key]int
	inFlightByPool      func() map[namekey.Key]int
	unreachable         func() []namekey.Key
	ledger              *occupancy.Ledger
	announcementsSince  func(from int64, limit int) ([]prompt.CachedPart, int64)
	recordAnnouncements func(list []prompt.CachedPart)
	crashEventsSince    func(from int64, limit int) ([]quarantine.CrashEvent, int64)
	recordCrashEvents   func(list []quarantine.CrashEvent)
	partEventsSince     func(from int64, limit int) ([]quarantine.PartEvent, int64)
	recordPartEvents    func(list []quarantine.PartEvent) (relays bool)
	recordOrigins       func(list []streams.Record)
	answerOrigin        func(id streams.ID, pool namekey.Key) streams.Answer
	attemptsBetween     func(pool namekey.Key, fromMs, toMs clock.Millis) (started, answered int)
	paceFindings        func() []pace.Finding
	recordPaceFindings  func(list []pace.Finding)
	onPeerState         func(a PeerState)
	onReceiveError      func(err error)
	onRestart           func(r Restart)
	onProcessEnd        func(e ProcessEnd)
	random              *rand.Rand

	mu    sync.Mutex
	peers map[string]*peer
	// directPeers is the number of peers that sent a message themselves. The others are known only
	// because another box named them.
	directPeers int
	// streamDomains holds the boxes that may own streams.
	streamDomains streamDomains
	draining      bool
	// movedTo is the address of this process once it has left its first one, or empty. gaveUpAddress is set if it has
	// left that to a later process of the box.
	movedTo       string
	gaveUpAddress bool
	// formerPeers is the number of peers that have given up the address of their box.
	formerPeers int
	// toPing holds the boxes that are still to be pinged in this cycle.
	toPing []string
	// contactRounds is the number of rounds in a row in which no live box was known at a contact, by its host.
	contactRounds map[string]int
	ignored       int64
	sentBytes     int64
	sendErrors    int64
	// receiveErrors counts failed receives.
	receiveErrors int64

	admissionOwner *admissionOwner
	admissions     admissionRequests
	pendingPermits permitRequests
	ownerView      ownerView
	inquiries      *inquiries[originReply]
	// attemptInquiries are the questions about pools that may be stalled.
	attemptInquiries *inquiries[attemptsReply]
	// permitTimeouts counts permit requests that no owner answered in time.
	permitTimeouts int64
	sentFindings   sentFindings
	lifetimes      lifetimes
	// provisionalPermits counts permits that an owner without a complete count granted.
	provisionalPermits int64
}

// Dependencies are what a Mesh needs from its box.
type Dependencies struct {
	Self  Identity
	Clock clock.Clock
	// PeriodMs is the time between two rounds unless the fleet is large.
	PeriodMs clock.Millis
	Conn     net.PacketConn
	// Contacts returns the boxes to ping while few are known, and where to look for missing ones later.
	Contacts func() []Contact
	// StateSummary returns the state summary of this box.
	StateSummary func() StateSummary
	// InFlight returns this box's requests in flight, by upstream.
	InFlight func() map[namekey.Key]int
	// InFlightByPool returns this box's requests in flight, by pool. Large fleets exchange it
	// instead of InFlight.
	InFlightByPool func() map[namekey.Key]int
	// Unreachable returns the pools whose upstreams this box can't reach.
	Unreachable func() []namekey.Key
	// AnnouncementsSince returns the prompt parts that this box's requests put into engine caches
	// from a sequence number on, up to a limit, and the sequence number to continue from.
	// RecordAnnouncements receives the parts that other boxes report.
	AnnouncementsSince  func(from int64, limit int) ([]prompt.CachedPart, int64)
	RecordAnnouncements func(list []prompt.CachedPart)
	// CrashEventsSince returns this box's reports of crashed upstreams from a sequence number on, as
	// AnnouncementsSince does. RecordCrashEvents receives the reports of other boxes.
	CrashEventsSince  func(from int64, limit int) ([]quarantine.CrashEvent, int64)
	RecordCrashEvents func(list []quarantine.CrashEvent)
	// PartEventsSince and RecordPartEvents do the same for the reports by parts of prompts. RecordPartEvents reports
	// whether this box relays any of them.
	PartEventsSince  func(from int64, limit int) ([]quarantine.PartEvent, int64)
	RecordPartEvents func(list []quarantine.PartEvent) (relays bool)
	// RecordOrigins receives the origins of streams that other boxes have begun. AnswerOrigin returns what this box
	// knows about a stream and the versions of its pool.
	RecordOrigins func(list []streams.Record)
	AnswerOrigin  func(id streams.ID, pool namekey.Key) streams.Answer
	// AttemptsBetween returns how many attempts of this box at a pool began within a span of ages, and how many of them
	// have got a response.
	AttemptsBetween func(pool namekey.Key, fromMs, toMs clock.Millis) (started, answered int)
	// PaceFindings returns the upstreams that this box found slow in the last second, at most 16. RecordPaceFindings
	// receives those that other boxes found slow.
	PaceFindings       func() []pace.Finding
	RecordPaceFindings func(list []pace.Finding)
	// OnPeerState receives the state summary of another box. It must not block.
	OnPeerState func(a PeerState)
	// OnReceiveError receives errors of the connection. It may be nil.
	OnReceiveError func(err error)
	// OnRestart receives the restarts of other boxes whose last process did not end in order, and OnProcessEnd the ends
	// of earlier processes of this box. They may be nil and must not block.
	OnRestart    func(r Restart)
	OnProcessEnd func(e ProcessEnd)
	Random       *rand.Rand
}

// New returns the mesh member of one box.
func New(d Dependencies) *Mesh {
	return &Mesh{
		self: d.Self, clock: d.Clock, period: d.PeriodMs, conn: d.Conn, contacts: d.Contacts, stateSummary: d.StateSummary,
		inFlight: d.InFlight, inFlightByPool: d.InFlightByPool, unreachable: d.Unreachable,
		ledger:             occupancy.New(d.Clock.Monotonic),
		announcementsSince: d.AnnouncementsSince, recordAnnouncements: d.RecordAnnouncements,
		crashEventsSince: d.CrashEventsSince, recordCrashEvents: d.RecordCrashEvents,
		partEventsSince: d.PartEventsSince, recordPartEvents: d.RecordPartEvents, onPeerState: d.OnPeerState,
		onReceiveError: d.OnReceiveError, onRestart: d.OnRestart, onProcessEnd: d.OnProcessEnd,
		lifetimes:     lifetimes{known: map[string][]knownLifetime{}, startedMs: d.Clock.Monotonic()},
		recordOrigins: d.RecordOrigins, answerOrigin: d.AnswerOrigin,
		paceFindings: d.PaceFindings, recordPaceFindings: d.RecordPaceFindings,
		random: d.Random, peers: map[string]*peer{}, contactRounds: map[string]int{},
		admissionOwner: newAdmissionOwner(d.Self.Address, d.Clock.Monotonic),
		admissions:     admissionRequests{nextNumber: d.Random.Uint32(), open: map[uint32]*admissionRequest{}},
		pendingPermits: permitRequests{
			nextNumber: d.Random.Uint32(), pending: map[uint32]chan permitMessageKind{}, held: map[uint32]heldPermit{},
		},
		inquiries:       newInquiries[originReply](d.Random.Uint32()),
		attemptsBetween: d.AttemptsBetween, attemptInquiries: newInquiries[attemptsReply](d.Random.Uint32()),
	}
}

// Run sends pings and answers messages until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { m.receive(ctx) })
	for {
		guard.Do("gossip round", func() {
			m.round()
			m.renewAdmissions()
			m.reportProcessEnds()
		})
		if m.clock.Sleep(ctx, m.Period()) != nil {
			break
		}
	}
	// Closing the connection ends the receive loop.
	_ = m.conn.Close()
	running.Wait()
}

// handle processes a packet.
func (m *Mesh) handle(p *packet, from net.Addr) {
	if p.From.Box == m.self.Box || !m.fillSender(p) {
		return
	}
	m.observeLifetime(p)
	if restarted := m.recordPeer(p); restarted != "" {
		m.sendGrants(m.admissionOwner.releaseBox(restarted))
	}
	if len(p.Announcements) > 0 {
		m.recordAnnouncements(p.Announcements)
	}
	if len(p.CrashEvents) > 0 {
		m.recordCrashEvents(p.CrashEvents)
	}
	if len(p.PartEvents) > 0 {
		m.recordPartEvents(p.PartEvents)
	}
	if len(p.PaceFindings) > 0 {
		m.recordPaceFindings(p.PaceFindings)
	}
	if p.GaveUpAddress && p.Type != typePing {
		// It relays no state.
		return
	}
	switch p.Type {
	case typePing:
		m.send(from.String(), m.forReceiver(m.packet(typeReply, p.PingToken), p.From.Box))
	case typeReply:
		m.onPeerState(PeerState{
			From: p.From, StateSummary: p.StateSummary, PingedMs: m.pingedMs(p.PingToken), TellsVersions: p.KeepsStreams,
		})
	case typeUpdate:
		m.onPeerState(PeerState{From: p.From, StateSummary: p.StateSummary, TellsVersions: p.KeepsStreams})
	}
}

// fillSender sets the sender fields that a reply omits from the known peer, and reports whether the sender is
// known. Pings carry the full sender, so an unknown sender becomes known with its next ping.
func (m *Mesh) fillSender(p *packet) bool {
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

// Ping sends pings immediately, in addition to the periodic rounds.
func (m *Mesh) Ping() { m.round() }

// round pings the store readers of the failure domain and a few other boxes.
func (m *Mesh) round() {
	now := m.clock.Monotonic()
	p := m.packet(typePing, m.pingToken(now))
	for _, target := range m.targets(now) {
		m.recordPing(target.box)
		m.send(target.address, m.forReceiver(p, target.box))
	}
}

// recordPing counts a ping that the box has not answered yet.
func (m *Mesh) recordPing(box string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[box]; p != nil {
		p.unacked++
	}
}

func (m *Mesh) packet(t packetType, pingToken int64) *packet {
	p := &packet{
		Type: t, From: m.self, PingToken: pingToken, StateSummary: m.stateSummary(), InFlight: m.inFlight(),
		Unreachable: m.unreachable(), TakesForwarded: true, KeepsStreams: true, ConfirmsUpstreams: true,
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p.Draining, p.Phase = m.draining, m.phaseLocked()
	if m.movedTo != "" {
		p.From.Address, p.GaveUpAddress = m.movedTo, m.gaveUpAddress
	}
	if m.largeLocked() {
		// In a large fleet, minutes pass between two messages from the same box, so loads by upstream
		// would be outdated.
		p.InFlight, p.InFlightByPool = nil, m.inFlightByPool()
	}
	if m.directPeers < smallFleetBoxes {
		p.PaceFindings = m.paceFindings()
	}
	return p
}

// forReceiver adapts a datagram to one receiver. It adds boxes that the receiver may not know and
// cached prompt parts that it was not sent yet, and omits sender fields that the receiver knows. In
// a large fleet it sends no cached parts, because bandwidth is the limit there.
func (m *Mesh) forReceiver(p *packet, box string) *packet {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := *p
	receiver := m.peers[box]
	switch {
	case receiver == nil || m.clock.Monotonic()-receiver.firstSeenMs < newPeerMs:
		out.Known = m.samplePeersLocked(newPeerSample)
	case p.Type == typeReply:
		if m.random.IntN(repliesPerSample) == 0 {
			out.Known = m.samplePeersLocked(1)
		}
		out.From = Identity{Box: m.self.Box, Incarnation: m.self.Incarnation}
	}
	if receiver != nil && !m.largeLocked() {
		out.Announcements, receiver.sentAnnouncements = m.announcementsSince(receiver.sentAnnouncements, maxAnnouncements)
	}
	if receiver != nil {
		m.addCrashEventsLocked(&out, receiver)
		m.addPredecessorsLocked(&out, receiver)
	}
	return &out
}

// addCrashEventsLocked adds reports of crashed upstreams. They are sent again until the receiver
// acknowledges them, so a lost datagram loses no report.
func (m *Mesh) addCrashEventsLocked(p *packet, receiver *peer) {
	limit := maxCrashEvents
	if m.largeLocked() {
		limit = maxCrashEventsLarge
	}
	p.CrashEventsAcked = receiver.receivedCrashEvents
	if list, to := m.crashEventsSince(receiver.ackedCrashEvents, limit); len(list) > 0 {
		p.CrashEvents, p.CrashEventsNext = list, to
	}
	p.PartEventsAcked = receiver.receivedPartEvents
	if list, to := m.partEventsSince(receiver.ackedPartEvents, limit); len(list) > 0 {
		p.PartEvents, p.PartEventsNext = list, to
	}
}

// send sends a datagram. A failure is counted and otherwise treated like packet loss.
func (m *Mesh) send(address string, p *packet) {
	data, err := p.encode()
	sent := 0
	if err == nil {
		sent, err = m.write(address, data)
	}
	m.recordSent(sent, err)
}

func (m *Mesh) recordSent(sent int, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sentBytes += int64(sent)
	if err != nil {
		m.sendErrors++
	}
}

func (m *Mesh) write(address string, data []byte) (int, error) {
	return writeFrom(m.conn, address, data)
}

func writeFrom(conn net.PacketConn, address string, data []byte) (int, error) {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return 0, fmt.Errorf("box address: %w", err)
	}
	return conn.WriteTo(data, net.UDPAddrFromAddrPort(target))
}

// Broadcast notifies the other boxes of the failure domain that this box's state has changed.
func (m *Mesh) Broadcast() {
	m.broadcast(func(p *peer) bool { return !p.draining && p.FailureDomain == m.self.FailureDomain })
}

// BroadcastCrashEvents immediately sends new reports of crashed upstreams to all boxes. In a large
// fleet the reports spread with the rounds instead.
func (m *Mesh) BroadcastCrashEvents() {
	m.broadcast(func(p *peer) bool { return !p.draining && !m.largeLocked() })
}

// BroadcastDraining notifies all boxes that this box is about to stop, and denies their queued asks. The box continues
// to answer.
func (m *Mesh) BroadcastDraining() {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	m.broadcast(func(*peer) bool { return true })
	m.sendGrants(m.admissionOwner.drain())
}

func (m *Mesh) broadcast(to func(p *peer) bool) {
	p := m.packet(typeUpdate, 0)
	now := m.clock.Monotonic()
	m.mu.Lock()
	aliveTimeout := m.aliveTimeoutLocked()
	targets := []target{}
	for _, other := range m.peers {
		if other.heard(now, aliveTimeout) && to(other) {
			targets = append(targets, target{box: other.Box, address: other.Address})
		}
	}
	m.mu.Unlock()
	for _, t := range targets {
		m.send(t.address, m.forReceiver(p, t.box))
	}
}

// Sizes are counts for metrics.
type Sizes struct {
	Boxes      int   `json:"boxes"`
	Ignored    int64 `json:"datagrams_ignored"`
	SendErrors int64 `json:"datagrams_unsent"`
	SentBytes  int64 `json:"datagram_bytes_sent"`
	// ReceiveErrors counts failed receives of datagrams.
	ReceiveErrors int64 `json:"datagrams_unreceived"`
	// Permits are the permits that this box counts as an owner. PermitTimeouts counts this box's permit
	// requests that no owner answered in time, and ProvisionalPermits those that an owner without a
	// complete count granted.
	Permits            occupancy.Sizes `json:"places"`
	PermitTimeouts     int64           `json:"places_unanswered"`
	ProvisionalPermits int64           `json:"places_provisional"`
	// Admissions is the work that this box counts as an owner. AdmissionAsks counts this box's requests for which it
	// asked an owner, AdmissionsQueued those that were queued, AdmissionTimeouts those that no owner answered, and
	// AdmissionsRenewed how often an owner was told that one of them still runs.
	Admissions        admission.Sizes `json:"admissions"`
	AdmissionAsks     int64           `json:"admissions_asked"`
	AdmissionsQueued  int64           `json:"admissions_queued"`
	AdmissionTimeouts int64           `json:"admissions_unanswered"`
	AdmissionsRenewed int64           `json:"admissions_renewed"`
}

// Sizes returns counts for metrics.
func (m *Mesh) Sizes() Sizes {
	var admissions admissionCounts
	m.admissions.count(func(c *admissionCounts) { admissions = *c })
	m.mu.Lock()
	defer m.mu.Unlock()
	return Sizes{
		Boxes: 1 + m.aliveCountLocked(m.clock.Monotonic()), Ignored: m.ignored,
		SendErrors: m.sendErrors, SentBytes: m.sentBytes, ReceiveErrors: m.receiveErrors,
		Permits: m.ledger.Sizes(), PermitTimeouts: m.permitTimeouts, ProvisionalPermits: m.provisionalPermits,
		Admissions: m.admissionOwner.ledger.sizes(), AdmissionAsks: admissions.asked,
		AdmissionsQueued: admissions.queued, AdmissionTimeouts: admissions.unanswered,
		AdmissionsRenewed: admissions.renewed,
	}
}
