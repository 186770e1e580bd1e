package membership

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/datagram"
)

// ChannelName is the first byte of membership's datagrams.
const ChannelName = 'm'

// CodeBytes is how much of the authentication code membership's datagrams carry.
const CodeBytes = 8

// Gossip runs a Node on a socket. It is safe for concurrent use.
type Gossip struct {
	socket   *datagram.Socket
	clock    clock.Clock
	logger   *zap.Logger
	period   clock.Millis
	onChange func(live []string)
	facts    func() Facts

	mu   sync.Mutex
	node *Node
}

// GossipOption changes a Gossip under construction.
type GossipOption func(*Gossip)

// WithClock replaces the system clock.
func WithClock(c clock.Clock) GossipOption { return func(g *Gossip) { g.clock = c } }

// WithLogger sets the logger.
func WithLogger(logger *zap.Logger) GossipOption { return func(g *Gossip) { g.logger = logger } }

// WithOnChange has a function called with the live boxes when they change.
func WithOnChange(onChange func(live []string)) GossipOption {
	return func(g *Gossip) { g.onChange = onChange }
}

// WithFacts sets the source of what this box tells of itself.
func WithFacts(facts func() Facts) GossipOption { return func(g *Gossip) { g.facts = facts } }

// NewGossip returns a gossip around a node. The caller opens the channel, with
// Receive as its handler.
func NewGossip(node *Node, socket *datagram.Socket, options ...GossipOption) *Gossip {
	g := &Gossip{
		socket: socket, clock: clock.New(), logger: zap.NewNop(), node: node,
		period: node.settings.PeriodMs, onChange: func([]string) {}, facts: func() Facts { return Facts{} },
	}
	for _, option := range options {
		option(g)
	}
	return g
}

// Run pings other boxes until the context ends.
func (g *Gossip) Run(ctx context.Context) { g.clock.Every(ctx, g.period, g.tick) }

// factsEvery is how many periods pass between two versions of this box's facts.
const factsEvery = 4

func (g *Gossip) tick(now clock.Millis) {
	g.mu.Lock()
	if g.node.period%factsEvery == 0 {
		g.node.SetFacts(g.facts())
	}
	out := g.node.Tick(now)
	g.mu.Unlock()
	g.send(out)
	g.report()
}

// Receive takes in a message.
func (g *Gossip) Receive(from string, body []byte) {
	g.mu.Lock()
	out, err := g.node.Receive(g.clock.Now(), from, body)
	g.mu.Unlock()
	if err != nil {
		g.logger.Debug("message dropped", zap.String("from", from), zap.Error(err))
		return
	}
	g.send(out)
	g.report()
}

func (g *Gossip) send(out []Outgoing) {
	for _, o := range out {
		g.socket.Send(ChannelName, o.Address, o.Body)
	}
}

func (g *Gossip) report() {
	g.mu.Lock()
	changed := g.node.TakeChanged()
	live := g.node.Live()
	g.mu.Unlock()
	if changed {
		g.logger.Info("live boxes changed", zap.Strings("live", live))
		g.onChange(live)
	}
}

// SetContacts sets the addresses that are asked while this box knows no other
// box of its failure domain, or none of another one.
func (g *Gossip) SetContacts(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node.SetContacts(addresses)
}

// SetListed takes over the platform's list of this failure domain.
func (g *Gossip) SetListed(addresses map[string]string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node.SetListed(addresses)
}

// Leave tells other boxes that this one stops as planned.
func (g *Gossip) Leave() {
	g.mu.Lock()
	out := g.node.Leave()
	g.mu.Unlock()
	g.send(out)
}

// Members returns the other boxes.
func (g *Gossip) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.Members()
}

// Live returns the names of the live boxes, this one included.
func (g *Gossip) Live() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.Live()
}

// FactsOf returns what each other live box last told of itself.
func (g *Gossip) FactsOf() map[string]Facts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.FactsOf()
}

// DomainFacts returns the sums of other failure domains heard within a span.
func (g *Gossip) DomainFacts(span clock.Millis) map[ID]Facts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.DomainFacts(g.clock.Now(), span)
}

// Foreign returns the boxes of other failure domains in touch within a span.
func (g *Gossip) Foreign(span clock.Millis) []Box {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.Foreign(g.clock.Now(), span)
}

// TellSums tells a box of another failure domain the sums of this one.
func (g *Gossip) TellSums(address string, domain ID, sums Facts) {
	g.mu.Lock()
	out := g.node.TellSums(address, domain, g.clock.Now(), sums)
	g.mu.Unlock()
	g.send(out)
}
