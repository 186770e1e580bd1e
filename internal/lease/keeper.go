package lease

import (
	"context"
	"encoding/json"
	"maps"
	"sync"

	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/backing"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/logstream"
	"dooryard.example/dooryard/internal/supervisor"
)

// Times of a lease.
const (
	// DurationMs is the duration of a lease without renewal.
	DurationMs = 15 * clock.Second
	// renewIntervalMs is the interval between renewals, and the minimum interval between two
	// attempts to acquire.
	renewIntervalMs = 5 * clock.Second
	// clockMarginMs is how much earlier than other boxes a holder considers its own lease
	// expired. The clocks of two machines drift apart by less than this in one lease duration.
	clockMarginMs = 2 * clock.Second
	// pollMs is how long one read of the stream waits for new records.
	pollMs = 5 * clock.Second
)

// Keeper follows one lease, and acquires and renews it while its box is eligible. It is safe
// for concurrent use.
type Keeper struct {
	stream string
	holder string
	log    logstream.Log
	wants  func() bool
	clock  clock.Clock
	logger *zap.Logger

	mu    sync.Mutex
	state State
	// heldUntilMs is the end of this box's lease by its monotonic clock. It is counted from before the
	// append that acquired or renewed the lease, and reduced by clockMarginMs.
	heldUntilMs clock.Millis
	// requests maps the times of day in the records that this box has appended lately to its monotonic clock. The time
	// of day may be set back meanwhile, and would prolong the lease.
	requests map[clock.Millis]clock.Millis
	// released is set once this box has decided to release the lease. Renewals from before must not prolong it.
	released bool
	// lastAppendMs is the monotonic time of the latest attempt to append a record, or 0.
	lastAppendMs clock.Millis
	// sinceMs is the monotonic time at which this box first held the lease under the current token.
	sinceMs clock.Millis
}

// NewKeeper returns a keeper for a holder. The function wants reports whether this box
// should try to hold the lease.
func NewKeeper(stream, holder string, log logstream.Log, wants func() bool, c clock.Clock, logger *zap.Logger) *Keeper {
	return &Keeper{
		stream: stream, holder: holder, log: log, wants: wants, clock: c, logger: logger,
		requests: map[clock.Millis]clock.Millis{},
	}
}

// Run follows the lease, and acquires and renews it until the context ends. It releases the
// lease once this box no longer wants it.
func (k *Keeper) Run(ctx context.Context) {
	group := sync.WaitGroup{}
	group.Go(func() { supervisor.Repeat(ctx, k.clock, "lease of others", func() { k.follow(ctx) }) })
	group.Go(func() {
		supervisor.Repeat(ctx, k.clock, "own lease", func() {
			k.clock.Every(ctx, clock.Second, func(clock.Millis) { k.maintain(ctx) })
		})
	})
	group.Wait()
}

// follow reads the lease's stream. It can start at the oldest record that the log retains, because
// all earlier leases have expired.
func (k *Keeper) follow(ctx context.Context) {
	follower := logstream.NewLogFollower(k.log, k.stream, k.applyRecord,
		logstream.WithClock(k.clock), logstream.WithLogger(k.logger))
	for ctx.Err() == nil {
		// A box that does not want the lease has no need to know its holder.
		if !k.wants() || follower.Poll(ctx, pollMs) != nil {
			_ = k.clock.Sleep(ctx, clock.Second)
		}
	}
}

func (k *Keeper) applyRecord(record backing.Record) {
	var r Record
	if err := json.Unmarshal(record.Data, &r); err != nil {
		k.logger.Warn("skipping malformed lease record", zap.Int64("offset", record.Offset), zap.Error(err))
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
		k.sinceMs, k.released, k.heldUntilMs = k.clock.Monotonic(), false, 0
	}
	requestedMs, known := k.requests[r.RequestedMs]
	if k.released || r.Action == Release || !known {
		return
	}
	k.heldUntilMs = max(k.heldUntilMs, requestedMs+DurationMs-clockMarginMs)
}

// request returns the time of day for a record that is appended now, and remembers when that is.
func (k *Keeper) request() (timeMs clock.Millis) {
	k.mu.Lock()
	defer k.mu.Unlock()
	nowMs := k.clock.Monotonic()
	maps.DeleteFunc(k.requests, func(_, atMs clock.Millis) bool { return nowMs-atMs >= DurationMs })
	timeMs = k.clock.Now()
	for _, taken := k.requests[timeMs]; taken; _, taken = k.requests[timeMs] {
		timeMs++
	}
	k.requests[timeMs], k.lastAppendMs = nowMs, nowMs
	return timeMs
}

// maintain acquires a free lease, and renews or releases a held one.
func (k *Keeper) maintain(ctx context.Context) {
	action, due := k.due()
	if !due {
		return
	}
	data, err := json.Marshal(Record{
		Action: action, Holder: k.holder, DurationMs: DurationMs, RequestedMs: k.request(),
	})
	if err != nil {
		return
	}
	if _, err := k.log.Append(ctx, k.stream, data); err != nil {
		k.logger.Debug("appending lease record failed", zap.Error(err))
	}
}

// due returns the action to append now, if any. It compares the log's timestamps with this box's
// clock. This is safe even if the clocks differ, because an acquire record that is appended too early
// has no effect.
func (k *Keeper) due() (Action, bool) {
	now, nowMs := k.clock.Now(), k.clock.Monotonic()
	wants := k.wants()
	k.mu.Lock()
	defer k.mu.Unlock()
	holds := k.state.holder == k.holder && nowMs < k.heldUntilMs
	switch {
	case holds && !wants:
		k.heldUntilMs, k.released = 0, true
		return Release, true
	case holds:
		return Renew, nowMs >= k.lastAppendMs+renewIntervalMs
	case wants && now >= k.state.untilMs:
		return Acquire, k.lastAppendMs == 0 || nowMs >= k.lastAppendMs+renewIntervalMs
	default:
		return "", false
	}
}

// Held is a lease held by this box.
type Held struct {
	// Token is the fencing token.
	Token int64
	// UntilMs is the end of the lease by this box's clock. Nothing may be done under the lease
	// afterwards.
	UntilMs clock.Millis
	// SinceMs is when this box first held the lease under this token.
	SinceMs clock.Millis
}

// Held returns this box's lease, and false if it holds none.
func (k *Keeper) Held() (Held, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now, nowMs := k.clock.Now(), k.clock.Monotonic()
	if k.state.holder != k.holder || nowMs >= k.heldUntilMs {
		return Held{}, false
	}
	return Held{Token: k.state.token, UntilMs: now + k.heldUntilMs - nowMs, SinceMs: now - (nowMs - k.sinceMs)}, true
}

// State returns the lease as known to this box.
func (k *Keeper) State() State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state
}
