package membership

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/datagram"
)

// ChannelPrefix is the first byte of membership datagrams.
const ChannelPrefix = 'm'

// MACBytes is the length of the truncated authentication code in membership datagrams.
const MACBytes = 8

// Gossip runs a Node over a socket. It is safe for concurrent use.
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

// GossipOption configures a new Gossip.
type GossipOption func(*Gossip)

// WithClock replaces the system clock.
func WithClock(c clock.Clock) GossipOption { return func(g *Gossip) { g.clock = c } }

// WithLogger sets the logger.
func WithLogger(logger *zap.Logger) GossipOption { return func(g *Gossip) { g.logger = logger } }

// WithOnChange sets a function that is called with the live boxes whenever they change.
func WithOnChange(onChange func(live []string)) GossipOption {
	return func(g *Gossip) { g.onChange = onChange }
}

// WithFacts sets the source of the facts that this box gossips about itself.
func WithFacts(facts func() Facts) GossipOption { return func(g *Gossip) { g.facts = facts } }

// NewGossip returns a Gossip for a node. The caller opens the channel with Receive as its handler.
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

// factsEvery is the number of periods between updates of this box's facts.
const factsEvery = 4

func (g *Gossip) tick(now clock.Millis) {
	g.send(g.tickNode(now))
	g.report()
}

func (g *Gossip) tickNode(now clock.Millis) []Outgoing {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.node.period%factsEvery == 0 {
		g.node.SetFacts(g.facts())
	}
	return g.node.Tick(now)
}

// Receive processes a message.
func (g *Gossip) Receive(from string, body []byte) {
	out, err := g.receiveNode(from, body)
	if err != nil {
		g.logger.Debug("message dropped", zap.String("from", from), zap.Error(err))
		return
	}
	g.send(out)
	g.report()
}

func (g *Gossip) receiveNode(from string, body []byte) ([]Outgoing, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.Receive(g.clock.Now(), from, body)
}

func (g *Gossip) send(out []Outgoing) {
	for _, o := range out {
		g.socket.Send(ChannelPrefix, o.Address, o.Body)
	}
}

func (g *Gossip) report() {
	if live, changed := g.takeChanged(); changed {
		g.logger.Info("live boxes changed", zap.Strings("live", live))
		g.onChange(live)
	}
}

func (g *Gossip) takeChanged() (live []string, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.Live(), g.node.TakeChanged()
}

// SetContacts sets the addresses that are contacted while this box knows no other box of its
// failure domain, or no box of another one.
func (g *Gossip) SetContacts(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node.SetContacts(addresses)
}

// SetKnownAddresses replaces the platform's list of boxes in this failure domain.
func (g *Gossip) SetKnownAddresses(addresses map[string]string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node.SetKnownAddresses(addresses)
}

// Leave notifies other boxes of a planned stop of this one.
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

// Live returns the names of the live boxes, including this one.
func (g *Gossip) Live() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.Live()
}

// FactsOf returns the latest facts of each other live box.
func (g *Gossip) FactsOf() map[string]Facts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.FactsOf()
}

// DomainFacts returns the summed facts of other failure domains that were received within a span.
func (g *Gossip) DomainFacts(span clock.Millis) map[ID]Facts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.DomainFacts(g.clock.Now(), span)
}

// OtherDomainBoxes returns the boxes of other failure domains of which this box received an update within a span.
func (g *Gossip) OtherDomainBoxes(span clock.Millis) []Box {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.OtherDomainBoxes(g.clock.Now(), span)
}

// SendDomainFacts sends the summed facts of this failure domain to a box of another one.
func (g *Gossip) SendDomainFacts(address string, domain ID, sums Facts) {
	g.mu.Lock()
	out := g.node.SendDomainFacts(address, domain, g.clock.Now(), sums)
	g.mu.Unlock()
	g.send(out)
}
