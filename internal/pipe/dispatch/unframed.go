package dispatch

import (
	"maps"
	"sync"

	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/upstream"
)

// unframedMs is for how long the next response of a pool may be expected to end with its connection, as one has.
const unframedMs = 4 * clock.Second

// unframedPools holds when each pool's latest response began that ends with its connection.
type unframedPools struct {
	mu    sync.Mutex
	atMs  map[string]clock.Millis
	clock clock.Clock
}

func newUnframedPools(c clock.Clock) *unframedPools {
	return &unframedPools{atMs: map[string]clock.Millis{}, clock: c}
}

func (p *unframedPools) record(pool string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.atMs[pool] = p.clock.Monotonic()
}

// expects reports whether the next response of a pool may end with its connection.
func (p *unframedPools) expects(pool string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	sinceMs := p.clock.Monotonic() - unframedMs
	maps.DeleteFunc(p.atMs, func(_ string, atMs clock.Millis) bool { return atMs < sinceMs })
	_, found := p.atMs[pool]
	return found
}

// expectEnd has a witness of the upstream opened before the response if that may end with its connection, until the
// returned function is called. The process may end with the first bytes.
func (s *retryLoop) expectEnd(lease *balance.Lease) (done func()) {
	if !s.pipe.unframed.expects(lease.Pool) {
		return func() {}
	}
	witness := lease.Client().Witness()
	witness.Expect()
	return witness.Unexpect
}

// witnessEnd has a witness of the upstream opened if nothing else may tell whether the response has been complete.
func (s *retryLoop) witnessEnd(lease *balance.Lease, resp *upstream.Response) {
	pool := s.request.State.Pool(lease.Pool)
	if pool == nil || pool.HealthPath != "" || !resp.AddWitness() {
		return
	}
	s.pipe.unframed.record(lease.Pool)
}
