package logstream

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/backing"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/guard"
)

// Limits of one read, and the backoff between failed reads.
const (
	pageLimit                    = 1000
	longPollMs      clock.Millis = 10_000
	minRetryDelayMs clock.Millis = 50
	maxRetryDelayMs clock.Millis = 1000
)

// ErrGap means that a source skipped records.
var ErrGap = errors.New("records missing")

// Source is a source of the stream's records. Its name is used in logs and status reports.
type Source struct {
	Name string
	Read func(ctx context.Context, from int64, limit int, waitMs clock.Millis) (backing.Page, error)
}

// Follower reads a stream continuously and passes each record to a function.
type Follower struct {
	clock   clock.Clock
	logger  *zap.Logger
	sources func() []Source
	// record is called for each record in the order of offsets. Only Advance and expired skip
	// records.
	record func(backing.Record)
	// expired is called when the requested offset is past the retention of a
	// source. It returns the offset at which to continue.
	expired func(ctx context.Context, from int64) (int64, error)

	next          atomic.Int64
	lastReadMs    atomic.Int64
	currentSource atomic.Pointer[string]
}

// Option configures a Follower.
type Option func(*Follower)

// WithClock replaces the system clock.
func WithClock(c clock.Clock) Option { return func(f *Follower) { f.clock = c } }

// WithLogger sets the logger.
func WithLogger(logger *zap.Logger) Option { return func(f *Follower) { f.logger = logger } }

// WithExpired sets the function that is called when the requested offset is past
// retention. It returns the offset at which to continue.
func WithExpired(expired func(ctx context.Context, from int64) (int64, error)) Option {
	return func(f *Follower) { f.expired = expired }
}

// WithStart sets the first offset to read.
func WithStart(offset int64) Option { return func(f *Follower) { f.next.Store(offset) } }

// NewFollower returns a follower that passes each record to the record function.
// Each read tries the sources in order, starting with the first.
func NewFollower(sources func() []Source, record func(backing.Record), options ...Option) *Follower {
	f := &Follower{
		clock: clock.New(), logger: zap.NewNop(), sources: sources, record: record,
		expired: func(_ context.Context, from int64) (int64, error) {
			return 0, fmt.Errorf("%w: offset %d", backing.ErrExpired, from)
		},
	}
	for _, option := range options {
		option(f)
	}
	return f
}

// Next returns the next offset to read.
func (f *Follower) Next() int64 { return f.next.Load() }

// Advance skips the records before offset, which the caller has received in another way.
func (f *Follower) Advance(offset int64) {
	for {
		next := f.next.Load()
		if offset <= next || f.next.CompareAndSwap(next, offset) {
			return
		}
	}
}

// LastReadMs returns the time of the last successful read.
func (f *Follower) LastReadMs() clock.Millis { return clock.Millis(f.lastReadMs.Load()) }

// Source returns the name of the source of the last successful read, or "".
func (f *Follower) Source() string {
	if name := f.currentSource.Load(); name != nil {
		return *name
	}
	return ""
}

// Run follows the stream until the context is canceled.
func (f *Follower) Run(ctx context.Context) {
	delayMs := minRetryDelayMs
	for ctx.Err() == nil {
		if f.Poll(ctx, longPollMs) == nil {
			delayMs = minRetryDelayMs
			continue
		}
		_ = f.clock.Sleep(ctx, delayMs)
		delayMs = min(2*delayMs, maxRetryDelayMs)
	}
}

// Poll makes one read, from the first source that succeeds. If all sources fail,
// it returns their joined errors.
func (f *Follower) Poll(ctx context.Context, waitMs clock.Millis) error {
	errs := []error{}
	for _, source := range f.sources() {
		err := f.pollSource(ctx, source, waitMs)
		if err == nil {
			f.lastReadMs.Store(int64(f.clock.Now()))
			f.currentSource.Store(&source.Name)
			return nil
		}
		errs = append(errs, fmt.Errorf("%s: %w", source.Name, err))
	}
	err := errors.Join(errs...)
	if ctx.Err() == nil {
		f.logger.Debug("log stream unavailable", zap.Int64("offset", f.Next()), zap.Error(err))
	}
	return err
}

func (f *Follower) pollSource(ctx context.Context, source Source, waitMs clock.Millis) error {
	page, err := source.Read(ctx, f.Next(), pageLimit, waitMs)
	if errors.Is(err, backing.ErrExpired) {
		return f.skipExpired(ctx)
	}
	if err != nil {
		return err
	}
	for _, record := range page.Records {
		if record.Offset < f.Next() {
			continue
		}
		if record.Offset > f.Next() {
			return fmt.Errorf("%w: expected offset %d, got %d", ErrGap, f.Next(), record.Offset)
		}
		// Read again, it would panic again, at each box.
		guard.Do("record of the log", func() { f.record(record) })
		f.Advance(record.Offset + 1)
	}
	return nil
}

func (f *Follower) skipExpired(ctx context.Context) error {
	from := f.Next()
	next, err := f.expired(ctx, from)
	if err != nil {
		return err
	}
	if next <= from {
		return fmt.Errorf("%w: offset %d, and no newer offset to continue from", backing.ErrExpired, from)
	}
	f.Advance(next)
	return nil
}
