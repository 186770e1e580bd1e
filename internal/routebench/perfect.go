package routebench

import "dooryard.example/dooryard/internal/grant"

// PerfectKnowledge is the name of the reference policy: it knows the contents of every cache and the true load of all
// engines, and keeps the load bound.
const PerfectKnowledge = "perfect-knowledge"

// pickPerfect picks, among the engines that stay within the load bound with one more request, the one that caches most
// of the session. Ties go to the least loaded one. If no engine stays within the bound, it picks the least loaded one.
func pickPerfect(r *run, _ int, s *session) int {
	total, count := 0, 0
	for _, e := range r.engines {
		if e.up {
			total += e.inFlight
			count++
		}
	}
	limit := grant.Limit(float64(total+1)/float64(count), BoundPercent)
	best, bestCached, bestLoad := none, -1.0, 0
	for position, e := range r.engines {
		if !e.up || e.inFlight+1 > limit {
			continue
		}
		cachedTokens := e.cache.cachedTokens(s.key)
		if cachedTokens > bestCached || cachedTokens == bestCached && e.inFlight < bestLoad {
			best, bestCached, bestLoad = position, cachedTokens, e.inFlight
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
