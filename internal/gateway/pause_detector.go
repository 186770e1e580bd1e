package gateway

import (
	"context"
	"sync/atomic"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/opaque"
)

const (
	// longPauseMs is how long a box must have stood still for what it believes to be in doubt:
	// longer than a busy machine keeps a process waiting, short against the operators' bounds.
	longPauseMs clock.Millis = 500
	// firstLookMs is how long requests wait after that for the box to hear anew, if its proof
	// has become older than it may be: a few rounds and a read of the store, with room. Where
	// nobody answers they go on, as they do while the store is lost. The box asks each 50 ms
	// meanwhile, in place of each round: on a day with all boxes stopped for 2.5 s the worst
	// windows earn 0.54 of their worth, 0.23 when they ask with the rounds (one pair).
	firstLookMs clock.Millis = 400
	// lookStepMs is how often a request that waits looks whether the box has.
	lookStepMs clock.Millis = 20
)

// pauses notices that the box stood still: its machine was suspended, or its process stopped.
// What it sent right after that it sent on an old belief: to upstreams that had left, under
// keys that had been taken away, after the request's time (TestSuspended).
type pauses struct {
	box *Box
	// lastMs is when the box last checked, wokeMs when it noticed the newest long pause.
	lastMs, wokeMs atomic.Int64
}

func newPauses(b *Box) *pauses {
	p := &pauses{box: b}
	p.lastMs.Store(int64(b.clock.Steady()))
	return p
}

// check notices a long pause since the last check, and sets right what counts time: timers that
// slept through run, and the silence of other boxes meanwhile says nothing. A box that is only
// slow is late all the time; others that are gone would count for ever (TestSlowBox).
func (p *pauses) check() {
	now := p.box.clock.Steady()
	pause := now - clock.Millis(p.lastMs.Swap(int64(now)))
	if pause <= longPauseMs {
		return
	}
	p.wokeMs.Store(int64(now))
	p.box.peering.mesh.Resumed(pause)
	p.box.clock.Resumed()
}

// await waits, after a long pause, until the box has heard anew, for a while.
func (p *pauses) await(ctx context.Context) {
	if p.box.clock.Steady()-clock.Millis(p.lastMs.Load()) > longPauseMs {
		p.check()
	}
	for p.inDoubt() && ctx.Err() == nil {
		// The context's end shows at the head of the loop.
		_ = p.box.clock.Sleep(ctx, lookStepMs)
	}
}

// inDoubt reports whether the box woke a short while ago, and has heard nothing since though its
// proof is older than it may be.
func (p *pauses) inDoubt() bool {
	woke := clock.Millis(p.wokeMs.Load())
	if woke == 0 || p.box.clock.Steady()-woke >= firstLookMs {
		return false
	}
	return p.box.belief.AgeMs() > p.box.peering.ownReadAgeMs() && !p.box.lookedSince(woke)
}

// hurry asks the other boxes at once while the box is in doubt.
func (p *pauses) hurry() {
	if p.inDoubt() {
		p.box.peering.mesh.Ping()
	}
}

// lookedSince reports whether the box has heard what is in force since an instant: from
// another box, or from the store if it reads that by itself.
func (b *Box) lookedSince(atMs clock.Millis) bool {
	if b.belief.ConfirmedMs() < atMs {
		return false
	}
	return !b.peering.mesh.IsSource() || b.sink.readSince(atMs)
}

// vouch tells, right before a request is sent, whether the box may send it: it may have stood
// still since the request was let in, and the caller may have left meanwhile.
func (b *Box) vouch(r *opaque.Request) error {
	b.pauses.await(r.Context())
	if err := r.Context().Err(); err != nil {
		return opaque.NewRefusal(opaque.StatusCallerGone, opaque.CallerGone, 0, err)
	}
	if r.RemainingMs(b.clock.Steady()) <= 0 {
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.TimeOver, 0, nil)
	}
	return b.steps.authorise.Vouch(r)
}
