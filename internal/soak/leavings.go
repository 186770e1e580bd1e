package soak

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"dooryard.example/dooryard/platform/standin"
)

// Keys are removed and servers leave all the time, while boxes are ended, frozen and replaced, and lose their ways to
// the store one by one and a failure domain at a time.
const (
	// leavingPlays is the number of plays of which a seed has one.
	leavingPlays = 4
	// leavingPageItems is the length of a page of the store's list, which the entries of the servers don't fit on.
	leavingPageItems = 4
	// leavingSpan is how long servers serve on after they began to leave: longer than a box that starts is out of touch.
	leavingSpan = 9 * time.Second
	// Servers leave in turn, so that each has returned before it leaves again.
	minLeavingGapMs, leavingGapMs = 1200, 1200
	minRemovalGapMs, removalGapMs = 300, 900
	// One request in removedKeyOneIn has a key that was removed within the last removedKeySpan, if there is one.
	removedKeyOneIn   = 3
	removedKeySpan    = 3 * RevocationBoundMs * time.Millisecond
	leavingFaultGapMs = 2400
	// Cuts may outlast RevocationBoundMs.
	minCutMs, cutMs = 100, 9000
	maxFreezeMs     = 4000
	maxGoneMs       = 900
	// One cut in domainCutOneIn strikes all boxes of a failure domain.
	domainCutOneIn = 3
	// Connections go silent every minSilenceGapMs to minSilenceGapMs + silenceGapMs.
	minSilenceGapMs, silenceGapMs = 4000, 3000
	// A box that starts reads the list in pages for up to listingMs behind a slow link, while burstLeavings servers leave
	// burstGap apart.
	listingMs, burstLeavings = 500, 3
	burstGap                 = 30 * time.Millisecond
	slowLinkSpan             = time.Second
	// settleMs is how long boxes run between disturbances that strike all of them.
	settleMs     = 3000
	burstEveryMs = 6000
	// Streams of random numbers.
	leavingStream, removalStream, leavingFaultStream = 21, 22, 23
)

// leavingStats are the figures of a play of leavings: the servers that left, the keys that were removed, and the
// requests that boxes in touch sent to servers.
type leavingStats struct{ Left, Removed, InTouch int }

func leavingFaults() []processFault {
	return []processFault{
		{"cut off from the store", planStoreCut(linkReset)},
		{"store held back", planStoreCut(linkBlackhole)},
		{"store without answers", planStoreCut(linkNoAnswers)},
		{"connections to the store silent", planStoreCut(linkStale)},
		{"kill a box", planUnplannedRestart},
		{"freeze a box", planFreeze},
		{"stop a box gracefully", planOrderlyRestart},
		{"restart that overlaps", planOverlap},
	}
}

// injectLeavings disturbs boxes while keys are removed and servers leave, until ctx ends. By turns, seeds play all
// disturbances, connections that go silent in series, starts of boxes while several servers leave at once, and restarts
// of boxes that are cut off together.
func (f *fleet) injectLeavings(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.settings.Seed, leavingFaultStream))
	f.background.Go(func() { f.removeKeys(ctx) })
	switch f.settings.Seed % leavingPlays {
	case 0:
		f.background.Go(func() { f.leaveInTurn(ctx) })
		f.play(ctx, random, leavingFaults(), leavingFaultGapMs)
	case 1:
		f.background.Go(func() { f.leaveInTurn(ctx) })
		f.silenceInSeries(ctx, random)
	case 2:
		f.leaveBesideStarts(ctx, random)
	default:
		f.background.Go(func() { f.leaveInTurn(ctx) })
		f.restartCutOff(ctx, random)
	}
}

// removeKeys removes a key of a tenant, or adds one, again and again.
func (f *fleet) removeKeys(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.settings.Seed, removalStream))
	for ctx.Err() == nil {
		// Neither fails.
		_, _ = revokeKey(f)
		sleep(ctx, drawMs(random, minRemovalGapMs, removalGapMs))
	}
}

