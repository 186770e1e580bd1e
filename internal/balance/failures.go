package balance

import "dooryard.example/dooryard/internal/clock"

// failureRate is the fraction of an upstream's recent responses that were failures, as a moving
// average.
type failureRate struct {
	rate    float64
	samples int
}

const (
	// failureRateWeight makes the average cover about the last eight responses.
	failureRateWeight = 0.125
	// minFailureSamples is the number of responses that are needed before the rate is evaluated.
	minFailureSamples = 4
	// minEjectRate is the minimum failure rate for an ejection. It is twice the rate at which services
	// other than engines normally fail.
	minEjectRate = 0.3
	// minEjectRatio is the minimum ratio to the average rate of the other upstreams in the pool. If
	// all of them fail alike, ejecting one does not help.
	minEjectRatio = 3
)

func (f *failureRate) record(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	f.samples++
	weight := max(failureRateWeight, 1/float64(f.samples))
	f.rate += weight * (value - f.rate)
}

// recordFailure records a failed response, and ejects the upstream if it fails far more often than
// the others of its pool.
func (m *Manager) recordFailure(member *Member, now clock.Millis) {
	member.failures.record(true)
	if m.isFailureOutlier(member) {
		member.setHealth(member.health.WithUnreachable(now, m.settings.Health), now)
	}
}

func (m *Manager) isFailureOutlier(member *Member) bool {
	if member.failures.samples < minFailureSamples || member.failures.rate < minEjectRate {
		return false
	}
	sum, count := 0.0, 0
	for _, other := range m.pools[member.Pool] {
		if other != member {
			sum += other.failures.rate
			count++
		}
	}
	return count > 0 && member.failures.rate >= minEjectRatio*sum/float64(count)
}
