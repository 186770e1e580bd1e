package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/backing"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/logstream"
	"dooryard.example/dooryard/internal/supervisor"
)

// Settings configure a Stream.
type Settings struct {
	// BatchMs is how long records are collected before one append.
	BatchMs clock.Millis
	// WindowMs is how long a key is remembered.
	WindowMs clock.Millis
}

// Stream follows one claim stream and appends records to it in batches. It is safe for
// concurrent use.
type Stream struct {
	name     string
	log      logstream.Log
	settings Settings
	clock    clock.Clock
	logger   *zap.Logger

	mu          sync.Mutex
	ledger      *Ledger
	changed     chan struct{}
	pending     []Record
	flushSignal chan struct{}
	usedMs      clock.Millis
}

// NewStream returns a stream. It reads and appends nothing until Run is called.
func NewStream(name string, log logstream.Log, settings Settings, c clock.Clock, logger *zap.Logger) *Stream {
	return &Stream{
		name: name, log: log, settings: settings, clock: c, logger: logger,
		ledger: NewLedger(settings.WindowMs), changed: make(chan struct{}), flushSignal: make(chan struct{}, 1),
		usedMs: c.Now(),
	}
}

// Run follows the stream and appends batches until the context ends.
func (s *Stream) Run(ctx context.Context) {
	group := sync.WaitGroup{}
	group.Go(func() { supervisor.Repeat(ctx, s.clock, "claims of others", func() { s.follow(ctx) }) })
	group.Go(func() { supervisor.Repeat(ctx, s.clock, "own claims", func() { s.flushLoop(ctx) }) })
	group.Wait()
}

// follow can start at the oldest record that the log retains, because everything past
// retention is also past the window.
func (s *Stream) follow(ctx context.Context) {
	logstream.NewLogFollower(s.log, s.name, s.applyRecord,
		logstream.WithClock(s.clock), logstream.WithLogger(s.logger)).Run(ctx)
}

func (s *Stream) applyRecord(record backing.Record) {
	var batch Batch
	if err := json.Unmarshal(record.Data, &batch); err != nil {
		s.logger.Warn("skipping malformed claim record", zap.Int64("offset", record.Offset), zap.Error(err))
		batch.Records = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Apply(batch.Records, record.TimeMs)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Claim requests a key and waits for the verdict. While another request holds the key, it
// waits for that request to end. If the context ends first, the verdict is Held.
// ErrUnavailable means that no verdict arrived before the context ended; the claim may still
// win later, so the claimant must release it.
func (s *Stream) Claim(ctx context.Context, record Record) (Verdict, error) {
	s.enqueue(record)
	held := false
	for {
		verdict, changed := s.verdict(record)
		switch {
		case verdict.State == Absent && held:
			// The holder has released the key. The first claim had no effect because the key was
			// held when it was applied.
			s.enqueue(record)
			held = false
		case verdict.State == Held:
			held = true
		case verdict.State != Absent:
			return verdict, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			if held {
				return verdict, nil
			}
			return Verdict{}, fmt.Errorf("%w: %w", ErrUnavailable, context.Cause(ctx))
		}
	}
}

func (s *Stream) verdict(record Record) (Verdict, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Verdict(record.Key, record.Owner, record.Digest), s.changed
}

// Submit queues a record without waiting for its effect.
func (s *Stream) Submit(record Record) { s.enqueue(record) }

// Lookup returns the state of a key for a claimant, as far as the stream has been read.
func (s *Stream) Lookup(record Record) Verdict {
	verdict, _ := s.verdict(record)
	return verdict
}

// UsedMs returns the time at which the newest record was queued.
func (s *Stream) UsedMs() clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usedMs
}

// Pending returns the number of records waiting to be appended.
func (s *Stream) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending)
}

func (s *Stream) enqueue(record Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, record)
	s.usedMs = s.clock.Now()
	select {
	case s.flushSignal <- struct{}{}:
	default:
	}
}

func (s *Stream) flushLoop(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-s.flushSignal:
		case <-ctx.Done():
			return
		}
		if s.clock.Sleep(ctx, s.settings.BatchMs) != nil {
			return
		}
		s.flush(ctx)
	}
}

// flush appends the pending records. A batch whose reply was lost is appended again, because
// duplicates of its records have no effect.
func (s *Stream) flush(ctx context.Context) {
	backoffMs := s.settings.BatchMs
	for ctx.Err() == nil {
		records := s.nextBatch()
		if len(records) == 0 {
			return
		}
		err := s.append(ctx, records)
		if err == nil {
			continue
		}
		s.requeue(records)
		s.logger.Debug("appending claims failed, retrying", zap.String("stream", s.name), zap.Error(err))
		_ = s.clock.Sleep(ctx, backoffMs)
		backoffMs = min(2*backoffMs, maxFlushBackoffMs)
	}
}

const maxFlushBackoffMs = clock.Second

func (s *Stream) append(ctx context.Context, records []Record) error {
	data, err := json.Marshal(Batch{Records: records})
	if err != nil {
		return fmt.Errorf("encode claims: %w", err)
	}
	_, err = s.log.Append(ctx, s.name, data)
	return err
}

func (s *Stream) nextBatch() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := min(len(s.pending), maxBatchRecords)
	records := s.pending[:count:count]
	s.pending = s.pending[count:]
	return records
}

// requeue puts records back at the head of the queue. It preserves their order, because a
// release must follow its claim.
func (s *Stream) requeue(records []Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(records, s.pending...)
}