// leaveInTurn has one server after the other leave, of which some announce it and some don't.
func (f *fleet) leaveInTurn(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.settings.Seed, leavingStream))
	for i := 0; ctx.Err() == nil; i++ {
		f.leave(ctx, i, random)
		sleep(ctx, drawMs(random, minLeavingGapMs, leavingGapMs))
	}
}

// leave has the server of a turn leave. The next incarnation starts once it has gone.
func (f *fleet) leave(ctx context.Context, turn int, random *rand.Rand) {
	end := f.beginLeaving(f.servers[turn%len(f.servers)], random.IntN(3) > 0)
	f.background.Go(func() {
		sleep(ctx, leavingSpan)
		end()
	})
}

// silenceInSeries makes the open connections of all boxes to the store go silent for good, again and again, and every
// other time those to servers too.
func (f *fleet) silenceInSeries(ctx context.Context, random *rand.Rand) {
	for turn := 0; ctx.Err() == nil; turn++ {
		f.history.countFault("all connections to the store silent")
		for _, b := range f.boxes {
			end := f.disturb(b.name)
			b.store.set(linkStale)
			b.store.set(linkHealthy)
			end()
		}
		if turn%2 == 1 {
			f.history.countFault("all connections to servers silent")
			for _, s := range f.servers {
				s.link.set(linkStale)
				s.link.set(linkHealthy)
			}
		}
		sleep(ctx, drawMs(random, minSilenceGapMs, silenceGapMs))
	}
}

// leaveBesideStarts restarts a box behind a slow link, and has several servers leave while it reads their list.
func (f *fleet) leaveBesideStarts(ctx context.Context, random *rand.Rand) {
	for turn := 0; ctx.Err() == nil; turn += burstLeavings {
		b, offset := f.boxes[random.IntN(len(f.boxes))], drawMs(random, minDelayMs, listingMs)
		f.history.countFault("start while servers leave")
		endDisturbance := f.disturb(b.name)
		b.store.set(linkDelayed)
		if err := errors.Join(b.process.kill(), b.process.start()); err != nil {
			b.process.recordProblem("start while servers leave: " + err.Error())
		}
		time.Sleep(offset)
		for i := range burstLeavings {
			f.leave(ctx, turn+i, random)
			time.Sleep(burstGap)
		}
		sleep(ctx, slowLinkSpan)
		b.store.set(linkHealthy)
		endDisturbance()
		sleep(ctx, burstEveryMs*time.Millisecond)
	}
}

// restartCutOff restarts boxes of a fleet that is cut off from the store as a whole, like a failure domain that reaches
// no other: only boxes that are cut off as well tell the new process a state. Before, one is frozen during a restart.
func (f *fleet) restartCutOff(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		f.history.countFault("restart beside a frozen box")
		restarted := random.IntN(len(f.boxes))
		freeze := planFreeze(f, f.boxes[(restarted+1)%len(f.boxes)], random)
		restart := planUnplannedRestart(f, f.boxes[restarted], random)
		f.background.Go(func() { _ = freeze() })
		sleep(ctx, drawMs(random, 0, maxGoneMs))
		// A box that doesn't start is found by its missing process.
		_ = restart()
		sleep(ctx, drawMs(random, maxFreezeMs, settleMs))
		f.history.countFault("restart of a box that is cut off")
		end := f.cut(linkReset, f.boxes)
		_, _ = revokeKey(f)
		span := drawMs(random, RevocationBoundMs, cutMs-RevocationBoundMs)
		before := drawMs(random, RevocationBoundMs/2, RevocationBoundMs/2)
		sleep(ctx, before)
		if random.IntN(2) == 0 {
			_ = planUnplannedRestart(f, f.boxes[random.IntN(len(f.boxes))], random)()
		}
		sleep(ctx, span-before)
		end()
		sleep(ctx, settleMs*time.Millisecond)
	}
}

