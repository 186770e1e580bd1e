package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/guard"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/pipe/dispatch"
	"dooryard.example/dooryard/internal/quarantine"
	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/upstream"
)

const (
	// observationQueueSize is the length of the observation queue. It exceeds the number of requests that one upstream
	// runs for a box, so the queue can hold all observations of one crash. Observations that do not fit are dropped.
	observationQueueSize = 256
	// maxSuspectsPerUpstream is the maximum number of suspects kept for one upstream. It also exceeds the number of
	// requests that one upstream runs for a box.
	maxSuspectsPerUpstream = 256
	// breakSettleMs is how long a box waits for all connections to a crashed upstream to break. In the logs of six
	// boxes they broke within 2 ms.
	breakSettleMs clock.Millis = 5
	// suspectRetentionMs is the longest time between a broken connection and the removal of the upstream's registry
	// entry for both to be attributed to one crash. An entry outlives its upstream by about a third of this time.
	suspectRetentionMs = 10 * clock.Second
	// lateProbeDelayMs is the delay between abandoning a request, or a probe that found the upstream alive, and probing
	// whether the upstream crashed while running the request. Upstreams crashed 3 ms to 65 ms after they had started to
	// run such a request.
	lateProbeDelayMs clock.Millis = 100
	// maxUncertainAgeMs is the maximum time between the end of an uncertain suspect's attempt and detecting a crash for
	// the crash to be attributed to that request. It applies whether a probe or another request detected the crash.
	maxUncertainAgeMs = clock.Second
)

// Sources of crash reports, in logs.
const (
	thisBox    = "this box"
	anotherBox = "another box"
)

// suspect is a request that may have crashed an upstream.
type suspect struct {
	fingerprint quarantine.Fingerprint
	parts       quarantine.Parts
	upstream    registry.Upstream
	atMs        clock.Millis
	// sentMs is when the request was sent.
	sentMs clock.Millis
	// uncertain is set if this box closed the connection first, or if the upstream accepted a connection after this one
	// broke. Its process may end a moment later.
	uncertain bool
	// inProgress is set if the request is still at the upstream, which has not begun to respond.
	inProgress bool
	// answeredStatus is the status of an unframed response that looks complete, or 0.
	answeredStatus int
}

// suspects holds the requests that may have crashed one upstream.
type suspects struct {
	list []suspect
	// probing is set while a probe checks whether the upstream has crashed.
	probing bool
}

// crashDetector detects upstreams that crashed while they ran requests. If the host refuses new connections or doesn't
// respond right after some broke or timed out, the upstream has crashed, unless other upstreams don't accept them
// either: then this box is partitioned from them. A crash is also detected when the upstream's registry entry
// disappears. If new connections open twice, the broken ones were only reset and the upstream has not crashed.
type crashDetector struct {
	box      *Box
	observed chan dispatch.Observation

	mu sync.Mutex
	// byID holds the suspects of the last suspectRetentionMs, by upstream ID.
	byID map[string]*suspects
	// inFlight holds the attempts that have not ended, by upstream ID.
	inFlight map[string]map[*dispatch.Observation]struct{}
}

func newCrashDetector(b *Box) *crashDetector {
	return &crashDetector{
		box: b, observed: make(chan dispatch.Observation, observationQueueSize), byID: map[string]*suspects{},
		inFlight: map[string]map[*dispatch.Observation]struct{}{},
	}
}

// track records an attempt until the returned function is called.
func (d *crashDetector) track(o dispatch.Observation) (done func()) {
	id, attempt := o.Member.ID, &o
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inFlight[id] == nil {
		d.inFlight[id] = map[*dispatch.Observation]struct{}{}
	}
	d.inFlight[id][attempt] = struct{}{}
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.inFlight[id], attempt)
		if len(d.inFlight[id]) == 0 {
			delete(d.inFlight, id)
		}
	}
}

// observeRemoval queues observations of the attempts at an upstream whose entry was removed, except those at its
// successor. A host that went silent closes no connection, so this is the first sign of its crash.
func (d *crashDetector) observeRemoval(id, successor string) {
	d.mu.Lock()
	attempts := slices.Collect(maps.Keys(d.inFlight[id]))
	d.mu.Unlock()
	for _, attempt := range attempts {
		if successor == "" || attempt.Member.Identity().Incarnation() != successor {
			o := *attempt
			o.Evidence = dispatch.UpstreamRemoved
			d.observe(o)
		}
	}
}

// observe queues the observation of an attempt. It never blocks.
func (d *crashDetector) observe(o dispatch.Observation) {
	select {
	case d.observed <- o:
	default:
	}
}

