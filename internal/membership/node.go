package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"dooryard.example/dooryard/internal/clock"
)

// Settings are the intervals and timeouts of the protocol.
type Settings struct {
	// PeriodMs is the interval at which a box sends its pings.
	PeriodMs clock.Millis
	// RemoveMs is how long a box may be silent, counted from its first unanswered ping, before it
	// is removed. It exceeds the longest pause of a healthy box.
	RemoveMs clock.Millis
	// ForgetMs is how long a dead or departed box is remembered.
	ForgetMs clock.Millis
}

// DefaultSettings returns settings that detect a dead box in under 5 s and tolerate a pause of 3 s.
func DefaultSettings() Settings {
	return Settings{PeriodMs: 300, RemoveMs: 3900, ForgetMs: 10 * 60 * clock.Second}
}

// Outgoing is a message to send.
type Outgoing struct {
	Address string
	Body    []byte
}

// Node is the protocol state machine of one box. It is not safe for concurrent use.
type Node struct {
	settings Settings
	self     Box
	id       ID
	random   *rand.Rand

	incarnation   uint32
	leaving       bool
	members       map[ID]*member
	sequence      uint32
	period        uint64
	pingOrder     []ID
	probes        map[uint32]*probe
	indirectPings map[uint32]indirectPing
	updates       *updates
	facts         *factStore
	listed        map[string]string
	contacts      []string
	foreign       map[string]foreignBox
	changed       bool
	aliveCount    int
}

// member is this box's view of another box.
type member struct {
	box         Box
	incarnation uint32
	status      Status
	// silentSince is the time of the first unanswered ping to a suspect.
	silentSince clock.Millis
	removedMs   clock.Millis
}

// Option configures a new Node.
type Option func(*Node)

// WithRandom sets the random number generator.
func WithRandom(random *rand.Rand) Option { return func(n *Node) { n.random = random } }

// WithSettings sets the intervals and timeouts of the protocol.
func WithSettings(settings Settings) Option { return func(n *Node) { n.settings = settings } }

// NewNode returns a node that knows no other box. The incarnation must be higher than that of any
// earlier process with the same name. The start time in seconds meets this condition.
func NewNode(self Box, incarnation uint32, options ...Option) *Node {
	n := &Node{
		settings: DefaultSettings(), self: self, id: NewID(self.Name), incarnation: incarnation,
		random:  rand.New(rand.NewPCG(uint64(NewID(self.Name)), uint64(incarnation))),
		members: map[ID]*member{}, probes: map[uint32]*probe{}, indirectPings: map[uint32]indirectPing{},
		updates: newUpdateQueue(), facts: newFactStore(incarnation), listed: map[string]string{},
		foreign: map[string]foreignBox{},
	}
	for _, option := range options {
		option(n)
	}
	n.announceAlive()
	return n
}

// announceAlive queues an update that this box is alive.
func (n *Node) announceAlive() {
	n.updates.add(update{ID: n.id, Incarnation: n.incarnation, Status: Alive, Box: &n.self}, n.size())
}

// Member is the state of a box as another box sees it.
type Member struct {
	Box
	Status      Status
	Incarnation uint32
}