// beginLeaving has a server announce that it drains, or drop its entry without that. The returned function starts the
// next incarnation.
func (f *fleet) beginLeaving(s *server, announced bool) (end func()) {
	old := s.id()
	if announced {
		s.setDraining(true)
		f.writeEntry(s, true)
	} else {
		s.setReplaced(true)
		f.entriesMu.Lock()
		f.store.RemoveServer(old)
		f.entriesMu.Unlock()
	}
	f.history.recordDraining(old)
	return func() {
		f.entriesMu.Lock()
		defer f.entriesMu.Unlock()
		f.store.RemoveServer(old)
		s.setDraining(false)
		s.setReplaced(false)
		f.startIncarnation(s)
	}
}

// planStoreCut disturbs the way of a box to the store, or that of all boxes of its failure domain. Connections that go
// silent stay so, and new ones work.
func planStoreCut(kind linkFault) func(f *fleet, b *box, random *rand.Rand) func() error {
	return func(f *fleet, b *box, random *rand.Rand) func() error {
		struck := []*box{b}
		if random.IntN(domainCutOneIn) == 0 {
			struck = f.domainOf(b)
		}
		span := drawMs(random, minCutMs, cutMs)
		if kind == linkStale {
			span = 0
		}
		return func() error {
			defer f.cut(kind, struck)()
			time.Sleep(span)
			return nil
		}
	}
}

// cut disturbs the ways of boxes to the store. The returned function ends that.
func (f *fleet) cut(kind linkFault, boxes []*box) (end func()) {
	ends := []func(){}
	for _, b := range boxes {
		ends = append(ends, f.disturb(b.name))
		b.store.set(kind)
	}
	return func() {
		for i, b := range boxes {
			b.store.set(linkHealthy)
			ends[i]()
		}
	}
}

// domainOf returns the boxes of the failure domain of a box.
func (f *fleet) domainOf(b *box) []*box {
	domain := []*box{}
	for i := slices.Index(f.boxes, b) % domainCount; i < len(f.boxes); i += domainCount {
		domain = append(domain, f.boxes[i])
	}
	return domain
}

// withProcess runs a fault of the process of a box, unless another one is under way there.
func withProcess(b *box, disturb func(name string) func(), run func() error) func() error {
	return func() error {
		if !b.changing.TryLock() {
			return nil
		}
		defer b.changing.Unlock()
		defer disturb(b.name)()
		return run()
	}
}

func planUnplannedRestart(f *fleet, b *box, random *rand.Rand) func() error {
	down := drawMs(random, minDelayMs, maxGoneMs)
	return withProcess(b, f.disturb, func() error {
		err := b.process.kill()
		time.Sleep(down)
		return errors.Join(err, b.process.start())
	})
}

func planFreeze(f *fleet, b *box, random *rand.Rand) func() error {
	frozen := drawMs(random, minDelayMs, maxFreezeMs)
	return withProcess(b, f.disturb, func() error {
		err := b.process.signal(syscall.SIGSTOP)
		time.Sleep(frozen)
		return errors.Join(err, b.process.signal(syscall.SIGCONT))
	})
}

func planOrderlyRestart(f *fleet, b *box, _ *rand.Rand) func() error {
	return withProcess(b, f.disturbAsPlanned, func() error {
		err := b.process.signal(syscall.SIGTERM)
		return errors.Join(err, b.process.awaitStop(), b.process.start())
	})
}

// inTouch reports whether all boxes that may have sent a request were in touch when it reached a server.
func (h *history) inTouch(o standin.Outcome, run standin.Run) bool {
	for _, name := range append(h.senders(o), allBoxes, run.Server) {
		if !h.disturbances.undisturbed(name, run.StartedAt.Add(-undisturbedSpan-timingSlack), run.StartedAt) {
			return false
		}
	}
	return true
}

func (h *history) leavingStats() leavingStats {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := leavingStats{Left: len(h.draining), Removed: len(h.revoked)}
	for _, o := range h.outcomes {
		for _, run := range h.runs[o.ID] {
			if h.inTouch(o, run) {
				s.InTouch++
			}
		}
	}
	return s
}
