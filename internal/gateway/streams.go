package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/routing"
	"dooryard.example/dooryard/internal/streams"
)

// streamOrigins finds out, with the other boxes, which software version began a stream that a caller takes up. While a
// pool has run one version for streams.WindowMs, the boxes tell each other nothing.
type streamOrigins struct {
	box      *Box
	ledger   *streams.Ledger
	versions *streams.Versions

	// routesChangedMs is when the pools of streaming routes last changed.
	routesChangedMs atomic.Int64
	mu              sync.Mutex
	// routePools are the pools of the streaming routes, by host and path prefix.
	routePools map[string]string
}

func newStreamOrigins(b *Box) *streamOrigins {
	return &streamOrigins{
		box: b, ledger: streams.NewLedger(b.clock.Monotonic), versions: streams.NewVersions(b.clock.Monotonic),
	}
}

// observeUpstreams records the versions of the upstreams, and those that changes name even if no upstream runs them any
// more. If a pool has got a second version, the box tells the origins of its recent streams. If an upstream has
// restarted at another version, it retracts those that may be of either.
func (o *streamOrigins) observeUpstreams(changes []registry.Change, list []registry.Upstream) {
	// A version that came and went must be known before any stream goes on at the new list.
	mixed := o.versions.ObserveChanges(changes)
	observed := o.versions.Observe(list)
	for _, upstream := range observed.Replaced {
		o.tell(o.ledger.Retract(upstream))
	}
	for _, pool := range slices.Concat(mixed, observed.Mixed) {
		o.tellUntold(pool)
	}
}

// observeRoutes records the pools of the streaming routes. If they have changed, the box tells the origins of its
// recent streams, because these can't be found out from the routes any more.
func (o *streamOrigins) observeRoutes(state *routing.State) {
	pools := map[string]string{}
	for _, r := range state.Content().Routes {
		if r.Kind != routing.Stream {
			continue
		}
		name := ""
		for _, s := range r.Splits {
			name += s.Pool + "\x00"
		}
		pools[r.Host+"\x00"+r.PathPrefix] = name
	}
	o.mu.Lock()
	changed := !maps.Equal(o.routePools, pools)
	o.routePools = pools
	o.mu.Unlock()
	if !changed {
		return
	}
	o.routesChangedMs.Store(int64(o.box.clock.Monotonic()))
	for _, pool := range state.Content().Pools {
		o.tellUntold(pool.Name)
	}
}

// tellUntold tells the origins of this box's streams of a pool that it has not told yet.
func (o *streamOrigins) tellUntold(pool string) { o.tell(o.ledger.TakeUntold(pool)) }

func (o *streamOrigins) tell(records []streams.Record) {
	if len(records) > 0 {
		o.box.peering.mesh.TellOrigins(records)
	}
}

// tellAll tells the origins of all streams of this box that it has not told yet.
func (o *streamOrigins) tellAll() {
	if state := o.box.routingState.State(); state != nil {
		for _, pool := range state.Content().Pools {
			o.tellUntold(pool.Name)
		}
	}
}

// isMixed reports whether a pool runs several software versions, or did so a short time ago.
func (o *streamOrigins) isMixed(pool string) bool {
	_, _, sole := o.versions.Sole(pool)
	return !sole
}

// record keeps the origin of a stream of this box, and tells it unless others can find it out. If it is doubtful, the
// request has none.
func (o *streamOrigins) record(r *opaque.Request) {
	id := streams.IDOf(r.StreamID())
	if r.Origin == nil {
		doubtful := streams.Record{ID: id, Origin: streams.Unknown}
		o.ledger.Add(doubtful)
		o.tell([]streams.Record{doubtful})
		return
	}
	origin := *r.Origin
	evident := len(r.Route.Splits) == 1 && o.isEvident(origin)
	switch {
	case !o.ledger.AddOwn(id, origin, r.Upstream, !evident):
	case !evident:
		o.tell([]streams.Record{{ID: id, Origin: origin.Key()}})
	case !o.isEvident(origin):
		// A second version appeared meanwhile, and the record may have been added too late to be told.
		o.tellUntold(origin.Pool)
	}
}

