package box

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/backing"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/datagram"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/grant"
	"dooryard.example/dooryard/internal/membership"
	"dooryard.example/dooryard/internal/picker"
	"dooryard.example/dooryard/internal/pool"
	"dooryard.example/dooryard/internal/route"
	"dooryard.example/dooryard/internal/table"
	"dooryard.example/dooryard/pkg/config"
)

// ListenPackets opens a UDP socket; tests replace it.
type ListenPackets func(network, address string) (net.PacketConn, error)

// Times of this box's part in membership.
const (
	defaultPeriodMs = 300
	listPollMs      = 2 * clock.Second
	// otherDomainEvery is how many polls pass between two of other domains.
	otherDomainEvery = 5
	sumsMs           = clock.Second
	domainFactsMs    = 20 * clock.Second
	peerFailMs       = 5 * clock.Second
	// foreignMs is how long a box of another domain counts after it was in touch.
	foreignMs = 60 * clock.Second
)

// fleetView is what this box knows of other boxes and of leaving upstreams. It
// is safe for concurrent use.
type fleetView struct {
	mu    sync.Mutex
	lists map[string]backing.DatedList
	// polls counts those at which another failure domain could be polled.
	polls  int
	failed map[string]clock.Millis
	// addresses are the live boxes of this domain by name.
	addresses map[string]string
	leaving   map[string]bool
	demand    map[string]float64
	// shares are this box's parts of fleet-wide limits, by organisation.
	shares    map[string]float64
	evenShare float64
}

func newFleetView() *fleetView {
	return &fleetView{
		lists: map[string]backing.DatedList{}, failed: map[string]clock.Millis{},
		leaving: map[string]bool{}, demand: map[string]float64{}, shares: map[string]float64{}, evenShare: 1,
	}
}

// openPeering opens the UDP socket on which the boxes of a failure domain tell
// each other who lives and ask each other for slots.
func (b *Box) openPeering(context.Context) error {
	config.Fill(&b.settings.Peers.PeriodMs, defaultPeriodMs)
	conn, err := b.packets("udp", b.settings.Peers.GossipAddress)
	if err != nil {
		return fmt.Errorf("peers.gossip_address: %w", err)
	}
	b.socket = datagram.New(conn, b.keys.peers.All, b.metrics.GossipRejected, b.logger)
	b.openGossip()
	b.gossip.SetContacts(b.settings.Peers.Contacts)
	b.openGrants()
	return nil
}

func (b *Box) openGossip() {
	self := membership.Box{
		Name: b.settings.Box, Domain: b.settings.FailureDomain,
		GossipAddress: b.socket.Address(), PeerAddress: b.servers.peers.Address(),
	}
	times := membership.DefaultSettings()
	times.PeriodMs = clock.Millis(b.settings.Peers.PeriodMs)
	node := membership.NewNode(self, uint32(b.clock.Now()/clock.Second), membership.WithSettings(times))
	b.gossip = membership.NewGossip(node, b.socket,
		membership.WithClock(b.clock), membership.WithLogger(b.logger),
		membership.WithOnChange(func([]string) { b.applyFleet() }), membership.WithFacts(b.facts))
	b.socket.Open(datagram.Channel{
		Name: membership.ChannelName, CodeBytes: membership.CodeBytes, Handle: b.gossip.Receive,
		Sent: b.metrics.GossipSent, Received: b.metrics.GossipReceived,
	})
}

func (b *Box) openGrants() {
	b.agent = grant.NewAgent(membership.NewID(b.settings.Box), func(address string, body []byte) {
		b.socket.Send(grant.ChannelName, address, body)
	}, b.pools.Standing, b.clock, b.logger)
	b.socket.Open(datagram.Channel{
		Name: grant.ChannelName, CodeBytes: grant.CodeBytes, Handle: b.agent.Receive,
		Sent: b.metrics.GrantsSent, Received: b.metrics.GrantsReceived,
	})
	b.picker = picker.New(b.pools, b.agent, b.ownerNamed, b.clock.Now)
}

