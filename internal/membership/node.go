package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"dooryard.example/dooryard/internal/clock"
)

// Settings are the times of the protocol.
type Settings struct {
	// PeriodMs is the time between two pings of one box.
	PeriodMs clock.Millis
	// RemoveMs is how long a box may be silent, from its first unanswered ping
	// on, before it is removed. It is above the longest pause that a healthy
	// box may make.
	RemoveMs clock.Millis
	// ForgetMs is how long a box that is gone is remembered.
	ForgetMs clock.Millis
}

// DefaultSettings notice a dead box in under 5 s and keep one that pauses 3 s.
func DefaultSettings() Settings {
	return Settings{PeriodMs: 300, RemoveMs: 3900, ForgetMs: 10 * 60 * clock.Second}
}

// Outgoing is a message to send.
type Outgoing struct {
	Address string
	Body    []byte
}

// Node is one box's part of the protocol. It belongs to one goroutine at a time.
type Node struct {
	settings Settings
	self     Box
	id       ID
	random   *rand.Rand

	incarnation uint32
	leaving     bool
	members     map[ID]*member
	sequence    uint32
	period      uint64
	ring        []ID
	probes      map[uint32]*probe
	relays      map[uint32]relay
	news        *news
	facts       *factBook
	listed      map[string]string
	contacts    []string
	foreign     map[string]foreignBox
	changed     bool
	alive       int
}

// member is what this box knows of another one.
type member struct {
	box         Box
	incarnation uint32
	status      Status
	// silentSince is the instant of the first unanswered ping of a suspect.
	silentSince clock.Millis
	goneMs      clock.Millis
}

// Option changes a Node under construction.
type Option func(*Node)

// WithRandom sets the source of random choices.
func WithRandom(random *rand.Rand) Option { return func(n *Node) { n.random = random } }

// WithSettings sets the times of the protocol.
func WithSettings(settings Settings) Option { return func(n *Node) { n.settings = settings } }

// NewNode returns a box that knows nobody. The incarnation must be higher than
// that of an earlier process under the same name; the start time in seconds is.
func NewNode(self Box, incarnation uint32, options ...Option) *Node {
	n := &Node{
		settings: DefaultSettings(), self: self, id: NewID(self.Name), incarnation: incarnation,
		random:  rand.New(rand.NewPCG(uint64(NewID(self.Name)), uint64(incarnation))),
		members: map[ID]*member{}, probes: map[uint32]*probe{}, relays: map[uint32]relay{},
		news: newNews(), facts: newFactBook(incarnation), listed: map[string]string{},
		foreign: map[string]foreignBox{},
	}
	for _, option := range options {
		option(n)
	}
	n.announce()
	return n
}

// announce spreads that this box lives.
func (n *Node) announce() {
	n.news.add(update{ID: n.id, Incarnation: n.incarnation, Status: Alive, Box: &n.self}, n.size())
}

// Member is a box as others see it.
type Member struct {
	Box
	Status      Status
	Incarnation uint32
}

// Members returns the other boxes that were ever heard of and not yet forgotten,
// by name.
func (n *Node) Members() []Member {
	members := make([]Member, 0, len(n.members))
	for _, m := range n.members {
		members = append(members, Member{Box: m.box, Status: m.status, Incarnation: m.incarnation})
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// Live returns the names of the live boxes, this one included, sorted. A suspect
// lives until it is removed.
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

// TakeChanged reports whether the live boxes changed since the last call.
func (n *Node) TakeChanged() bool {
	changed := n.changed
	n.changed = false
	return changed
}

// SetListed takes over the platform's list: gossip addresses by name. Listed
// boxes that are not known are asked to let this box in.
func (n *Node) SetListed(addresses map[string]string) { n.listed = addresses }

// SetContacts sets the addresses that are asked while this box knows no other
// box of its failure domain, or none of another one.
func (n *Node) SetContacts(addresses []string) { n.contacts = addresses }

func (n *Node) size() int { return n.alive + 1 }

// Leave tells some boxes that this one stops as planned.
func (n *Node) Leave() []Outgoing {
	n.leaving = true
	n.changed = true
	n.news.add(update{ID: n.id, Incarnation: n.incarnation, Status: Left}, n.size())
	return n.pingSome(leaveFanout)
}

const (
	leaveFanout  = 8
	refuteFanout = 8
	relayFanout  = 3
	joinFanout   = 3
	// rejoinEvery is how many periods pass between two tries to reach boxes
	// that are listed, or were removed, and don't answer.
	rejoinEvery = 16
)

func (n *Node) pingSome(count int) []Outgoing {
	out := []Outgoing{}
	for _, id := range n.randomLive(count) {
		out = append(out, n.ping(id, 0)...)
	}
	return out
}

// Tick does a period's work: it judges unanswered pings, removes silent boxes
// and sends this period's ping.
func (n *Node) Tick(now clock.Millis) []Outgoing {
	n.period++
	out := n.judgeProbes(now)
	n.removeSilent(now)
	if target, found := n.nextTarget(); found {
		out = append(out, n.ping(target, now)...)
	}
	if n.period%rejoinEvery == 1 || n.alive == 0 {
		out = append(out, n.rejoin()...)
	}
	return out
}

// nextTarget alternates between the next live box in the order of ids, which
// every box does, so that each is pinged every other period by its predecessor,
// and a walk through all in random order.
func (n *Node) nextTarget() (ID, bool) {
	if n.period%2 == 0 {
		if id, found := n.successor(); found {
			return id, true
		}
	}
	return n.nextInRing()
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

func (n *Node) nextInRing() (ID, bool) {
	for range 2 {
		for len(n.ring) > 0 {
			id := n.ring[0]
			n.ring = n.ring[1:]
			if m := n.members[id]; m != nil && m.status <= Suspect {
				return id, true
			}
		}
		n.ring = n.randomLive(len(n.members))
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
		// A suspect has to hear of it to contradict.
		p.Updates = append(p.Updates, update{ID: target, Incarnation: m.incarnation, Status: m.status})
	}
	return n.send(m.box.GossipAddress, p)
}

// rejoin tries a few boxes that should live and are not known to.
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
	if n.alive == 0 || len(n.foreign) == 0 {
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

// Join asks the box at an address for all members.
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

// send fills a packet with news and facts and encodes it.
func (n *Node) send(address string, p *packet) []Outgoing {
	if p.Kind == kindPing || p.Kind == kindAck {
		p.Updates = append(p.Updates, n.news.take(maxUpdates)...)
		p.Facts = n.takeFacts(p.Kind)
	}
	body, err := encode(p)
	if err != nil {
		return nil
	}
	return []Outgoing{{Address: address, Body: body}}
}

// takeFacts lets every other ping carry this box's facts and acks those of
// others, more of them in a larger failure domain.
func (n *Node) takeFacts(k kind) []factEntry {
	others := min(maxFacts, 1+n.size()/boxesPerFact)
	if k == kindPing {
		return n.facts.take(n.period%ownFactsEvery == 1, others-1)
	}
	return n.facts.take(false, others)
}

// ownFactsEvery is how many pings pass between two that carry this box's facts:
// those of the walk through all boxes, not those to the successor.
const ownFactsEvery = 2

const (
	maxUpdates   = 4
	maxFacts     = 2
	boxesPerFact = 32
)
