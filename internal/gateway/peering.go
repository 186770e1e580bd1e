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

// ownReadAgeMs is the age of the proof beyond which a box reads the store by itself.
// Sources whose reads get no answer hear of no upstream that leaves, so it ends in time
// for that. It is never less than the age that a proof usually reaches: a source proves
// its state once a poll and is asked once a period of the mesh; one answer may be lost.
func (p *peering) ownReadAgeMs() clock.Millis {
	settings := p.box.Settings()
	return timingOf(settings).ownReadAgeMs(settings, p.mesh.Period())
}

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
		Clock: b.clock, PeriodMs: timingOf(*settings).periodMs, Conn: conn,
		Contacts: p.contacts, Knowledge: b.knowledge, InFlight: b.balance.InFlight,
		Running:   b.balance.Running,
		KeptSince: b.balance.KeptSince, LearnKept: b.balance.LearnKept,
		EndingsSince: b.quarantine.Since, LearnEndings: b.endings.learn,
		Answered: p.handle, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
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

// handle hands an answer on; when too many wait, a later one will tell the same.
func (p *peering) handle(a mesh.Answer) {
	p.box.balance.HeardFrom(a.From.FailureDomain)
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
	if own.Position.IsZero() && p.readsFirst() {
		return
	}
	if !a.Knowledge.Position.IsZero() {
		p.box.meetEra(max(a.Knowledge.Era, a.Knowledge.Position.Era), "box "+a.From.Box)
	}
	p.box.registry.Confirm(a.Knowledge.Position)
	if a.Knowledge.Version > own.Version || own.Position.Before(a.Knowledge.Position) {
		if err := p.fetch(ctx, a.From, own); err != nil {
			p.box.log.Tell(decision.InputIgnored{Input: "news of box " + a.From.Box, Err: err.Error()})
			return
		}
	}
	if a.AskedMs > 0 && a.Knowledge.AgeMs >= 0 {
		p.box.belief.Confirm(routing.Confirmation{
			Version: a.Knowledge.Version, Era: a.Knowledge.Era, AtMs: a.AskedMs - a.Knowledge.AgeMs,
		})
	}
}

// ownReadMs is how long a box that has just started leaves others alone while it
// reads everything from its store: the store's link is wider than another box's.
const ownReadMs clock.Millis = 500

// readsFirst reports whether the box is still at its first read of the store, which
// has not failed.
func (p *peering) readsFirst() bool {
	return !p.box.storeLost.Load() && p.box.clock.Steady()-p.startedMs < ownReadMs
}

func (p *peering) fetch(ctx context.Context, from mesh.Identity, own mesh.Knowledge) error {
	reply, err := p.client.Fetch(ctx, from.Address, own.Version, own.Position)
	if err != nil {
		return err
	}
	source := "box " + from.Box
	if reply.State != nil {
		state, err := routing.New(*reply.State)
		if err != nil {
			return err
		}
		p.box.adopt(state, reply.Era, source)
	}
	p.box.tellUpstreams(p.box.registry.Merge(reply.Upstreams), source)
	return nil
}

// settleMs is how long a box that has just learnt the state waits to hear from the
// boxes that read for others: a few rounds.
const settleMs clock.Millis = 700

// needsStore reports whether this box must read a stream of its store by itself now. A
// stream that was read waits at first: the box reads the others or hears of them.
func (p *peering) needsStore(wasRead bool) bool {
	if !wasRead && (p.box.belief.State() == nil || !p.box.registry.Filled()) {
		return true
	}
	if p.box.clock.Steady()-p.startedMs < settleMs {
		return false
	}
	return p.box.belief.AgeMs() > p.ownReadAgeMs() || p.mesh.IsSource()
}