// retracted reports whether the origin of the stream of a request turned out to be doubtful.
func (o *streamOrigins) retracted(r *opaque.Request) bool {
	return o.ledger.Retracted(streams.IDOf(r.StreamID()))
}

// isEvident reports whether the pool has had no other origin for the whole window.
func (o *streamOrigins) isEvident(origin streams.Origin) bool {
	v := o.view(origin.Pool)
	return v.Complete && v.Sole == origin.Key()
}

// view returns what this box knows about the versions of a pool.
func (o *streamOrigins) view(pool string) streams.View {
	b := o.box
	sole, complete, found := o.versions.Sole(pool)
	if !found {
		return streams.View{}
	}
	settings := b.settings.Load()
	// A read of the list of upstreams confirms it as of when it was sent, and the next one may wait as long.
	maxAgeMs := clock.Millis(settings.Freshness.MaxPropagationMs) + 2*UpstreamsPollMs(*settings)
	stable := b.clock.Monotonic()-clock.Millis(o.routesChangedMs.Load()) >= streams.WindowMs
	return streams.View{
		Sole: sole.Key(), Complete: complete && stable,
		Fresh: !b.stateMayBeOutdated() && b.clock.Monotonic()-b.registry.ConfirmedMs() <= maxAgeMs,
	}
}

// answer answers the question of another box about a stream.
func (o *streamOrigins) answer(id streams.ID, pool namekey.Key) streams.Answer {
	a := streams.Answer{Origin: o.ledger.Origin(id)}
	if name, found := o.versions.PoolName(pool); found {
		a.View = o.view(name)
	}
	return a
}

// find returns the origin of the stream that a request takes up, or streams.Unknown.
func (o *streamOrigins) find(ctx context.Context, r *opaque.Request) streams.OriginKey {
	startMs := o.box.clock.Monotonic()
	event := decision.StreamTakenUp{Request: r.ID, Resumes: r.ResumedID(), Pool: r.Pool, After: r.LastEventID()}
	id := takenUpID(r)
	key := o.ledger.Origin(id)
	if key != streams.Unknown {
		event.Known = true
	} else {
		inquiry := o.inquire(ctx, r, id)
		key = inquiry.Origin()
		event.Answers, event.AllDomains = len(inquiry.Answers), inquiry.AllDomains
		event.OneVersion, event.Fresh = inquiry.Own.Sole != streams.Unknown, inquiry.Own.Fresh
		event.Complete, event.RunningMs = inquiry.Complete(), startMs-o.box.peering.startedMs
	}
	if origin, found := o.versions.Find(key, r.Pools()); found {
		event.SoftwareVersion = origin.Version
	}
	event.Unknown, event.TookMs = key == streams.Unknown, o.box.clock.Monotonic()-startMs
	o.box.log.Record(event)
	return key
}

// takenUpID returns the ID of the stream that a request takes up. If the caller names no stream, it is an ID of which
// nobody has a record, since no request ID contains a zero byte.
func takenUpID(r *opaque.Request) streams.ID {
	if r.ResumedID() == "" {
		return streams.IDOf("\x00" + r.ID)
	}
	return streams.IDOf(r.ResumedID())
}

// inquire asks other boxes for the origin of the stream that a request takes up, and for their views of its pool.
func (o *streamOrigins) inquire(ctx context.Context, r *opaque.Request, id streams.ID) streams.Inquiry {
	i := streams.Inquiry{}
	i.Answers, i.AllDomains = o.box.peering.mesh.AskOrigin(ctx, id, namekey.Of(r.Pool))
	if len(r.Route.Splits) == 1 {
		// On a split route, the stream may have begun in any of the pools.
		i.Own = o.view(r.Pool)
	}
	return i
}
