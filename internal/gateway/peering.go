package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/mesh"
	"dooryard.example/dooryard/internal/relay"
	"dooryard.example/dooryard/internal/routing"
)

// ListenPackets opens a UDP socket; tests replace it.
type ListenPackets func(network, address string) (net.PacketConn, error)

// waitingAnswers is how many answers of other boxes wait to be looked at; more
// than come in a few rounds.
const waitingAnswers = 64

// ownReadAgeMs is the age of the proof beyond which a box reads the store by
// itself. It is more than the age that a source's proof reaches between two
// reads, and leaves time for a read of its own before keys are refused.
const ownReadAgeMs clock.Millis = 2600

// peering is the box's part in the fleet.
type peering struct {
	box     *Box
	mesh    *mesh.Mesh
	client  *relay.Client
	answers chan mesh.Answer
	// startedMs is when this box joined the mesh.
	startedMs clock.Millis
}

// openPeering opens the socket and the listener for other boxes.
func (b *Box) openPeering() error {
	settings := b.settings.Load()
	conn, err := b.packets("udp", settings.PeersAddress)
	if err != nil {
		return fmt.Errorf("peers socket: %w", err)
	}
	p := &peering{
		box: b, client: relay.NewClient(b.dial),
		answers: make(chan mesh.Answer, waitingAnswers), startedMs: b.clock.Steady(),
	}
	p.mesh = mesh.New(mesh.Dependencies{
		Self: mesh.Identity{
			Box: settings.Box, FailureDomain: settings.FailureDomain, Address: settings.PeersAddress,
			Incarnation: int64(b.clock.Now()),
		},
		Clock: b.clock, Conn: conn, Contacts: p.contacts, Knowledge: b.knowledge, InFlight: b.balance.InFlight,
		KeptSince: b.balance.KeptSince, LearnKept: b.balance.LearnKept,
		Answered: p.take, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	b.peering = p
	b.metrics.Publish("mesh", func() any { return p.mesh.Sizes() })
	return nil
}

// contacts are the settings' contacts at the peers' port.
func (p *peering) contacts() []string {
	settings := p.box.settings.Load()
	_, port, err := net.SplitHostPort(settings.PeersAddress)
	if err != nil {
		return nil
	}
	addresses := []string{}
	for _, contact := range settings.Contacts {
		if host, _, err := net.SplitHostPort(contact); err == nil {
			addresses = append(addresses, net.JoinHostPort(host, port))
		}
	}
	return addresses
}

// take hands an answer on; when too many wait, a later one will tell the same.
func (p *peering) take(a mesh.Answer) {
	select {
	case p.answers <- a:
	default:
	}
}

func (p *peering) run(ctx context.Context) {
	for {
		select {
		case a := <-p.answers:
			p.learn(ctx, a)
		case <-ctx.Done():
			return
		}
	}
}

// learn takes over what another box knows more than this one. A proof counts
// from the instant at which this box asked for it.
func (p *peering) learn(ctx context.Context, a mesh.Answer) {
	own := p.box.knowledge()
	if own.Revision == 0 && p.readsFirst() {
		return
	}
	if a.Knowledge.Version > own.Version || a.Knowledge.Revision > own.Revision {
		if err := p.fetch(ctx, a.From, own); err != nil {
			p.box.log.Tell(decision.InputIgnored{Input: "news of box " + a.From.Box, Err: err.Error()})
			return
		}
	}
	if a.AskedMs > 0 && a.Knowledge.AgeMs >= 0 {
		p.box.belief.Prove(a.Knowledge.Version, a.AskedMs-a.Knowledge.AgeMs)
	}
}

// ownReadMs is how long a box that has just started leaves others alone while it
// reads everything from its store: the store's link is wider than another box's.
const ownReadMs clock.Millis = 500

// readsFirst tells whether the box is still at its first read of the store, which
// has not failed.
func (p *peering) readsFirst() bool {
	return !p.box.storeLost.Load() && p.box.clock.Steady()-p.startedMs < ownReadMs
}

func (p *peering) fetch(ctx context.Context, from mesh.Identity, own mesh.Knowledge) error {
	reply, err := p.client.Fetch(ctx, from.Address, own.Version, own.Revision)
	if err != nil {
		return err
	}
	source := "box " + from.Box
	if reply.State != nil {
		state, err := routing.New(*reply.State)
		if err != nil {
			return err
		}
		p.box.adopt(state, source)
	}
	p.box.tellUpstreams(p.box.registry.Merge(reply.Upstreams), source)
	return nil
}

// settleMs is how long a box that has just learnt the state waits to hear from the
// boxes that read for others: a few rounds.
const settleMs clock.Millis = 700

// wantsStore tells whether this box should read its store by itself now.
func (p *peering) wantsStore() bool {
	if !p.box.hasLearnt() {
		return true
	}
	if p.box.clock.Steady()-p.startedMs < settleMs {
		return false
	}
	// A box that has lost the store goes on trying: it may be the one to read for
	// others again.
	return p.box.storeLost.Load() || p.box.belief.AgeMs() > ownReadAgeMs || p.mesh.IsSource()
}
