package gateway

import (
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/position"
	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/routing"
)

// Sink is where a source of routing state puts what it learns. Spans and
// instants are on the steady clock.
type Sink struct {
	// Wanted reports whether the source should read a stream now: other boxes may
	// read for this one.
	Wanted func(stream string) bool
	// ReadsForOthers reports whether other boxes depend on what the source reads.
	ReadsForOthers func() bool
	// Met tells of which era an answer of the store was.
	Met func(era int64)
	// Adopt takes a routing state, told in an era, into force if it is newer.
	Adopt func(s *routing.State, era int64)
	// Confirm says that the newest state that this source handed over last was the newest
	// there is at an instant, by an answer of an era.
	Confirm func(atMs clock.Millis, era int64)
	// Upstreams takes in changes.
	Upstreams func(changes []registry.Change)
	// AllUpstreams takes in all upstreams there are, as of a position.
	AllUpstreams func(all []registry.Change, at position.Position)
	// Position returns the newest position of the upstreams that is known.
	Position func() position.Position
	// Reached reports whether a read of some stream worked.
	Reached func(stream string, err error)
	// Ignored tells of an input that can't be used.
	Ignored func(input string, err error)
}

// afterReturnMs is how long after a store's return entries may still lapse for
// no other reason than its absence: upstreams write theirs within two seconds.
const afterReturnMs clock.Millis = 2300

// storeSink is the Sink of the store.
type storeSink struct {
	box    *Box
	source string

	mu      sync.Mutex
	version int64
	lost    map[string]clock.Millis
	backMs  clock.Millis
	// read are the streams that were read at least once, and when they last were.
	read map[string]clock.Millis
	// failedMs is when a read last failed.
	failedMs clock.Millis
}

func (b *Box) newStoreSink(source string) *storeSink {
	return &storeSink{box: b, source: source, lost: map[string]clock.Millis{}, read: map[string]clock.Millis{}}
}

func (s *storeSink) asSink() Sink {
	return Sink{
		Wanted: s.wanted, ReadsForOthers: s.box.peering.mesh.IsSource, Met: s.met, Adopt: s.adopt, Confirm: s.confirm,
		Upstreams: s.upstreams, AllUpstreams: s.allUpstreams,
		Position: s.box.registry.Position, Reached: s.reached, Ignored: s.box.Ignored,
	}
}

// readSince reports whether all streams were read since an instant.
func (s *storeSink) readSince(atMs clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, readMs := range s.read {
		if readMs < atMs {
			return false
		}
	}
	return len(s.read) > 0
}

// lostLookMs is how often a box that has lost the store, and that others tell all it
// needs, looks whether it could read for them again: each refused read is paid for.
const lostLookMs = 5 * clock.Second

// wanted reports whether a stream is to be read. A box that reads for nobody else and
// has lost the store tries one stream only until it is back.
func (s *storeSink) wanted(stream string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	needed := s.box.peering.needsStore(s.read[stream] > 0)
	if needed && s.box.peering.mesh.IsSource() {
		return true
	}
	for lost := range s.lost {
		if lost < stream {
			return false
		}
	}
	// A box that was turned away looks now and then, though it needs nothing.
	_, lost := s.lost[stream]
	return needed || lost && s.box.clock.Steady()-s.failedMs >= lostLookMs
}

func (s *storeSink) met(era int64) { s.box.meetEra(era, s.source) }

func (s *storeSink) adopt(state *routing.State, era int64) {
	s.mu.Lock()
	s.version = state.Version()
	s.mu.Unlock()
	s.box.adopt(state, era, s.source)
}

func (s *storeSink) confirm(atMs clock.Millis, era int64) {
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	s.box.belief.Confirm(routing.Confirmation{Version: version, Era: era, AtMs: atMs})
}

func (s *storeSink) upstreams(changes []registry.Change) {
	span := s.lapseSpan()
	for i := range changes {
		if !changes[i].Unusable {
			changes[i].LapseMs = span
		}
	}
	s.box.tellUpstreams(s.box.registry.Apply(changes), s.source)
}

func (s *storeSink) allUpstreams(all []registry.Change, at position.Position) {
	s.box.tellUpstreams(s.box.registry.Replace(all, at, s.lapseSpan()), s.source)
}

// lapseSpan is how long an entry that disappears now may come back: only the
// store's own absence makes entries of living upstreams disappear.
func (s *storeSink) lapseSpan() clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	lapseMs := timingOf(s.box.Settings()).lapseMs
	if len(s.lost) > 0 {
		return lapseMs
	}
	backMs := max(s.backMs, s.box.restoredMs())
	if backMs == 0 {
		return 0
	}
	return max(0, min(lapseMs, backMs+afterReturnMs-s.box.clock.Steady()))
}

// reached notes when a stream of the store is lost and when it is back.
func (s *storeSink) reached(stream string, err error) {
	now := s.box.clock.Steady()
	s.mu.Lock()
	if err != nil {
		s.failedMs = now
	} else {
		s.read[stream] = now
	}
	since, away := s.lost[stream]
	event := decision.Dependency{Dependency: s.source, ID: stream}
	switch {
	case err != nil && !away:
		s.lost[stream] = now
		event.Lost, event.Err = true, err.Error()
	case err == nil && away:
		delete(s.lost, stream)
		s.backMs = now
		event.AwayMs = now - since
	default:
		s.mu.Unlock()
		return
	}
	s.box.storeLost.Store(len(s.lost) > 0)
	s.mu.Unlock()
	s.box.log.Tell(event)
}

func (b *Box) adopt(state *routing.State, era int64, source string) {
	if !b.belief.Adopt(state, era) {
		return
	}
	b.log.Tell(decision.StateAdopted{Version: state.Version(), Source: source, Routes: state.RouteCount()})
	b.noteLearnt()
	b.peering.mesh.Broadcast()
}

// tellUpstreams tells the log and the other boxes of changes that were news.
func (b *Box) tellUpstreams(news []registry.Change, source string) {
	for _, c := range news {
		b.log.Tell(decision.UpstreamChanged{
			Upstream: c.Upstream.ID, Pool: c.Upstream.Pool, Address: c.Upstream.Address,
			State: stateOf(c), Source: source,
		})
	}
	b.endings.changed(news)
	if len(news) > 0 {
		b.noteLearnt()
		b.peering.mesh.Broadcast()
	}
}

func stateOf(c registry.Change) string {
	switch {
	case c.Gone:
		return "gone"
	case c.Upstream.Draining:
		return "draining"
	default:
		return "taking work"
	}
}