// ownerNamed tells how to reach the box that owns a place.
func (b *Box) ownerNamed(name string) grant.Owner {
	if name == b.settings.Box || name == "" {
		return grant.Owner{Name: name, Self: true}
	}
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	return grant.Owner{Name: name, Address: b.fleet.addresses[name]}
}

// acquire picks the upstream of a request.
func (b *Box) acquire(x *exchange.Exchange, tried pool.Tried) (*pool.Lease, error) {
	if x.Kind != exchange.Chat || b.settings.Route.Policy != route.PolicyGrants {
		return b.pools.Acquire(x.PoolName(), x.Key, tried)
	}
	return b.picker.Acquire(x.Context(), picker.Request{
		Pool: x.PoolName(), Key: x.Key, Fresh: x.Fresh, Tried: tried,
	})
}

// applyFleet hands the newest view of membership to the pools.
func (b *Box) applyFleet() {
	b.fleet.mu.Lock()
	leaving := b.fleet.leaving
	b.fleet.mu.Unlock()
	b.learnMembers()
	b.pools.SetFleet(pool.Fleet{Boxes: b.gossip.Live(), Leaving: leaving})
	b.picker.Refresh()
	b.admit.Poke()
}

// learnMembers keeps the addresses of the other boxes, and frees what boxes that
// are gone held on engines.
func (b *Box) learnMembers() {
	addresses := map[string]string{}
	for _, member := range b.gossip.Members() {
		if member.Status <= membership.Suspect {
			addresses[member.Name] = member.GossipAddress
			continue
		}
		b.agent.Forget(membership.NewID(member.Name))
	}
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	b.fleet.addresses = addresses
}

// facts is what this box tells of itself.
func (b *Box) facts() membership.Facts {
	running, waiting := b.admit.Lengths()
	return membership.Facts{
		TableOffset: b.store.State().Offset(),
		InFlight:    uint32(running + waiting),
		Demand:      b.heaviestDemand(),
	}
}

// pollLists follows the platform's list: this domain's each time, the others in
// turn. While the platform is cut off the last lists stay in force.
func (b *Box) pollLists(ctx context.Context) {
	if b.settings.Platform.BoxListURL == "" {
		return
	}
	b.pollOnce(ctx)
	b.clock.Every(ctx, listPollMs, func(clock.Millis) { b.pollOnce(ctx) })
}

func (b *Box) pollOnce(ctx context.Context) {
	b.pollList(ctx, b.settings.FailureDomain)
	if domain, due := b.nextOtherDomain(); due {
		b.pollList(ctx, domain)
	}
	b.applyList()
}

// nextOtherDomain tells which other failure domain's list is to be polled now, if any.
// Polls count from the first one at which the table names another domain: counted from
// the box's start, a box that could not read the table at once knew no box of another
// domain for otherDomainEvery polls, 10 s.
func (b *Box) nextOtherDomain() (domain string, due bool) {
	domains := b.otherDomains()
	if len(domains) == 0 {
		return "", false
	}
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	turn := b.fleet.polls
	b.fleet.polls++
	return domains[turn/otherDomainEvery%len(domains)], turn%otherDomainEvery == 0
}

func (b *Box) pollList(ctx context.Context, domain string) {
	ctx, cancel := context.WithTimeout(ctx, clock.Millis(b.settings.Platform.TimeoutMs).Duration())
	defer cancel()
	b.fleet.mu.Lock()
	known := b.fleet.lists[domain]
	b.fleet.mu.Unlock()
	list, err := b.boxList.Get(ctx, domain, known)
	if err != nil {
		b.logger.Debug("list of boxes unavailable", zap.String("failure_domain", domain), zap.Error(err))
		return
	}
	b.fleet.mu.Lock()
	b.fleet.lists[domain] = list
	b.fleet.mu.Unlock()
}

// applyList takes over what the list of this domain says.
func (b *Box) applyList() {
	b.fleet.mu.Lock()
	list := b.fleet.lists[b.settings.FailureDomain]
	addresses := map[string]string{}
	for _, listed := range list.Boxes {
		if listed.State == backing.BoxLive {
			addresses[listed.Name] = listed.GossipAddress
		}
	}
	leaving := map[string]bool{}
	for _, listed := range list.Upstreams {
		if listed.State == backing.BoxLeaving {
			leaving[listed.Name] = true
		}
	}
	changed := len(leaving) != len(b.fleet.leaving)
	for name := range leaving {
		changed = changed || !b.fleet.leaving[name]
	}
	b.fleet.leaving = leaving
	b.fleet.mu.Unlock()
	b.gossip.SetListed(addresses)
	if changed {
		b.applyFleet()
	}
}

