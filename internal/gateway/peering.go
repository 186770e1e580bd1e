package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/guard"
	"dooryard.example/dooryard/internal/mesh"
	"dooryard.example/dooryard/internal/position"
	"dooryard.example/dooryard/internal/relay"
	"dooryard.example/dooryard/internal/routing"
	"dooryard.example/dooryard/internal/streams"
	"dooryard.example/dooryard/pkg/config"
)

// ListenPackets opens a UDP socket; tests replace it.
type ListenPackets func(network, address string) (net.PacketConn, error)

// peerStateQueueSize is the length of the queue of states received from other boxes: more than arrive in a few gossip
// rounds.
const peerStateQueueSize = 64

// directReadAgeMs returns the age of the last confirmation above which a box reads the store directly. While the store
// does not respond to the box that reads it for others, neither that box nor the others learn of draining upstreams.
// The returned age is therefore low enough that a direct read still completes within the operators' bounds. It is never
// below the age that a confirmation normally reaches: the reading box confirms its state once per poll and is pinged
// once per gossip period, and one reply may be lost.
func (p *peering) directReadAgeMs() clock.Millis {
	settings := p.box.Settings()
	return timingOf(settings).directReadAgeMs(settings, p.mesh.Period())
}

// peering exchanges state with the other boxes of the fleet.
type peering struct {
	box *Box
	// address is where other boxes reach this one, which a reload does not change.
	address    string
	mesh       *mesh.Mesh
	client     *relay.Client
	peerStates chan mesh.PeerState
	// startedMs is when this box joined the mesh.
	startedMs clock.Millis
}

