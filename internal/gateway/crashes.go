package gateway

import (
	"context"
	"slices"
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/pipe/dispatch"
	"dooryard.example/dooryard/internal/quarantine"
	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/upstream"
)

const (
	// waitingObservations is how many observations wait to be taken in: more than one
	// upstream carries for a box. Beyond that they are left out.
	waitingObservations = 256
	// maxSuspects bounds the suspects of one upstream, likewise.
	maxSuspects = 256
	// gatherBreaksMs is how long the connections that an upstream's end breaks take to show
	// on a box: within 2 ms in lines of six boxes.
	gatherBreaksMs clock.Millis = 5
	// silentEndMs is how long after a connection broke the upstream's entry may disappear
	// for the two to be one end: some three times as long as an entry outlives its upstream.
	silentEndMs = 10 * clock.Second
	// endAfterMs is how long after a request was given up the box looks whether the upstream
	// ended under it: upstreams ended 3 ms to 65 ms after they had begun to run one.
	endAfterMs clock.Millis = 100
	// givenUpMs is how long before its end was noticed a request may have been given up
	// that an upstream ended under: the box looked, or another request found out.
	givenUpMs = clock.Second
)

// suspect is a request that an upstream may have ended under.
type suspect struct {
	fingerprint quarantine.Fingerprint
	upstream    registry.Upstream
	atMs        clock.Millis
	// givenUp is set when the box had closed the connection before.
	givenUp bool
}

// suspects are the requests that an upstream may have ended under.
type suspects struct {
	list []suspect
	// probing is set while the box finds out whether the upstream has ended.
	probing bool
}

// endings finds out which upstreams have ended under requests. A host that refuses
// connections right after some broke shows it at once; one that says nothing shows it when
// the upstream's entry disappears. A connection that was only reset opens again.
type endings struct {
	box      *Box
	observed chan dispatch.Observation

	mu sync.Mutex
	// byID are the suspects of the last silentEndMs, by the ID of the upstream.
	byID map[string]*suspects
}

func newEndings(b *Box) *endings {
	return &endings{
		box: b, observed: make(chan dispatch.Observation, waitingObservations), byID: map[string]*suspects{},
	}
}

// observe takes what an attempt showed. It never blocks.
func (e *endings) observe(o dispatch.Observation) {
	select {
	case e.observed <- o:
	default:
	}
}

// run takes in what attempts show until the context ends.
func (e *endings) run(ctx context.Context) {
	var probing sync.WaitGroup
	defer probing.Wait()
	for {
		select {
		case o := <-e.observed:
			switch {
			case o.Sign == dispatch.Refused:
				e.ended(o.Member.ID, "", true)
			case e.note(o):
				probing.Go(func() { e.probe(ctx, o) })
			}
		case <-ctx.Done():
			return
		}
	}
}

// note notes a suspect and reports whether the upstream must be probed.
func (e *endings) note(o dispatch.Observation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.byID[o.Member.ID]
	if known == nil {
		known = &suspects{}
		e.byID[o.Member.ID] = known
	}
	givenUp := o.Sign == dispatch.GivenUp
	if len(known.list) < maxSuspects {
		known.list = append(known.list, suspect{
			fingerprint: o.Fingerprint, upstream: o.Member.Identity(), atMs: e.box.clock.Steady(), givenUp: givenUp,
		})
	}
	first := !known.probing
	known.probing = true
	return first
}

// probe finds out whether an upstream has ended.
func (e *endings) probe(ctx context.Context, o dispatch.Observation) {
	member, wait := o.Member, gatherBreaksMs
	if o.Sign == dispatch.GivenUp {
		wait = endAfterMs
	}
	for again := true; again; {
		// The context's end shows at the connection.
		_ = e.box.clock.Sleep(ctx, wait)
		beganMs := e.box.clock.Steady()
		found := member.Client().Liveness(ctx)
		again = e.probed(member.ID, found, beganMs) && ctx.Err() == nil
		if found == upstream.Ended || !e.box.registry.Has(member.Identity()) {
			e.ended(member.ID, "", found == upstream.Ended)
		}
	}
}

