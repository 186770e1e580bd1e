package claim

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/logstream"
)

// Service is a box's way to claims: one registry for each shard that this box
// has been asked for.
type Service struct {
	log      logstream.Log
	settings Settings
	clock    clock.Clock
	logger   *zap.Logger
	// remote asks the box that gathers a shard's records. It returns false when
	// this box should do it itself.
	remote Remote

	mu         sync.Mutex
	registries map[int]*Registry
	running    context.Context
	handing    int
	group      sync.WaitGroup
}

// Remote hands a record to the box that gathers the records of a shard. The
// boolean is false when that is this box, or when no such box answered.
type Remote func(ctx context.Context, shard int, record Record) (Verdict, bool)

// NewService returns a service; Run must be called for it to do anything.
func NewService(log logstream.Log, settings Settings, remote Remote, c clock.Clock, logger *zap.Logger) *Service {
	return &Service{
		log: log, settings: settings, remote: remote, clock: c, logger: logger,
		registries: map[int]*Registry{},
	}
}

// Run keeps registries going until the context ends.
func (s *Service) Run(ctx context.Context) {
	s.mu.Lock()
	s.running = ctx
	for _, registry := range s.registries {
		s.start(registry)
	}
	s.mu.Unlock()
	<-ctx.Done()
	// From here on nothing new starts, so that the wait ends.
	s.mu.Lock()
	s.running = nil
	s.mu.Unlock()
	s.group.Wait()
}

func (s *Service) start(registry *Registry) {
	if ctx := s.running; ctx != nil {
		s.group.Go(func() { registry.Run(ctx) })
	}
}

// registry returns the registry of a shard, started when it is new.
func (s *Service) registry(shard int) *Registry {
	s.mu.Lock()
	defer s.mu.Unlock()
	registry := s.registries[shard]
	if registry == nil {
		registry = NewRegistry(StreamName(shard), s.log, s.settings, s.clock, s.logger)
		s.registries[shard] = registry
		s.start(registry)
	}
	return registry
}

// Claim asks for a key and waits for the verdict. On ErrUnavailable the claimant
// has given up for good and the claim is released as soon as the log allows.
func (s *Service) Claim(ctx context.Context, record Record) (Verdict, error) {
	if verdict, answered := s.remote(ctx, Shard(record.Key), record); answered {
		return verdict, nil
	}
	verdict, err := s.ClaimHere(ctx, record)
	if err != nil {
		s.Submit(Record{Type: TypeRelease, Key: record.Key, Owner: record.Owner})
	}
	return verdict, err
}

// ClaimHere claims through this box's own registry, also for other boxes.
func (s *Service) ClaimHere(ctx context.Context, record Record) (Verdict, error) {
	return s.registry(Shard(record.Key)).Claim(ctx, record)
}

// Submit hands a settle or release record on without waiting for its effect: to
// the box that gathers the shard, or to this box's own registry.
func (s *Service) Submit(record Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx := s.running
	if ctx == nil {
		return
	}
	s.handing++
	s.group.Go(func() {
		if _, taken := s.remote(ctx, Shard(record.Key), record); !taken {
			s.SubmitHere(record)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.handing--
	})
}

// SubmitHere hands a record to this box's own registry, also for other boxes.
func (s *Service) SubmitHere(record Record) {
	s.registry(Shard(record.Key)).Submit(record)
}

// Flushed reports whether no record waits to be appended.
func (s *Service) Flushed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, registry := range s.registries {
		if registry.Pending() > 0 {
			return false
		}
	}
	return s.handing == 0
}