// joinMesh creates the mesh on a UDP socket. Other boxes reach this one at an address.
func (b *Box) joinMesh(conn net.PacketConn, settings *config.Gateway, address string) {
	p := &peering{
		box: b, address: address, client: relay.NewClient(b.dial),
		peerStates: make(chan mesh.PeerState, peerStateQueueSize), startedMs: b.clock.Monotonic(),
	}
	p.mesh = mesh.New(mesh.Dependencies{
		Self: mesh.Identity{
			Box: settings.Box, FailureDomain: settings.FailureDomain, Address: address,
			Incarnation: int64(b.clock.Now()),
		},
		Clock: b.clock, PeriodMs: timingOf(*settings).periodMs, Conn: conn,
		Contacts: p.contacts, StateSummary: b.stateSummary, InFlight: b.balance.InFlight,
		InFlightByPool:     b.balance.InFlightByPool,
		Unreachable:        b.balance.UnreachableKeys,
		AnnouncementsSince: b.balance.AnnouncementsSince, RecordAnnouncements: b.balance.RecordAnnouncements,
		CrashEventsSince: b.quarantine.EventsSince, RecordCrashEvents: b.crashDetector.recordFromPeer,
		PartEventsSince: b.parts.EventsSince, RecordPartEvents: b.crashDetector.recordPartsFromPeer,
		RecordOrigins: func(list []streams.Record) { b.origins.ledger.Add(list...) }, AnswerOrigin: b.origins.answer,
		AttemptsBetween: b.balance.AttemptsBetween,
		PaceFindings:    b.balance.PaceFindings, RecordPaceFindings: b.balance.RecordPaceFindings,
		OnReceiveError: func(err error) { b.ReportInvalidInput("datagrams of other boxes", err) },
		OnRestart:      b.reportRestart, OnProcessEnd: b.reportProcessEnd,
		OnPeerState: p.enqueue, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	b.peering = p
	b.metrics.Publish("mesh", func() any { return p.mesh.Sizes() })
}

// contacts returns the configured contacts, with the ports at which boxes may listen for each other.
func (p *peering) contacts() []mesh.Contact {
	settings := p.box.settings.Load()
	ports := settings.PeersPorts()
	contacts := []mesh.Contact{}
	for _, contact := range settings.Contacts {
		host, _, err := net.SplitHostPort(contact)
		if err != nil {
			continue
		}
		addresses := mesh.Contact{}
		for _, port := range ports {
			address := net.JoinHostPort(host, strconv.Itoa(port))
			if address == p.address && len(addresses) > 0 {
				// Whatever was started before has the ports below.
				break
			}
			addresses = append(addresses, address)
		}
		contacts = append(contacts, addresses)
	}
	return contacts
}

// isHost reports whether a contact is at the IP address of this box.
func (p *peering) isHost(contact mesh.Contact) bool {
	host, _, err := net.SplitHostPort(p.address)
	return err == nil && contact.Host() == host
}

// enqueue queues the state of another box. If the queue is full the state is dropped, since a later one carries the
// same information.
func (p *peering) enqueue(a mesh.PeerState) {
	p.box.balance.RecordContact(a.From.FailureDomain)
	select {
	case p.peerStates <- a:
	default:
	}
}

func (p *peering) run(ctx context.Context) {
	for {
		select {
		case a := <-p.peerStates:
			guard.Do("state of another box", func() { p.applyPeerState(ctx, a) })
		case <-ctx.Done():
			return
		}
	}
}

// admissionIntervalMs is the period at which queued prompts are checked. It is small compared to the objectives of
// prompts, half a second or more.
const admissionIntervalMs clock.Millis = 50

// expireAdmissions removes what has expired at the upstreams that this box owns, and sends the grants that are due. It
// is idle while the box counts and queues no requests there.
func (p *peering) expireAdmissions(ctx context.Context) {
	for {
		select {
		case <-p.mesh.AdmissionsChanged():
		case <-ctx.Done():
			return
		}
		for more := true; more; more = p.mesh.ExpireAdmissions() {
			if p.box.clock.Sleep(ctx, admissionIntervalMs) != nil {
				return
			}
		}
	}
}

// applyPeerState processes the state summary of another box: it fetches the state if that of the other box is newer,
// and records the confirmation. The age in the summary is counted back from the time at which this box sent the ping.
func (p *peering) applyPeerState(ctx context.Context, a mesh.PeerState) {
	local := p.box.stateSummary()
	if !a.TellsVersions {
		// The box knows the upstreams without their software versions.
		a.StateSummary.Position = position.Position{}
	}
	if local.Position.IsZero() && p.inInitialRead() {
		return
	}
	if !a.StateSummary.Position.IsZero() {
		p.box.observeEra(max(a.StateSummary.Era, a.StateSummary.Position.Era), "box "+a.From.Box)
	}
	if a.StateSummary.Version > local.Version || local.Position.Before(a.StateSummary.Position) ||
		!p.box.evacuations.Advance(a.StateSummary.Evacuations) {
		if err := p.fetch(ctx, a, local); err != nil {
			p.box.log.Record(decision.InputIgnored{Input: "news of box " + a.From.Box, Err: err.Error()})
			return
		}
	}
	if a.PingedMs > 0 && a.StateSummary.UpstreamsAgeMs > 0 {
		p.box.registry.Confirm(a.StateSummary.Position, a.PingedMs-a.StateSummary.UpstreamsAgeMs)
	}
	if a.PingedMs > 0 && a.StateSummary.AgeMs >= 0 {
		p.box.confirm(routing.Confirmation{
			Version: a.StateSummary.Version, Era: a.StateSummary.Era, AtMs: a.PingedMs - a.StateSummary.AgeMs,
			Relayed: true,
		})
	}
}

// initialReadMs is how long after its start a box without upstreams fetches nothing from other boxes, because it is
// reading the complete state from the store, to which its link has more bandwidth.
const initialReadMs clock.Millis = 500

// inInitialRead reports whether the box may still be in its first read of the store, which has not failed.
func (p *peering) inInitialRead() bool {
	return !p.box.storeUnavailable.Load() && p.box.clock.Monotonic()-p.startedMs < initialReadMs && p.readsAtStart()
}

func (p *peering) fetch(ctx context.Context, a mesh.PeerState, local mesh.StateSummary) error {
	reply, err := p.client.Fetch(ctx, a.From.Address, local.Version, local.Position)
	if err != nil {
		return err
	}
	source := "box " + a.From.Box
	if reply.State != nil {
		state, err := routing.New(*reply.State)
		if err != nil {
			return err
		}
		p.box.adopt(state, reply.Era, source)
	}
	p.box.evacuations.Merge(reply.Evacuations)
	if a.TellsVersions {
		p.box.announceUpstreams(p.box.registry.Merge(reply.Upstreams), source)
	}
	return nil
}

const (
	// minAssumedFleet is the number of boxes that a box assumes while it can't know them: the largest fleet in which
	// each box knows all others.
	minAssumedFleet = 128
	// fleetSettleMs is how long after its start a box may not know all others.
	fleetSettleMs = 5 * clock.Second
)

// fleetSizeBound returns an upper bound of the number of boxes. It includes those that have been silent for a while,
// because they may run on the other side of a network partition.
func (p *peering) fleetSizeBound() int {
	known := p.mesh.KnownBoxes()
	others := slices.ContainsFunc(p.contacts(), func(c mesh.Contact) bool { return !p.isHost(c) })
	if known == 1 && others || p.box.clock.Monotonic()-p.startedMs < fleetSettleMs {
		return max(known, minAssumedFleet)
	}
	return known
}

// startupSettleMs is how long a box that has just received its state waits for states of the boxes that read the store
// for others: a few gossip rounds.
const startupSettleMs clock.Millis = 700

// firstStartWaitMs is how long a box waits for the state of another box when the whole fleet starts for the first time.
// No callers are waiting then, and each read of the store is charged for.
const firstStartWaitMs clock.Millis = 1500

// readsAtStart reports whether a box that has no state reads it from the store. At the first start of the fleet only
// the contacts do so at once.
func (p *peering) readsAtStart() bool {
	settings := p.box.settings.Load()
	contacts := p.contacts()
	return !settings.FirstStart || len(contacts) == 0 || slices.ContainsFunc(contacts, p.isHost) ||
		p.box.clock.Monotonic()-p.startedMs >= firstStartWaitMs
}

// needsStoreRead reports whether this box must read a stream of its store itself now. After a stream was read once,
// the box first reads the other streams or receives them from other boxes.
func (p *peering) needsStoreRead(wasRead bool) bool {
	if !wasRead && (p.box.routingState.State() == nil || !p.box.registry.Synced()) {
		return p.readsAtStart()
	}
	if p.box.clock.Monotonic()-p.startedMs < startupSettleMs {
		return false
	}
	return p.box.routingState.AgeMs() > p.directReadAgeMs() || p.mesh.IsStoreReader()
}
