package gateway

import (
	"math/rand/v2"
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/evacuation"
	"dooryard.example/dooryard/internal/position"
	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/routing"
)

// Sink receives what a source of routing state reads. Durations and instants are those of the monotonic clock.
type Sink struct {
	// ShouldRead reports whether the source should read a stream now. A read is not needed while other boxes read for
	// this one.
	ShouldRead func(stream string) bool
	// RelaysReads reports whether other boxes depend on what the source reads.
	RelaysReads func() bool
	// MaxRetryMs returns the longest delay between two failed reads of a box on which no other box depends.
	MaxRetryMs func() clock.Millis
	// ObserveEra reports the era of a response of the store.
	ObserveEra func(era int64)
	// Adopt applies a routing state that was read in an era, if it is newer than the current one.
	Adopt func(s *routing.State, era int64)
	// Confirm reports that the state last passed to Adopt was still the newest at an instant, according to a response of
	// the store in an era.
	Confirm func(atMs clock.Millis, era int64)
	// Upstreams applies the changes of the upstreams that a read without a gap has shown, up to a position. At the
	// instant confirmedMs there were none after it, unless it is 0.
	Upstreams func(changes []registry.Change, upTo position.Position, confirmedMs clock.Millis)
	// AllUpstreams replaces the list of upstreams with the complete list as of a position. At the instant confirmedMs
	// there were no changes after it.
	AllUpstreams func(all []registry.Change, at position.Position, confirmedMs clock.Millis)
	// Evacuations applies changes of the evacuated failure domains.
	Evacuations func(changes []evacuation.Change)
	// AllEvacuations replaces the evacuated failure domains with the complete list as of a position.
	AllEvacuations func(all evacuation.Update)
	// Position returns the position of the newest known change of the upstreams.
	Position func() position.Position
	// ReportRead reports the result of a read of a stream; the error is nil if it succeeded.
	ReportRead func(stream string, err error)
	// ReportInvalidInput reports an invalid input.
	ReportInvalidInput func(input string, err error)
}

// recoveryGraceMs is how long after the recovery of a store the entries of running upstreams may still be missing
// because the store was unavailable. Upstreams rewrite their entries within two seconds.
const recoveryGraceMs clock.Millis = 2300

// storeSink applies what a source reads from the store.
type storeSink struct {
	box    *Box
	source string

	mu               sync.Mutex
	version          int64
	unavailableSince map[string]clock.Millis
	recoveredMs      clock.Millis
	// lastReadMs holds the time of the last successful read of each stream that was read at least once.
	lastReadMs map[string]clock.Millis
	// lastFailureMs is when a read last failed.
	lastFailureMs clock.Millis
}

func (b *Box) newStoreSink(source string) *storeSink {
	return &storeSink{
		box: b, source: source,
		unavailableSince: map[string]clock.Millis{}, lastReadMs: map[string]clock.Millis{},
	}
}

func (s *storeSink) asSink() Sink {
	return Sink{
		ShouldRead: s.shouldRead, RelaysReads: s.box.peering.mesh.IsStoreReader, MaxRetryMs: s.maxRetryMs,
		ObserveEra: s.observeEra,
		Adopt:      s.adopt, Confirm: s.confirm,
		Upstreams: s.upstreams, AllUpstreams: s.allUpstreams,
		Evacuations: s.box.evacuations.Apply, AllEvacuations: s.box.evacuations.Merge,
		Position: s.box.registry.Position, ReportRead: s.reportRead, ReportInvalidInput: s.box.ReportInvalidInput,
	}
}

// readSince reports whether all known streams were read since an instant.
func (s *storeSink) readSince(atMs clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, readMs := range s.lastReadMs {
		if readMs < atMs {
			return false
		}
	}
	return len(s.lastReadMs) > 0
}

// unavailableStoreRetryMs is how often a box that can't read the store, but gets everything from other boxes, retries
// the store so that it can read for others again. The interval is long because each refused read is charged for.
const unavailableStoreRetryMs = 5 * clock.Second

// shouldRead reports whether a stream is to be read. A box that does not read for others and can't read the store tries
// only one stream until the store is available again.
func (s *storeSink) shouldRead(stream string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	needed := s.box.peering.needsStoreRead(s.lastReadMs[stream] > 0)
	if needed && s.box.peering.mesh.IsStoreReader() {
		return true
	}
	for other := range s.unavailableSince {
		if other < stream {
			return false
		}
	}
	// A box whose last read failed retries from time to time, even if it needs nothing.
	_, unavailable := s.unavailableSince[stream]
	return needed || unavailable && s.box.clock.Monotonic()-s.lastFailureMs >= unavailableStoreRetryMs
}