// run processes queued observations until the context ends.
func (d *crashDetector) run(ctx context.Context) {
	var probing sync.WaitGroup
	defer probing.Wait()
	for {
		select {
		case o := <-d.observed:
			switch {
			case o.Evidence == dispatch.ConnectionRefused && d.hasSuspects(o.Member.ID):
				probing.Go(func() { guard.Do("check of an upstream", func() { d.checkRefusal(ctx, o) }) })
			case o.Evidence == dispatch.ConnectionRefused:
			case d.addSuspect(o):
				probing.Go(func() { guard.Do("probe of an upstream", func() { d.probeUpstream(ctx, o) }) })
			}
		case <-ctx.Done():
			return
		}
	}
}

// checkRefusal handles the crash of an upstream that refuses connections, unless its whole host is gone.
func (d *crashDetector) checkRefusal(ctx context.Context, o dispatch.Observation) {
	if !d.box.refusedByOthers(ctx, o.Member) {
		d.handleCrash(o.Member.ID, "", true)
	}
}

// hasSuspects reports whether requests may have crashed an upstream.
func (d *crashDetector) hasSuspects(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry := d.byID[id]
	return entry != nil && len(entry.list) > 0
}

// addSuspect records a suspect and reports whether the upstream must be probed.
func (d *crashDetector) addSuspect(o dispatch.Observation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry := d.byID[o.Member.ID]
	if entry == nil {
		entry = &suspects{}
		d.byID[o.Member.ID] = entry
	}
	uncertain := o.Evidence == dispatch.UpstreamRemoved || mayEndLater(o.Evidence)
	if len(entry.list) < maxSuspectsPerUpstream {
		entry.list = append(entry.list, suspect{
			fingerprint: o.Fingerprint, parts: o.Parts, upstream: o.Member.Identity(), atMs: d.box.clock.Monotonic(),
			sentMs: o.SentMs, uncertain: uncertain, inProgress: o.Evidence == dispatch.UpstreamSilent,
			answeredStatus: o.Status,
		})
	}
	first := !entry.probing
	entry.probing = true
	return first
}

// mayEndLater reports whether the process of an upstream may end some time after the evidence of its crash.
func mayEndLater(e dispatch.Evidence) bool {
	return e == dispatch.RequestAbandoned || e == dispatch.ResponseUnframed
}

// probeUpstream checks whether an upstream has crashed.
func (d *crashDetector) probeUpstream(ctx context.Context, o dispatch.Observation) {
	member, wait := o.Member, breakSettleMs
	if mayEndLater(o.Evidence) {
		wait = lateProbeDelayMs
	}
	for again := true; again; wait = lateProbeDelayMs {
		// The error is ignored because the probe below fails too if the context has ended.
		_ = d.box.clock.Sleep(ctx, wait)
		found, crashed := d.box.probeCrash(ctx, member)
		answered, probeAgain := d.handleProbeResult(member.ID, found)
		for _, s := range answered {
			d.handleAnswer(s.fingerprint, s.parts, s.answeredStatus)
		}
		again = probeAgain && ctx.Err() == nil
		if crashed || !d.box.registry.Has(member.Identity()) {
			d.handleCrash(member.ID, "", crashed)
		}
	}
}

// handleProbeResult processes the result of a probe. If the upstream is alive, the suspects whose connections broke
// become uncertain, and the upstream must be probed again, since its process may end a moment later. Requests that it
// still runs are no suspects then. If the upstream does not respond, requests may have been abandoned because it had
// already stopped responding, so any uncertain request may have crashed it, and all are treated like requests whose
// connections broke. handleProbeResult returns the suspects whose unframed responses were complete, and whether the
// upstream must be probed again.
func (d *crashDetector) handleProbeResult(id string, found upstream.Liveness) (answered []suspect, again bool) {
	now := d.box.clock.Monotonic()
	d.mu.Lock()
	defer d.mu.Unlock()
	entry := d.byID[id]
	if entry == nil {
		return nil, false
	}
	switch found {
	case upstream.Alive:
		entry.list = slices.DeleteFunc(entry.list, func(s suspect) bool {
			outlived := s.answeredStatus > 0 && now-s.atMs >= lateProbeDelayMs
			if outlived {
				answered = append(answered, s)
			}
			return outlived || s.inProgress
		})
		for i, s := range entry.list {
			if !s.uncertain || s.answeredStatus > 0 {
				entry.list[i].uncertain, again = true, true
			}
		}
	case upstream.Unresponsive:
		for i := range entry.list {
			entry.list[i].uncertain = false
		}
	case upstream.Dead:
	}
	entry.probing = again
	return answered, again
}

// handleChanges processes registry changes. If an entry has disappeared or its server has restarted, the previous
// incarnation has crashed.
func (d *crashDetector) handleChanges(changes []registry.Change) {
	for _, c := range changes {
		successor := c.Upstream.Incarnation()
		if c.Removed {
			successor = ""
		}
		d.handleCrash(c.Upstream.ID, successor, false)
		d.observeRemoval(c.Upstream.ID, successor)
	}
}

