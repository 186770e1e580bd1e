package gateway

import (
	"context"
	"math"
	"sync"

	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/guard"
	"dooryard.example/dooryard/internal/mesh"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/upstream"
)

const (
	// stalledCheckIntervalMs is the time between two questions to other boxes about a pool, and between two probes of a
	// stalled one.
	stalledCheckIntervalMs clock.Millis = 250
	// minWitnessAttempts is how many attempts other boxes must have made, and minWitnessPercent how many of them must
	// have got a response, for a pool to be stalled for this box.
	minWitnessAttempts = 5
	minWitnessPercent  = 80
	// maxSilenceChance is the greatest probability at which this box's attempts may all be slow by chance for the pool to
	// count as stalled.
	maxSilenceChance = 1e-3
)

// stalledPools finds the pools and single upstreams to which connections open although nothing comes back. Other boxes
// tell such a pool from a slow one, and a health check such an upstream. Health checks also tell when they respond
// again.
type stalledPools struct {
	box *Box

	mu sync.Mutex
	// checkedMs is when a pool was last asked about or probed.
	checkedMs map[string]clock.Millis
}

func newStalledPools(b *Box) *stalledPools {
	return &stalledPools{box: b, checkedMs: map[string]clock.Millis{}}
}

// check starts the questions and probes that are due.
func (s *stalledPools) check(ctx context.Context, running *sync.WaitGroup) {
	for pool, spans := range s.box.balance.SilentPools() {
		if s.isDue(pool) {
			running.Go(func() { guard.Do("question about a pool", func() { s.ask(ctx, spans) }) })
		}
	}
	for _, silent := range s.box.balance.SilentMembers() {
		if path := s.box.healthPath(silent.Pool); path != "" {
			running.Go(func() { guard.Do("health check", func() { s.checkMember(ctx, silent, path) }) })
		}
	}
	for pool := range s.box.balance.StalledPools() {
		if s.isDue(pool) {
			running.Go(func() { guard.Do("probe of a pool", func() { s.probe(ctx, pool) }) })
		}
	}
}

func (s *stalledPools) isDue(pool string) bool {
	now := s.box.clock.Monotonic()
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, known := s.checkedMs[pool]; known && now-at < stalledCheckIntervalMs {
		return false
	}
	s.checkedMs[pool] = now
	return true
}

// ask asks other boxes about a silent pool, and records that it is stalled if they got responses. Of a span in which
// they sent too little, as while all upstreams asked for backoff, they tell nothing. The next one ends later.
func (s *stalledPools) ask(ctx context.Context, spans []balance.SilentPool) {
	for _, silent := range spans {
		answers := s.box.peering.mesh.AskAttempts(ctx, namekey.Of(silent.Pool), silent.FromMs, silent.ToMs)
		if others := sumOfWitnesses(answers); others.Started >= minWitnessAttempts {
			s.judge(silent, others)
			return
		}
	}
}

// judge records that a silent pool is stalled if the attempts of other boxes show it.
func (s *stalledPools) judge(silent balance.SilentPool, others mesh.Attempts) {
	if percent*others.Answered < minWitnessPercent*others.Started ||
		silenceChance(others, silent.Attempts) > maxSilenceChance {
		return
	}
	s.box.balance.SetStalled(silent.Pool)
	s.box.log.Record(decision.PoolStalled{
		Pool: silent.Pool, Attempts: silent.Attempts, FromMs: silent.FromMs, ToMs: silent.ToMs,
		OthersStarted: others.Started, OthersAnswered: others.Answered,
	})
}

// silenceChance returns the probability that a number of attempts all get no response in time if each one gets one as
// often as those of the other boxes, of which a few are a small sample (rule of succession).
func silenceChance(others mesh.Attempts, attempts int) float64 {
	unanswered := float64(others.Started-others.Answered+1) / float64(others.Started+2) //nolint:mnd // Two outcomes.
	return math.Pow(unanswered, float64(attempts))
}

// sumOfWitnesses adds up the attempts of the boxes that got responses. The pool may be stalled for the others, too.
func sumOfWitnesses(answers []mesh.Attempts) mesh.Attempts {
	sum := mesh.Attempts{}
	for _, a := range answers {
		if a.Answered > 0 {
			sum.Started += a.Started
			sum.Answered += a.Answered
		}
	}
	return sum
}

// probe sends health checks to upstreams of a stalled pool, and records whether it responds again. If the pool has no
// health checks, one of the callers' requests is sent there now and then.
func (s *stalledPools) probe(ctx context.Context, pool string) {
	path := s.box.healthPath(pool)
	if path == "" {
		s.box.balance.AllowStalledTrial(pool)
		return
	}
	responds := func(c *upstream.Client) bool { return s.responds(ctx, c, path) }
	if anyOf(s.box.balance.StalledTargets(pool), responds) {
		s.box.balance.SetResponding(pool)
	}
}

// checkMember sends a health check to an upstream that doesn't respond, and records whether it is stalled.
func (s *stalledPools) checkMember(ctx context.Context, silent balance.SilentMember, path string) {
	responded := s.responds(ctx, silent.Client, path)
	if ctx.Err() == nil && s.box.balance.RecordHealthCheck(silent, responded) {
		s.box.log.Record(decision.UpstreamStalled{
			Upstream: silent.ID, Pool: silent.Pool, Unanswered: silent.Unanswered, SilentMs: silent.SinceMs,
			Responds: responded,
		})
	}
}

// responds reports whether an upstream responds to a health check, whatever it says.
func (s *stalledPools) responds(ctx context.Context, c *upstream.Client, path string) bool {
	ctx, cancel := s.box.clock.WithTimeout(ctx, stalledCheckIntervalMs)
	defer cancel()
	return c.RespondsTo(ctx, path)
}