// Members returns all other boxes that are not forgotten yet, sorted by name.
func (n *Node) Members() []Member {
	members := make([]Member, 0, len(n.members))
	for _, m := range n.members {
		members = append(members, Member{Box: m.box, Status: m.status, Incarnation: m.incarnation})
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// Live returns the sorted names of the live boxes, including this one. A suspect counts as live
// until it is removed.
func (n *Node) Live() []string {
	names := []string{}
	if !n.leaving {
		names = append(names, n.self.Name)
	}
	for _, m := range n.members {
		if m.status <= Suspect {
			names = append(names, m.box.Name)
		}
	}
	slices.Sort(names)
	return names
}

// TakeChanged reports whether the set of live boxes has changed since the last call.
func (n *Node) TakeChanged() bool {
	changed := n.changed
	n.changed = false
	return changed
}

// SetKnownAddresses replaces the platform's list of gossip addresses by box name. The node sends join
// requests to listed boxes that it does not know.
func (n *Node) SetKnownAddresses(addresses map[string]string) { n.listed = addresses }

// SetContacts sets the addresses that are contacted while this box knows no other box of its
// failure domain, or no box of another one.
func (n *Node) SetContacts(addresses []string) { n.contacts = addresses }

func (n *Node) size() int { return n.aliveCount + 1 }

// Leave marks this box as leaving and notifies a few boxes of the planned stop.
func (n *Node) Leave() []Outgoing {
	n.leaving = true
	n.changed = true
	n.updates.add(update{ID: n.id, Incarnation: n.incarnation, Status: Left}, n.size())
	return n.pingRandom(leaveFanout)
}

const (
	leaveFanout    = 8
	refuteFanout   = 8
	indirectFanout = 3
	joinFanout     = 3
	// rejoinEvery is the number of periods between attempts to reach boxes that are listed or were
	// removed, and that don't respond.
	rejoinEvery = 16
)

func (n *Node) pingRandom(count int) []Outgoing {
	out := []Outgoing{}
	for _, id := range n.randomLive(count) {
		out = append(out, n.ping(id, 0)...)
	}
	return out
}

// Tick runs one period: it evaluates unanswered pings, removes silent boxes and sends the ping of
// the period.
func (n *Node) Tick(now clock.Millis) []Outgoing {
	n.period++
	out := n.checkProbes(now)
	n.removeSilent(now)
	if target, found := n.nextTarget(); found {
		out = append(out, n.ping(target, now)...)
	}
	if n.period%rejoinEvery == 1 || n.aliveCount == 0 {
		out = append(out, n.rejoin()...)
	}
	return out
}

// nextTarget alternates between the successor of this box and a traversal of all live boxes in random
// order. The successor is the box with the next higher ID (the lowest ID after the highest) among
// the boxes that are not suspects. As all boxes do so, each box is pinged by its predecessor every
// other period.
func (n *Node) nextTarget() (ID, bool) {
	if n.period%2 == 0 {
		if id, found := n.successor(); found {
			return id, true
		}
	}
	return n.nextRandom()
}

func (n *Node) successor() (ID, bool) {
	best, lowest := ID(0), ID(0)
	foundBest, foundAny := false, false
	for id, m := range n.members {
		if m.status != Alive {
			continue
		}
		if !foundAny || id < lowest {
			lowest, foundAny = id, true
		}
		if id > n.id && (!foundBest || id < best) {
			best, foundBest = id, true
		}
	}
	if foundBest {
		return best, true
	}
	return lowest, foundAny
}

func (n *Node) nextRandom() (ID, bool) {
	for range 2 {
		for len(n.pingOrder) > 0 {
			id := n.pingOrder[0]
			n.pingOrder = n.pingOrder[1:]
			if m := n.members[id]; m != nil && m.status <= Suspect {
				return id, true
			}
		}
		n.pingOrder = n.randomLive(len(n.members))
	}
	return 0, false
}

// randomLive returns up to count live boxes in random order.
func (n *Node) randomLive(count int) []ID {
	ids := make([]ID, 0, len(n.members))
	for id, m := range n.members {
		if m.status <= Suspect {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	n.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(count, len(ids))]
}

func (n *Node) ping(target ID, now clock.Millis) []Outgoing {
	m := n.members[target]
	n.sequence++
	if now > 0 {
		n.probes[n.sequence] = &probe{target: target, sentMs: now}
	}
	p := n.packet(kindPing, n.sequence)
	if m.status != Alive {
		// The suspect has to receive the update to be able to refute it.
		p.Updates = append(p.Updates, update{ID: target, Incarnation: m.incarnation, Status: m.status})
	}
	return n.send(m.box.GossipAddress, p)
}

// rejoin sends join requests to a few boxes that should be alive but are not known to be.
func (n *Node) rejoin() []Outgoing {
	addresses := []string{}
	for name, address := range n.listed {
		m := n.members[NewID(name)]
		if name != n.self.Name && (m == nil || m.status == Dead) {
			addresses = append(addresses, address)
		}
	}
	for _, m := range n.members {
		if m.status == Dead {
			addresses = append(addresses, m.box.GossipAddress)
		}
	}
	if n.aliveCount == 0 || len(n.foreign) == 0 {
		addresses = append(addresses, n.contacts...)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	n.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	out := []Outgoing{}
	for _, address := range addresses[:min(joinFanout, len(addresses))] {
		out = append(out, n.Join(address)...)
	}
	return out
}

// Join requests all members from the box at an address.
func (n *Node) Join(address string) []Outgoing {
	n.sequence++
	p := n.packet(kindJoin, n.sequence)
	if !n.leaving {
		p.Updates = append(p.Updates, update{ID: n.id, Incarnation: n.incarnation, Status: Alive, Box: &n.self})
	}
	return n.send(address, p)
}

func (n *Node) packet(k kind, sequence uint32) *packet {
	return &packet{Kind: k, Sequence: sequence, From: n.id, Incarnation: n.incarnation}
}

// send adds queued updates and facts to pings and acks, and encodes the packet.
func (n *Node) send(address string, p *packet) []Outgoing {
	if p.Kind == kindPing || p.Kind == kindAck {
		p.Updates = append(p.Updates, n.updates.next(maxUpdates)...)
		p.Facts = n.nextFacts(p.Kind)
	}
	body, err := encode(p)
	if err != nil {
		return nil
	}
	return []Outgoing{{Address: address, Body: body}}
}

// nextFacts returns the facts to send. Every other ping carries this box's facts, and acks carry
// those of other boxes. From boxesPerFact boxes on, each ping and each ack carries the facts of one
// more box, up to maxFacts in an ack.
func (n *Node) nextFacts(k kind) []factEntry {
	others := min(maxFacts, 1+n.size()/boxesPerFact)
	if k == kindPing {
		return n.facts.next(n.period%ownFactsEvery == 1, others-1)
	}
	return n.facts.next(false, others)
}

// ownFactsEvery is the interval, in pings, at which a ping carries this box's facts. These are the
// pings of the random traversal, not those to the successor.
const ownFactsEvery = 2

const (
	maxUpdates   = 4
	maxFacts     = 2
	boxesPerFact = 32
)
