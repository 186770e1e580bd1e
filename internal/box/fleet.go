package box

import (
	"context"
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

// ListenPackets opens a UDP socket. Tests replace it.
type ListenPackets func(network, address string) (net.PacketConn, error)

// Intervals and timeouts of membership.
const (
	defaultGossipPeriodMs = 300
	listPollIntervalMs    = 2 * clock.Second
	// pollsPerOtherDomain is the number of polls of this domain's list for each poll of another
	// domain's list.
	pollsPerOtherDomain  = 5
	domainSumsIntervalMs = clock.Second
	domainFactsTTLMs     = 20 * clock.Second
	failedPeerBackoffMs  = 5 * clock.Second
	// remoteContactTTLMs is how long a box of another failure domain is considered live after
	// the last membership update about it.
	remoteContactTTLMs = 60 * clock.Second
)

// fleetView is this box's knowledge of other boxes and of draining upstreams. Its fields are
// protected by mu.
type fleetView struct {
	mu    sync.Mutex
	lists map[string]backing.VersionedList
	// polls counts the polls at which another failure domain could be polled.
	polls  int
	failed map[string]clock.Millis
	// addresses maps the live boxes of this failure domain to their gossip addresses.
	addresses         map[string]string
	drainingUpstreams map[string]bool
	demand            map[string]float64
	// shares maps organisations to this box's share of their fleet-wide limits.
	shares    map[string]float64
	evenShare float64
}

func newFleetView() *fleetView {
	return &fleetView{
		lists: map[string]backing.VersionedList{}, failed: map[string]clock.Millis{},
		drainingUpstreams: map[string]bool{}, demand: map[string]float64{}, shares: map[string]float64{}, evenShare: 1,
	}
}

// openPeering prepares the UDP socket that the boxes of a failure domain use for gossip and for
// requesting slots from each other.
func (b *Box) openPeering(context.Context) error {
	config.SetDefault(&b.settings.Peers.PeriodMs, defaultGossipPeriodMs)
	b.socket = datagram.New(b.sockets.gossip, b.keys.peers.All, b.metrics.GossipRejected, b.logger)
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
		membership.WithOnChange(func([]string) { b.applyMembership() }), membership.WithFacts(b.facts))
	b.socket.AddChannel(datagram.Channel{
		Prefix: membership.ChannelPrefix, MACBytes: membership.MACBytes, Handle: b.gossip.Receive,
		Sent: b.metrics.GossipSent, Received: b.metrics.GossipReceived,
	})
}

func (b *Box) openGrants() {
	b.agent = grant.NewAgent(membership.NewID(b.settings.Box), func(address string, body []byte) {
		b.socket.Send(grant.ChannelPrefix, address, body)
	}, b.pools.MemberState, b.clock, b.logger)
	b.socket.AddChannel(datagram.Channel{
		Prefix: grant.ChannelPrefix, MACBytes: grant.MACBytes, Handle: b.agent.Receive,
		Sent: b.metrics.GrantsSent, Received: b.metrics.GrantsReceived,
	})
	b.picker = picker.New(b.pools, b.agent, b.ownerByName, b.clock.Now)
}

// ownerByName returns how to reach the box with a name, which owns an upstream. An empty name
// stands for this box.
func (b *Box) ownerByName(name string) grant.Owner {
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
		Pool: x.PoolName(), Key: x.Key, FirstTurn: x.FirstTurn, Tried: tried,
	})
}

// applyMembership passes the current membership view to the pools.
func (b *Box) applyMembership() {
	b.fleet.mu.Lock()
	draining := b.fleet.drainingUpstreams
	b.fleet.mu.Unlock()
	b.updateMembers()
	b.pools.SetFleet(pool.Fleet{Boxes: b.gossip.Live(), Draining: draining})
	b.picker.Refresh()
	b.admit.AdmitWaiting()
}

// updateMembers updates the addresses of the other boxes, and frees the engine slots held by
// boxes that are no longer alive.
func (b *Box) updateMembers() {
	addresses := map[string]string{}
	for _, member := range b.gossip.Members() {
		if member.Status <= membership.Suspect {
			addresses[member.Name] = member.GossipAddress
			continue
		}
		b.agent.RemoveBox(membership.NewID(member.Name))
	}
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	b.fleet.addresses = addresses
}

// facts returns the facts that this box publishes by gossip.
func (b *Box) facts() membership.Facts {
	running, waiting := b.admit.QueueLengths()
	return membership.Facts{
		TableOffset: b.store.State().Offset(),
		InFlight:    uint32(running + waiting),
		Demand:      b.topLocalDemand(),
	}
}

// pollLists polls the platform's box lists: this domain's list at every poll, the lists of the
// other domains in rotation. While the platform is unreachable, the last lists stay in use.
func (b *Box) pollLists(ctx context.Context) {
	if b.settings.Platform.BoxListURL == "" {
		return
	}
	b.pollOnce(ctx)
	b.clock.Every(ctx, listPollIntervalMs, func(clock.Millis) { b.pollOnce(ctx) })
}