// probed takes in what a probe of an upstream found. One that lives has not ended under the
// requests whose connections broke before; one that says nothing may have ended under those
// that were given up for its silence. It reports whether connections have broken since, so that
// the upstream must be probed again.
func (e *endings) probed(id string, found upstream.Liveness, beganMs clock.Millis) (again bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.byID[id]
	if known == nil {
		return false
	}
	switch found {
	case upstream.Alive:
		known.list = slices.DeleteFunc(known.list, func(s suspect) bool { return !s.givenUp && s.atMs < beganMs })
		again = slices.ContainsFunc(known.list, func(s suspect) bool { return !s.givenUp })
	case upstream.Silent:
		for i := range known.list {
			known.list[i].givenUp = false
		}
	case upstream.Ended:
	}
	known.probing = again
	return again
}

// changed takes in changes of the upstreams: an entry that has disappeared, and one whose
// server has started again, show that what ran there before has ended.
func (e *endings) changed(changes []registry.Change) {
	for _, c := range changes {
		successor := c.Upstream.Incarnation()
		if c.Gone {
			successor = ""
		}
		e.ended(c.Upstream.ID, successor, false)
	}
}

// ended takes in that the lives of an upstream have ended, but for its successor, or all when
// that is empty; justNow is set when they did a short while ago.
func (e *endings) ended(id, successor string, justNow bool) {
	list := e.take(id, successor, justNow)
	if len(list) == 0 {
		return
	}
	names, held := make([]string, 0, len(list)), false
	for _, s := range list {
		names = append(names, s.fingerprint.String())
		if e.box.quarantine.Ended(s.fingerprint, s.upstream.Key()) {
			held = true
			e.tellHeld(s.fingerprint, "this box")
		}
	}
	e.box.metrics.UpstreamEnded()
	e.box.log.Tell(decision.UpstreamEnded{Upstream: list[0].upstream.Incarnation(), Fingerprints: names})
	if held {
		e.box.peering.mesh.BroadcastEndings()
	}
}

// take returns the suspects of an upstream's lives but its successor's, and forgets them. Of
// those that were given up these are the newest, if it ended just now.
func (e *endings) take(id, successor string, justNow bool) []suspect {
	now := e.box.clock.Steady()
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.byID[id]
	if known == nil {
		return nil
	}
	taken, kept := []suspect{}, []suspect{}
	for _, s := range known.list {
		switch {
		case successor != "" && s.upstream.Incarnation() == successor:
			kept = append(kept, s)
		case !s.givenUp || justNow && now-s.atMs <= givenUpMs:
			taken = append(taken, s)
		case known.probing:
			// The probe reports whether the host is silent.
			kept = append(kept, s)
		}
	}
	known.list = kept
	return taken
}

// answered takes in that an upstream answered a fingerprint whole.
func (e *endings) answered(fingerprint quarantine.Fingerprint) {
	if e.box.quarantine.Answered(fingerprint) {
		e.box.log.Tell(decision.Quarantined{Fingerprint: fingerprint.String(), Source: "this box"})
	}
}

// learn takes in what another box tells.
func (e *endings) learn(list []quarantine.Ending) { e.learnFrom("another box", list) }

func (e *endings) learnFrom(source string, list []quarantine.Ending) {
	for _, fingerprint := range e.box.quarantine.Learn(list, e.box.peering.mesh.Large()) {
		e.tellHeld(fingerprint, source)
	}
}

func (e *endings) tellHeld(fingerprint quarantine.Fingerprint, source string) {
	e.box.log.Tell(decision.Quarantined{
		Fingerprint: fingerprint.String(), Upstreams: e.box.quarantine.Settings().Ends,
		HoldMs: e.box.quarantine.HeldMs(fingerprint), Source: source,
	})
}

// expire forgets suspects that can't be laid to an end any more.
func (e *endings) expire() {
	oldest := e.box.clock.Steady() - silentEndMs
	e.mu.Lock()
	defer e.mu.Unlock()
	for upstream, known := range e.byID {
		known.list = slices.DeleteFunc(known.list, func(s suspect) bool { return s.atMs < oldest })
		if len(known.list) == 0 && !known.probing {
			delete(e.byID, upstream)
		}
	}
}
