// Package tablestore holds the current table of a box. It applies the records of
// the table's log stream, never returns to an older state, and appends the edits
// of operators to the stream.
package tablestore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/backing"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/guard"
	"dooryard.example/dooryard/internal/logstream"
	"dooryard.example/dooryard/internal/table"
)

// Stream is the name of the table's log stream.
const Stream = "table"

// tailRecords is the number of newest records kept for peers.
const tailRecords = 4096

// Errors returned by Submit.
var (
	// ErrVerdictUnknown means that the edit may still be applied. It is safe to
	// submit it again under the same ID.
	ErrVerdictUnknown = errors.New("verdict unknown")
	// ErrNotAppended means that the log rejected the edit. It will never be applied.
	ErrNotAppended = errors.New("edit not appended")
)

// Append appends records to a log stream.
type Append func(ctx context.Context, stream string, records ...json.RawMessage) (int64, error)

// Store holds the table of one box. It is safe for concurrent use.
type Store struct {
	clock  clock.Clock
	logger *zap.Logger
	append Append
	tail   *logstream.Tail

	mu        sync.Mutex
	state     *table.State
	changed   chan struct{}
	listeners []func(*table.State)
	onVerdict func(table.Verdict)
	changedMs clock.Millis
}

// Option changes a Store under construction.
type Option func(*Store)

// WithClock replaces the system clock.
func WithClock(c clock.Clock) Option { return func(s *Store) { s.clock = c } }

// WithLogger sets the logger.
func WithLogger(logger *zap.Logger) Option { return func(s *Store) { s.logger = logger } }

// WithVerdictCallback sets a function f that is called with the verdict on each applied
// edit.
func WithVerdictCallback(f func(table.Verdict)) Option { return func(s *Store) { s.onVerdict = f } }

// New returns a store with an empty table.
func New(appendRecords Append, options ...Option) *Store {
	s := &Store{
		clock: clock.New(), logger: zap.NewNop(), append: appendRecords, tail: logstream.NewTail(tailRecords),
		state: table.New(), changed: make(chan struct{}), onVerdict: func(table.Verdict) {},
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// OnChange registers a listener that is called with each newer table, in order.
// It must be called before the first record is applied.
func (s *Store) OnChange(listener func(*table.State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, listener)
}

// State returns the current table.
func (s *Store) State() *table.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Tail returns the newest records, which peers read.
func (s *Store) Tail() *logstream.Tail { return s.tail }

// ApplyRecord applies one record of the stream. It ignores a record that is not at the
// next offset, such as one that was already applied.
func (s *Store) ApplyRecord(record backing.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if record.Offset != s.state.Offset() {
		return
	}
	next, verdict := s.apply(record)
	s.tail.Add(record)
	if verdict.ID != "" {
		s.logVerdict(verdict)
		guard.Do("verdict of the table", func() { s.onVerdict(verdict) })
	}
	s.publish(next)
}

// apply returns the table after a record. A record whose application panics does so at each box, and changes nothing,
// like a malformed one.
func (s *Store) apply(record backing.Record) (next *table.State, verdict table.Verdict) {
	if !guard.Do("record of the table", func() { next, verdict = s.state.Apply(record.Offset, record.Data) }) {
		return s.state.Apply(record.Offset, nil)
	}
	return next, verdict
}

func (s *Store) logVerdict(verdict table.Verdict) {
	s.logger.Info("edit", zap.String("id", verdict.ID), zap.Int64("offset", verdict.Offset),
		zap.String("result", string(verdict.Result)))
}

// Adopt replaces the table with a complete state from a snapshot or a peer if that
// state is newer. It returns the offset from which to continue.
func (s *Store) Adopt(state *table.State) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state.Offset() > s.state.Offset() {
		s.tail.Reset(state.Offset())
		s.publish(state)
	}
	return s.state.Offset()
}

func (s *Store) publish(state *table.State) {
	s.state = state
	s.changedMs = s.clock.Now()
	for _, listener := range s.listeners {
		guard.Do("listener of the table", func() { listener(state) })
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// UpdatedMs returns the time at which the current table became current.
func (s *Store) UpdatedMs() clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changedMs
}

// Submit appends an edit and waits until it is applied and its verdict is known.
// If the reply of the platform is lost, Submit appends the edit again, which is
// safe because duplicates are ignored. After ErrVerdictUnknown, the outcome of the
// edit is not known.
func (s *Store) Submit(ctx context.Context, edit table.Edit) (table.Verdict, error) {
	data, err := json.Marshal(edit)
	if err != nil {
		return table.Verdict{}, fmt.Errorf("encode edit: %w", err)
	}
	if err := s.appendWithRetry(ctx, edit.ID, data); err != nil {
		return table.Verdict{}, err
	}
	return s.awaitVerdict(ctx, edit.ID)
}

// Bounds of the exponential backoff between appends.
const (
	minAppendDelayMs clock.Millis = 100
	maxAppendDelayMs clock.Millis = 1000
)

// appendWithRetry retries the append until one succeeds or the verdict on the edit
// is known. A rejection is final unless it is due to throttling or an earlier
// append may have succeeded.
func (s *Store) appendWithRetry(ctx context.Context, id string, data json.RawMessage) error {
	delayMs := minAppendDelayMs
	inDoubt := false
	for {
		_, err := s.append(ctx, Stream, data)
		if err == nil {
			return nil
		}
		if errors.Is(err, backing.ErrRejected) && !errors.Is(err, backing.ErrThrottled) && !inDoubt {
			return fmt.Errorf("%w: %w", ErrNotAppended, err)
		}
		inDoubt = inDoubt || !errors.Is(err, backing.ErrRejected)
		if _, known := s.State().Verdict(id); known {
			return nil
		}
		if s.clock.Sleep(ctx, delayMs) != nil {
			return s.appendError(inDoubt, err)
		}
		delayMs = min(2*delayMs, maxAppendDelayMs)
	}
}

func (s *Store) appendError(inDoubt bool, cause error) error {
	if inDoubt {
		return fmt.Errorf("%w: %w", ErrVerdictUnknown, cause)
	}
	return fmt.Errorf("%w: %w", ErrNotAppended, cause)
}

func (s *Store) awaitVerdict(ctx context.Context, id string) (table.Verdict, error) {
	for {
		s.mu.Lock()
		state, changed := s.state, s.changed
		s.mu.Unlock()
		if verdict, known := state.Verdict(id); known {
			return verdict, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return table.Verdict{}, fmt.Errorf("%w: %w", ErrVerdictUnknown, context.Cause(ctx))
		}
	}
}

// WaitFor waits until the current table has reached an offset.
func (s *Store) WaitFor(ctx context.Context, offset int64) error {
	for {
		s.mu.Lock()
		state, changed := s.state, s.changed
		s.mu.Unlock()
		if state.Offset() >= offset {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("table at offset %d, wanted %d: %w", state.Offset(), offset, context.Cause(ctx))
		}
	}
}