// otherDomains are the failure domains that the table names, without this one.
func (b *Box) otherDomains() []string {
	domains := []string{}
	for _, upstream := range b.store.State().Upstreams() {
		if upstream.FailureDomain != b.settings.FailureDomain {
			domains = append(domains, upstream.FailureDomain)
		}
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

// listedElsewhere returns the live boxes of other failure domains that did not
// fail lately: those of the platform's list, and those that were in touch.
func (b *Box) listedElsewhere() []backing.ListedBox {
	inTouch := b.gossip.Foreign(foreignMs)
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	byName := map[string]backing.ListedBox{}
	for _, foreign := range inTouch {
		byName[foreign.Name] = backing.ListedBox{
			Name: foreign.Name, FailureDomain: foreign.Domain, State: backing.BoxLive,
			GossipAddress: foreign.GossipAddress, PeerAddress: foreign.PeerAddress,
		}
	}
	for domain, list := range b.fleet.lists {
		for _, listed := range list.Boxes {
			if domain != b.settings.FailureDomain {
				byName[listed.Name] = listed
			}
		}
	}
	return b.usableElsewhere(byName)
}

// usableElsewhere drops boxes that stop or failed lately, and sorts the others.
func (b *Box) usableElsewhere(byName map[string]backing.ListedBox) []backing.ListedBox {
	found := []backing.ListedBox{}
	for _, listed := range byName {
		usable := listed.State == backing.BoxLive && listed.PeerAddress != ""
		if usable && b.clock.Now()-b.fleet.failed[listed.Name] > peerFailMs {
			found = append(found, listed)
		}
	}
	slices.SortFunc(found, func(x, y backing.ListedBox) int { return strings.Compare(x.Name, y.Name) })
	return found
}

func (b *Box) peerFailed(name string) {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	b.fleet.failed[name] = b.clock.Now()
}

// remote picks a box of another failure domain that serves what a request asks
// for. A session goes to the same one each time, where it is warm.
func (b *Box) remote(x *exchange.Exchange, tried pool.Tried) (*pool.Lease, bool) {
	serving := domainsServing(x)
	candidates := slices.DeleteFunc(b.listedElsewhere(), func(listed backing.ListedBox) bool {
		return !serving[listed.FailureDomain] || slices.Contains(tried, listed.Name)
	})
	if len(candidates) == 0 {
		return nil, false
	}
	hashes := make([]uint64, len(candidates))
	for i, candidate := range candidates {
		hashes[i] = route.HashName(candidate.Name)
	}
	chosen := candidates[route.First(x.Key, hashes)]
	lease := pool.NewRemoteLease(chosen.Name, chosen.PeerAddress, func(header http.Header) {
		header.Set("Authorization", "Bearer "+b.keys.peers.Current())
		header.Set(exchange.HeaderHop, "1")
		header.Set(exchange.HeaderRepeatable, strconv.FormatBool(x.Repeatable))
		header.Set(exchange.HeaderOrganisation, x.Organisation.Name)
		header.Set(exchange.HeaderSession, x.Session)
		header.Set(exchange.HeaderDeadline, strconv.FormatInt(int64(x.RemainingMs(b.clock.Now())), 10))
	}, func(failed bool) {
		if failed {
			b.peerFailed(chosen.Name)
		}
	})
	lease.Scheme = b.peerScheme()
	return lease, true
}

func domainsServing(x *exchange.Exchange) map[string]bool {
	kind := table.KindEngine
	if x.Kind == exchange.Service {
		kind = table.KindService
	}
	serving := map[string]bool{}
	for _, upstream := range x.State.Upstreams() {
		if upstream.Kind == kind && !upstream.Draining && slices.Contains(upstream.Serves, x.Target) {
			serving[upstream.FailureDomain] = true
		}
	}
	return serving
}
