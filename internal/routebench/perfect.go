package routebench

import "dooryard.example/dooryard/internal/grant"

// PerfectKnowledge is the policy to compare with: it sees every cache and the
// true load of all engines, and keeps the bound.
const PerfectKnowledge = "perfect-knowledge"

// pickPerfect takes the engine that holds most of the session among those that
// one more request leaves within the bound; among equals the least loaded.
func pickPerfect(r *run, _ int, s *session) int {
	total, count := 0, 0
	for _, e := range r.engines {
		if e.up {
			total += e.inFlight
			count++
		}
	}
	limit := grant.Limit(float64(total+1)/float64(count), BoundPercent)
	best, bestWarm, bestLoad := none, -1.0, 0
	for position, e := range r.engines {
		if !e.up || e.inFlight+1 > limit {
			continue
		}
		warm := e.cache.warm(s.key)
		if warm > bestWarm || warm == bestWarm && e.inFlight < bestLoad {
			best, bestWarm, bestLoad = position, warm, e.inFlight
		}
	}
	if best == none {
		return leastLoaded(r)
	}
	return best
}

func leastLoaded(r *run) int {
	best := none
	for position, e := range r.engines {
		if e.up && (best == none || e.inFlight < r.engines[best].inFlight) {
			best = position
		}
	}
	return best
}