const (
	// minRetryDelayLimitMs is the least value of maxRetryMs.
	minRetryDelayLimitMs clock.Millis = 2000
	// retrySpacingMs is the mean time between two failed reads by the boxes of a failure domain together. When the
	// store accepts some of them again, one that it accepts finds out within about this time and reads for the others.
	retrySpacingMs clock.Millis = 250
)

// maxRetryMs returns the longest delay between two failed reads of a box on which no other box depends. It grows with
// the failure domain, since each failed read is charged for, and varies, since all boxes lose the store at once.
func (s *storeSink) maxRetryMs() clock.Millis {
	spreadMs := retrySpacingMs * clock.Millis(s.box.peering.mesh.DomainBoxes())
	return max(minRetryDelayLimitMs, spreadMs/2+rand.N(spreadMs))
}

func (s *storeSink) observeEra(era int64) { s.box.observeEra(era, s.source) }

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
	s.box.confirm(routing.Confirmation{Version: version, Era: era, AtMs: atMs})
}

func (s *storeSink) upstreams(changes []registry.Change, upTo position.Position, confirmedMs clock.Millis) {
	span := s.removalGrace()
	for i := range changes {
		if !changes[i].Unusable {
			changes[i].GraceMs = span
		}
	}
	known := s.box.registry
	s.box.announceUpstreams(known.ApplyUpTo(changes, upTo), s.source)
	known.Confirm(upTo, confirmedMs)
}

func (s *storeSink) allUpstreams(all []registry.Change, at position.Position, confirmedMs clock.Millis) {
	s.box.announceUpstreams(s.box.registry.ApplySnapshot(all, at, s.removalGrace()), s.source)
	s.box.registry.Confirm(at, confirmedMs)
}

// removalGrace returns how long an entry that disappears now may reappear before its upstream is removed. Entries of
// running upstreams disappear only because the store was unavailable or restored.
func (s *storeSink) removalGrace() clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	removalGraceMs := timingOf(s.box.Settings()).removalGraceMs
	if len(s.unavailableSince) > 0 {
		return removalGraceMs
	}
	recoveredMs := max(s.recoveredMs, s.box.restoredMs())
	if recoveredMs == 0 {
		return 0
	}
	return max(0, min(removalGraceMs, recoveredMs+recoveryGraceMs-s.box.clock.Monotonic()))
}

// reportRead records the result of a read, and logs when a stream of the store becomes unavailable or available again.
func (s *storeSink) reportRead(stream string, err error) {
	now := s.box.clock.Monotonic()
	s.mu.Lock()
	if err != nil {
		s.lastFailureMs = now
	} else {
		s.lastReadMs[stream] = now
	}
	since, wasUnavailable := s.unavailableSince[stream]
	event := decision.Dependency{Dependency: s.source, ID: stream}
	switch {
	case err != nil && !wasUnavailable:
		s.unavailableSince[stream] = now
		event.Unavailable, event.Err = true, err.Error()
	case err == nil && wasUnavailable:
		delete(s.unavailableSince, stream)
		s.recoveredMs = now
		event.UnavailableMs = now - since
	default:
		s.mu.Unlock()
		return
	}
	s.box.storeUnavailable.Store(len(s.unavailableSince) > 0)
	s.mu.Unlock()
	s.box.log.Record(event)
}

// adopt applies a routing state if it is newer, logs it and notifies the other boxes.
func (b *Box) adopt(state *routing.State, era int64, source string) {
	if !b.routingState.Adopt(state, era) {
		return
	}
	b.balance.SetColdStarts(coldStarts(b.routingState.State()))
	b.origins.observeRoutes(state)
	b.log.Record(decision.StateAdopted{Version: state.Version(), Source: source, Routes: state.RouteCount()})
	b.updateSynced()
	b.peering.mesh.Broadcast()
}

// announceUpstreams logs changes of the upstreams that were applied, passes them to the crash detector and notifies the
// other boxes.
func (b *Box) announceUpstreams(changes []registry.Change, source string) {
	for _, c := range changes {
		b.log.Record(decision.UpstreamChanged{
			Upstream: c.Upstream.ID, Pool: c.Upstream.Pool, Address: c.Upstream.Address,
			SoftwareVersion: c.Upstream.SoftwareVersion,
			State:           upstreamState(c), ColdMs: c.Upstream.ColdMs, Source: source,
		})
	}
	b.crashDetector.handleChanges(changes)
	if len(changes) > 0 {
		b.updateSynced()
		b.peering.mesh.Broadcast()
	}
}

// upstreamState returns the state after a change, as written to the log.
func upstreamState(c registry.Change) string {
	switch {
	case c.Removed:
		return "gone"
	case c.Upstream.Draining:
		return "draining"
	default:
		return "taking work"
	}
}