// handleCrash processes the crash of an upstream. It applies to all incarnations of the upstream except successor, the
// one that replaced them, or to all if successor is empty. recent is set if the upstream crashed a short time ago.
func (d *crashDetector) handleCrash(id, successor string, recent bool) {
	list := d.removeSuspects(id, successor, recent)
	if len(list) == 0 {
		return
	}
	fingerprints := make([]string, 0, len(list))
	urgent := d.recordPartCrashes(list)
	now := d.box.clock.Monotonic()
	for _, s := range list {
		fingerprints = append(fingerprints, s.fingerprint.String())
		d.box.balance.RecordCrash(s.upstream.Key(), now)
		// Other boxes must not take up streams there, where another version may run from now on.
		urgent = urgent || d.box.origins.isMixed(s.upstream.Pool)
		if d.box.quarantine.RecordCrash(s.fingerprint, s.upstream.Key()) {
			urgent = true
			d.logQuarantined(s.fingerprint, thisBox)
		}
	}
	d.box.metrics.UpstreamCrashed()
	d.box.log.Record(decision.UpstreamCrashed{
		Upstream: list[0].upstream.Incarnation(), Fingerprints: fingerprints, Parts: partNames(list),
	})
	if urgent {
		d.box.peering.mesh.BroadcastCrashEvents()
	}
}

// removeSuspects removes and returns the suspects of all incarnations of an upstream except successor, whose suspects
// are kept. Of the uncertain suspects it returns only those of the last maxUncertainAgeMs, and only if the crash is
// recent. It keeps the other uncertain suspects while a probe runs, and drops them otherwise.
func (d *crashDetector) removeSuspects(id, successor string, recent bool) []suspect {
	now := d.box.clock.Monotonic()
	d.mu.Lock()
	defer d.mu.Unlock()
	entry := d.byID[id]
	if entry == nil {
		return nil
	}
	taken, kept := []suspect{}, []suspect{}
	for _, s := range entry.list {
		switch {
		case successor != "" && s.upstream.Incarnation() == successor:
			kept = append(kept, s)
		case !s.uncertain || recent && now-s.atMs <= maxUncertainAgeMs:
			taken = append(taken, s)
		case entry.probing:
			// The running probe will show whether the host responds.
			kept = append(kept, s)
		}
	}
	entry.list = kept
	return taken
}

// handleCompleted processes a complete response to a request.
func (d *crashDetector) handleCompleted(r *opaque.Request, status int) {
	d.handleAnswer(r.Fingerprint, r.Parts, status)
}

// handleAnswer processes a complete response to a request. If this ends a quarantine, it logs the release.
func (d *crashDetector) handleAnswer(fingerprint quarantine.Fingerprint, parts quarantine.Parts, status int) {
	if d.box.quarantine.RecordAnswer(fingerprint) {
		d.box.log.Record(decision.Quarantined{
			Fingerprint: fingerprint.String(), Quarantine: decision.Quarantine{Source: thisBox},
		})
	}
	if isPartAnswer(status) {
		d.recordPartAnswer(parts)
	}
}

// recordFromPeer processes crashes that another box reported.
func (d *crashDetector) recordFromPeer(list []quarantine.CrashEvent) {
	d.recordFrom(anotherBox, list, d.box.peering.mesh.IsLarge())
}

// recordFrom processes crashes from a source. If relay is set, this box passes each of them on to others.
func (d *crashDetector) recordFrom(source string, list []quarantine.CrashEvent, relay bool) {
	now := d.box.clock.Monotonic()
	for _, e := range list {
		d.box.balance.RecordCrash(e.Upstream, now-max(0, e.AgeMs))
	}
	for _, fingerprint := range d.box.quarantine.RecordEvents(list, relay) {
		d.logQuarantined(fingerprint, source)
	}
}

func (d *crashDetector) logQuarantined(fingerprint quarantine.Fingerprint, source string) {
	d.box.log.Record(decision.Quarantined{
		Fingerprint: fingerprint.String(), Quarantine: decision.Quarantine{
			Upstreams: d.box.quarantine.Settings().MinCrashes, HoldMs: d.box.quarantine.QuarantineRemainingMs(fingerprint),
			Source: source,
		},
	})
}

// expire removes suspects that are too old to be attributed to a crash.
func (d *crashDetector) expire() {
	oldest := d.box.clock.Monotonic() - suspectRetentionMs
	d.mu.Lock()
	defer d.mu.Unlock()
	for upstream, entry := range d.byID {
		entry.list = slices.DeleteFunc(entry.list, func(s suspect) bool { return s.atMs < oldest })
		if len(entry.list) == 0 && !entry.probing {
			delete(d.byID, upstream)
		}
	}
}
