package lease

import (
	"context"
	"encoding/json"
	"sync"

	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/backing"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/logstream"
)

// Times of a lease.
const (
	// SpanMs is how long a lease lasts without renewal.
	SpanMs = 15 * clock.Second
	// renewMs is when a holder renews.
	renewMs = 5 * clock.Second
	// marginMs is how much earlier a holder takes its own lease for ended: clocks
	// run differently, by less than this over one span.
	marginMs = 2 * clock.Second
	// pollMs is how long one read of the stream waits for news.
	pollMs = 5 * clock.Second
)

// Keeper follows one lease and holds it when it may. It is safe for concurrent
// use.
type Keeper struct {
	stream string
	holder string
	log    logstream.Log
	wants  func() bool
	clock  clock.Clock
	logger *zap.Logger

	mu    sync.Mutex
	state State
	// heldUntil is the end of this box's lease by its own clock, counted from
	// before the append that took or renewed it.
	heldUntil clock.Millis
	// askedMs is the instant of the newest append.
	askedMs clock.Millis
	// sinceMs is when this box first held the lease under the present token.
	sinceMs clock.Millis
}

// NewKeeper returns a keeper for a holder. Wants reports whether this box should
// try to hold the lease.
func NewKeeper(stream, holder string, log logstream.Log, wants func() bool, c clock.Clock, logger *zap.Logger) *Keeper {
	return &Keeper{stream: stream, holder: holder, log: log, wants: wants, clock: c, logger: logger}
}

// Run follows the lease and renews it until the context ends; then it releases
// it.
func (k *Keeper) Run(ctx context.Context) {
	group := sync.WaitGroup{}
	group.Go(func() { k.follow(ctx) })
	group.Go(func() { k.clock.Every(ctx, clock.Second, func(clock.Millis) { k.tend(ctx) }) })
	group.Wait()
}

// follow needs nothing older than the log keeps: leases before it have ended.
func (k *Keeper) follow(ctx context.Context) {
	follower := logstream.NewLogFollower(k.log, k.stream, k.fold,
		logstream.WithClock(k.clock), logstream.WithLogger(k.logger))
	for ctx.Err() == nil {
		// A box that does not want the lease need not know who holds it.
		if !k.wants() || follower.Poll(ctx, pollMs) != nil {
			_ = k.clock.Sleep(ctx, clock.Second)
		}
	}
}

func (k *Keeper) fold(record backing.Record) {
	var r Record
	if err := json.Unmarshal(record.Data, &r); err != nil {
		k.logger.Warn("lease record skipped", zap.Int64("offset", record.Offset), zap.Error(err))
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.state
	k.state = k.state.Apply(record.Offset, record.TimeMs, r)
	if k.state.holder != k.holder || k.state.untilMs == before.untilMs {
		return
	}
	if k.state.token != before.token {
		k.sinceMs = k.clock.Now()
	}
	k.heldUntil = r.AskedMs + SpanMs - marginMs
}

// tend takes a free lease, and renews one that is held.
func (k *Keeper) tend(ctx context.Context) {
	action, due := k.due()
	if !due {
		return
	}
	asked := k.clock.Now()
	k.mu.Lock()
	k.askedMs = asked
	k.mu.Unlock()
	data, err := json.Marshal(Record{Action: action, Holder: k.holder, SpanMs: SpanMs, AskedMs: asked})
	if err != nil {
		return
	}
	if _, err := k.log.Append(ctx, k.stream, data); err != nil {
		k.logger.Debug("lease not appended", zap.Error(err))
	}
}

// due returns what to append now. The log's time is taken for this box's: a take
// that comes early folds to nothing.
func (k *Keeper) due() (Action, bool) {
	now := k.clock.Now()
	wants := k.wants()
	k.mu.Lock()
	defer k.mu.Unlock()
	mine := k.state.holder == k.holder && now < k.heldUntil
	switch {
	case mine && !wants:
		k.heldUntil = 0
		return Release, true
	case mine:
		return Renew, now >= k.askedMs+renewMs
	case wants && now >= k.state.untilMs:
		return Take, now >= k.askedMs+renewMs
	default:
		return "", false
	}
}

// Held is a lease that this box holds.
type Held struct {
	// Token is the fencing token.
	Token int64
	// UntilMs is the instant, by this box's clock, after which nothing may be
	// done under the lease.
	UntilMs clock.Millis
	// SinceMs is when this box first held it.
	SinceMs clock.Millis
}

// Held returns this box's lease, and false when it holds none.
func (k *Keeper) Held() (Held, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.state.holder != k.holder || k.clock.Now() >= k.heldUntil {
		return Held{}, false
	}
	return Held{Token: k.state.token, UntilMs: k.heldUntil, SinceMs: k.sinceMs}, true
}

// State returns the lease as this box sees it.
func (k *Keeper) State() State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state
}
