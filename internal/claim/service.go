package claim

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/guard"
	"dooryard.example/dooryard/internal/logstream"
)

// Service is a box's interface to claims. It has one stream for each shard that this box has
// used.
type Service struct {
	log      logstream.Log
	settings Settings
	clock    clock.Clock
	logger   *zap.Logger
	// forward sends a record to the shard's coordinator. It returns false if this box should
	// handle the record itself.
	forward Forward

	mu         sync.Mutex
	streams    map[int]*Stream
	runCtx     context.Context
	submitting int
	group      sync.WaitGroup
}

// Forward sends a record to the shard's coordinator, the box that batches the shard's appends.
// It returns false if this box is the coordinator, or if the coordinator did not answer.
type Forward func(ctx context.Context, shard int, record Record) (Verdict, bool)

// NewService returns a service. It appends nothing until Run is called.
func NewService(log logstream.Log, settings Settings, forward Forward, c clock.Clock, logger *zap.Logger) *Service {
	return &Service{
		log: log, settings: settings, forward: forward, clock: c, logger: logger,
		streams: map[int]*Stream{},
	}
}

// Run runs the streams until the context ends.
func (s *Service) Run(ctx context.Context) {
	s.mu.Lock()
	s.runCtx = ctx
	for _, stream := range s.streams {
		s.start(stream)
	}
	s.mu.Unlock()
	<-ctx.Done()
	// No new goroutines start from here on, so that the wait terminates.
	s.mu.Lock()
	s.runCtx = nil
	s.mu.Unlock()
	s.group.Wait()
}

func (s *Service) start(stream *Stream) {
	if ctx := s.runCtx; ctx != nil {
		s.group.Go(func() { stream.Run(ctx) })
	}
}

// stream returns the stream of a shard, and creates and starts it if needed.
func (s *Service) stream(shard int) *Stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream := s.streams[shard]
	if stream == nil {
		stream = NewStream(StreamName(shard), s.log, s.settings, s.clock, s.logger)
		s.streams[shard] = stream
		s.start(stream)
	}
	return stream
}

// Claim requests a key and waits for the verdict. On ErrUnavailable the claimant must give up
// the request; the claim is released as soon as the log accepts the release record.
func (s *Service) Claim(ctx context.Context, record Record) (Verdict, error) {
	if verdict, answered := s.forward(ctx, Shard(record.Key), record); answered {
		return verdict, nil
	}
	verdict, err := s.ClaimLocal(ctx, record)
	if err != nil {
		s.Submit(Record{Type: TypeRelease, Key: record.Key, Owner: record.Owner})
	}
	return verdict, err
}

// ClaimLocal claims through this box's own stream, also on behalf of other boxes.
func (s *Service) ClaimLocal(ctx context.Context, record Record) (Verdict, error) {
	return s.stream(Shard(record.Key)).Claim(ctx, record)
}

// Submit sends a settle or release record to the shard's coordinator, or queues it in this
// box's own stream. It does not wait for the record's effect.
func (s *Service) Submit(record Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx := s.runCtx
	if ctx == nil {
		return
	}
	s.submitting++
	s.group.Go(func() {
		defer s.endSubmit()
		guard.Do("record of a claim", func() {
			if _, forwarded := s.forward(ctx, Shard(record.Key), record); !forwarded {
				s.SubmitLocal(record)
			}
		})
	})
}

func (s *Service) endSubmit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.submitting--
}

// SubmitLocal queues a record in this box's own stream, also on behalf of other boxes.
func (s *Service) SubmitLocal(record Record) {
	s.stream(Shard(record.Key)).Submit(record)
}

// Flushed reports whether no record is waiting to be forwarded or appended.
func (s *Service) Flushed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stream := range s.streams {
		if stream.Pending() > 0 {
			return false
		}
	}
	return s.submitting == 0
}
