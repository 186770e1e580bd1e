package experiment

import (
	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/prompt"
)

// request simulates a request that a box receives, with its attempts on engines.
func (s *simulation) request(b *box) {
	s.requests++
	ask := balance.PickRequest{
		Pool: "p", Sticky: s.disabled != Sticky, Prompt: s.prompt(), Transfers: s.disabled != Fetch,
	}
	latency, sent := clock.Millis(0), 0
	for range maxConnectAttempts {
		lease, err := b.Pick(ask)
		if err != nil {
			return
		}
		e := s.engineOf(lease)
		if wait, down := s.unreachable(b, e); down {
			latency += wait
			s.release(lease)
			if s.disabled == Retry {
				return
			}
			ask.Tried = append(ask.Tried, lease.ID)
			continue
		}
		sent++
		s.attempts++
		if s.has(Errors) && s.random.IntN(percent) < errorPercent {
			lease.Release(balance.Failed)
			ask.Tried = append(ask.Tried, lease.ID)
			if s.disabled == Retry || sent >= maxAttempts {
				return
			}
			continue
		}
		s.serve(lease, e, ask.Prompt, latency)
		return
	}
}

func (s *simulation) engineOf(lease *balance.Lease) *engine {
	for _, e := range s.engines {
		if e.ID == lease.ID {
			return e
		}
	}
	return nil
}

// unreachable reports whether connecting to an engine fails, and after which time. A reachable host without an engine
// refuses the connection immediately; an unreachable one runs into the connect timeout.
func (s *simulation) unreachable(b *box, e *engine) (clock.Millis, bool) {
	switch {
	case !s.reachable(b.domain, e.FailureDomain):
		return connectTimeoutMs, true
	case !e.up:
		return connectRefusedMs, true
	default:
		return 0, false
	}
}

// release releases the lease of an unreachable engine. Without ejection the failure doesn't count against the engine.
func (s *simulation) release(lease *balance.Lease) {
	result := balance.Unreachable
	if s.disabled == Ejection {
		result = balance.Neutral
	}
	lease.Release(result)
}

// serve runs a request on an engine. The engine reads the prompt parts that it neither caches nor can fetch.
func (s *simulation) serve(lease *balance.Lease, e *engine, p prompt.Prompt, latency clock.Millis) {
	source := s.fetchSource(lease, e)
	read, fetched := uniqueTokens, 0
	for _, part := range p.Shared() {
		s.sharedTokens += part.Tokens
		switch {
		case e.cached[part.ID]:
		case source != nil && source.cached[part.ID]:
			fetched += part.Tokens
		default:
			read += part.Tokens
			if s.read[part.ID] {
				s.reread += part.Tokens
			}
		}
		e.cached[part.ID], s.read[part.ID] = true, true
	}
	s.fetched += fetched
	latency += baseLatencyMs + clock.Millis(read/prefillTokensPerMs+fetched/fetchTokensPerMs)
	lease.RecordResponseStart()
	s.completions = append(s.completions, completion{atMs: s.now + latency + streamDurationMs, lease: lease})
	s.served++
	if latency <= objectiveMs {
		s.inTime++
	}
}

// fetchSource returns the engine that cached prompt parts are fetched from, or nil if it can't be reached.
func (s *simulation) fetchSource(lease *balance.Lease, e *engine) *engine {
	for _, other := range s.engines {
		if other.Address == lease.FetchFrom && other.up && s.reachable(e.FailureDomain, other.FailureDomain) {
			return other
		}
	}
	return nil
}