func (b *Box) pollOnce(ctx context.Context) {
	b.pollList(ctx, b.settings.FailureDomain)
	if domain, due := b.nextOtherDomain(); due {
		b.pollList(ctx, domain)
	}
	b.applyBoxList()
}

// nextOtherDomain returns the other failure domain whose list is due to be polled, if any.
// Polls count from the first one at which the table contains another domain. If they counted
// from the start of the box, a box that could not read the table at once would know no box of
// another domain for pollsPerOtherDomain polls (10 s).
func (b *Box) nextOtherDomain() (domain string, due bool) {
	domains := b.otherDomains()
	if len(domains) == 0 {
		return "", false
	}
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	poll := b.fleet.polls
	b.fleet.polls++
	return domains[poll/pollsPerOtherDomain%len(domains)], poll%pollsPerOtherDomain == 0
}

func (b *Box) pollList(ctx context.Context, domain string) {
	ctx, cancel := context.WithTimeout(ctx, clock.Millis(b.settings.Platform.TimeoutMs).Duration())
	defer cancel()
	b.fleet.mu.Lock()
	known := b.fleet.lists[domain]
	b.fleet.mu.Unlock()
	list, err := b.boxList.Get(ctx, domain, known)
	if err != nil {
		b.logger.Debug("reading box list failed", zap.String("failure_domain", domain), zap.Error(err))
		return
	}
	b.fleet.mu.Lock()
	b.fleet.lists[domain] = list
	b.fleet.mu.Unlock()
}

// applyBoxList applies the list of this failure domain.
func (b *Box) applyBoxList() {
	b.fleet.mu.Lock()
	list := b.fleet.lists[b.settings.FailureDomain]
	addresses := map[string]string{}
	for _, listed := range list.Boxes {
		if listed.State == backing.BoxLive {
			addresses[listed.Name] = listed.GossipAddress
		}
	}
	draining := map[string]bool{}
	for _, listed := range list.Upstreams {
		if listed.State == backing.BoxLeaving {
			draining[listed.Name] = true
		}
	}
	changed := len(draining) != len(b.fleet.drainingUpstreams)
	for name := range draining {
		changed = changed || !b.fleet.drainingUpstreams[name]
	}
	b.fleet.drainingUpstreams = draining
	b.fleet.mu.Unlock()
	b.gossip.SetKnownAddresses(addresses)
	if changed {
		b.applyMembership()
	}
}

// otherDomains returns the failure domains in the table, without this box's own.
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

// remoteBoxes returns the live boxes of other failure domains that have not failed recently:
// those on the platform's lists, and those that have been in contact by gossip.
func (b *Box) remoteBoxes() []backing.ListedBox {
	contacts := b.gossip.OtherDomainBoxes(remoteContactTTLMs)
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	byName := map[string]backing.ListedBox{}
	for _, contact := range contacts {
		byName[contact.Name] = backing.ListedBox{
			Name: contact.Name, FailureDomain: contact.Domain, State: backing.BoxLive,
			GossipAddress: contact.GossipAddress, PeerAddress: contact.PeerAddress,
		}
	}
	for domain, list := range b.fleet.lists {
		for _, listed := range list.Boxes {
			if domain != b.settings.FailureDomain {
				byName[listed.Name] = listed
			}
		}
	}
	return b.usableRemoteBoxes(byName)
}

// domainBoxes returns the other live boxes of this failure domain that have not failed recently.
func (b *Box) domainBoxes() []backing.ListedBox {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	byName := map[string]backing.ListedBox{}
	for _, listed := range b.fleet.lists[b.settings.FailureDomain].Boxes {
		if listed.Name != b.settings.Box {
			byName[listed.Name] = listed
		}
	}
	return b.usableRemoteBoxes(byName)
}

// usableRemoteBoxes drops boxes that are draining or failed recently, and sorts the rest by
// name.
func (b *Box) usableRemoteBoxes(byName map[string]backing.ListedBox) []backing.ListedBox {
	found := []backing.ListedBox{}
	for _, listed := range byName {
		usable := listed.State == backing.BoxLive && listed.PeerAddress != ""
		if usable && b.clock.Now()-b.fleet.failed[listed.Name] > failedPeerBackoffMs {
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

// acquireRemote picks a box that serves the request's target: one of another failure domain, or else of this one, which
// may reach upstreams that this box can't. Requests of a session go to the same box, whose caches are warm.
func (b *Box) acquireRemote(x *exchange.Exchange, tried pool.Tried) (*pool.Lease, bool) {
	serving := domainsServing(x)
	unsuitable := func(listed backing.ListedBox) bool {
		return !serving[listed.FailureDomain] || slices.Contains(tried, listed.Name)
	}
	candidates := slices.DeleteFunc(b.remoteBoxes(), unsuitable)
	if len(candidates) == 0 {
		candidates = slices.DeleteFunc(b.domainBoxes(), unsuitable)
	}
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
		header.Set(exchange.HeaderDeadline, strconv.FormatInt(int64(max(1, x.UpstreamMs(b.clock.Monotonic()))), 10))
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
