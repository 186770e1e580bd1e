package gateway

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/guard"
	"dooryard.example/dooryard/internal/mesh"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/pipe/dispatch"
	"dooryard.example/dooryard/internal/relay"
	"dooryard.example/dooryard/internal/upstream"
)

const (
	// reachabilityIntervalMs is how often a box checks which upstreams it can reach, and dials those that it may not
	// reach. A dial that gets no response takes as long.
	reachabilityIntervalMs clock.Millis = 100
	// avoidBoxMs is how long a box gets no requests after a connection to it failed. A box that crashed counts as alive
	// for longer.
	avoidBoxMs = clock.Second
	// boxClientTTLMs is how long the connections to another box are kept after the last request.
	boxClientTTLMs = 30 * clock.Second
)

// forwarding has other boxes serve the requests whose upstreams this box can't reach.
type forwarding struct {
	box     *Box
	stalled *stalledPools

	mu sync.Mutex
	// clients are the connections to other boxes, by address.
	clients map[string]*boxClient
	// avoidUntilMs is until when a box gets no requests because a connection to it failed, by name.
	avoidUntilMs map[string]clock.Millis
	// unreachableSinceMs is since when this box has known that it can't reach the upstreams of a pool, by pool.
	unreachableSinceMs map[string]clock.Millis
}

// boxClient holds the connections to another box.
type boxClient struct {
	*upstream.Client
	usedMs clock.Millis
}

func newForwarding(b *Box) *forwarding {
	return &forwarding{
		box: b, stalled: newStalledPools(b), clients: map[string]*boxClient{}, avoidUntilMs: map[string]clock.Millis{},
		unreachableSinceMs: map[string]clock.Millis{},
	}
}

// next chooses a box to forward a request to, except those tried.
func (f *forwarding) next(r *opaque.Request, tried []string) (dispatch.Box, bool) {
	to, found := f.box.peering.mesh.ForwardTarget(mesh.ForwardRequest{
		Pool: namekey.Of(r.Pool), Version: r.State.Version(), Continues: r.Origin != nil,
		Tried: slices.Concat(tried, f.avoided()),
	})
	if !found {
		return dispatch.Box{}, false
	}
	return dispatch.Box{Name: to.Box, Client: f.client(to.Address)}, true
}

// avoid records that a connection to a box failed.
func (f *forwarding) avoid(box string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoidUntilMs[box] = f.box.clock.Monotonic() + avoidBoxMs
}

// avoided returns the boxes that get no requests now.
func (f *forwarding) avoided() []string {
	now := f.box.clock.Monotonic()
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.avoidUntilMs, func(_ string, untilMs clock.Millis) bool { return now >= untilMs })
	return slices.Collect(maps.Keys(f.avoidUntilMs))
}

// client returns the client of the box at an address.
func (f *forwarding) client(address string) *upstream.Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.clients[address]
	if c == nil {
		c = &boxClient{Client: f.box.newClient(address)}
		f.clients[address] = c
	}
	c.usedMs = f.box.clock.Monotonic()
	return c.Client
}

// expire closes connections to other boxes that were not used for some time.
func (f *forwarding) expire() {
	now := f.box.clock.Monotonic()
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, c := range f.clients {
		c.CloseExpired()
		if now-c.usedMs > boxClientTTLMs {
			c.Close()
			delete(f.clients, address)
		}
	}
}

// run tracks which pools this box can reach until the context ends.
func (f *forwarding) run(ctx context.Context) {
	var probing sync.WaitGroup
	defer probing.Wait()
	f.box.clock.Every(ctx, reachabilityIntervalMs, func(clock.Millis) {
		f.box.pauseDetector.check()
		for _, client := range f.box.balance.ReachabilityProbes() {
			probing.Go(func() { guard.Do("reachability probe", func() { client.ProbeReachable(ctx) }) })
		}
		f.stalled.check(ctx, &probing)
		f.recordUnreachable(f.box.balance.Unreachable())
	})
}

// recordUnreachable records which pools this box can't reach, and logs the changes.
func (f *forwarding) recordUnreachable(pools []string) {
	now := f.box.clock.Monotonic()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, pool := range pools {
		if _, known := f.unreachableSinceMs[pool]; !known {
			f.unreachableSinceMs[pool] = now
			f.box.log.Record(decision.Dependency{Dependency: dependencyPool, ID: pool, Unavailable: true})
		}
	}
	for _, pool := range slices.Sorted(maps.Keys(f.unreachableSinceMs)) {
		if !slices.Contains(pools, pool) {
			f.box.log.Record(decision.Dependency{
				Dependency: dependencyPool, ID: pool, UnavailableMs: now - f.unreachableSinceMs[pool],
			})
			delete(f.unreachableSinceMs, pool)
		}
	}
}

const dependencyPool = "upstreams of a pool"

// unreachableMs returns for how long this box has known that it can't reach the upstreams of a pool.
func (f *forwarding) unreachableMs(pool string) clock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	sinceMs, known := f.unreachableSinceMs[pool]
	if !known {
		return 0
	}
	return f.box.clock.Monotonic() - sinceMs
}

// peersHandler serves other boxes: the state that they relay, and the requests that they forward.
func (b *Box) peersHandler() http.Handler {
	relayed := relay.Handler(b.routingState, b.registry, b.evacuations)
	return http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		if opaque.IsForwarded(hr.Header) {
			b.serveForwarded(w, hr)
			return
		}
		relayed.ServeHTTP(w, hr)
	})
}

// serveForwarded runs a request through the pipeline that another box has forwarded. The key, the route and the limits
// are checked anew, since the other box may know less.
func (b *Box) serveForwarded(w http.ResponseWriter, hr *http.Request) {
	hop, err := opaque.ParseHop(hr.Header)
	if err != nil {
		b.log.Record(decision.InputIgnored{Input: "request of another box", Err: err.Error()})
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r := b.newRequest(w, hr)
	r.FromBox, r.MinVersion = hop.Box, hop.Version
	r.Sent, r.SentBefore = hop.Sent, hop.Sent
	r.ForwardedOrigin = hop.Origin
	r.ArrivedMs -= hop.ElapsedMs
	b.metrics.RequestFromBox()
	b.serve(r)
}
