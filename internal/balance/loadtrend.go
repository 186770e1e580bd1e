package balance

import "dooryard.example/dooryard/internal/clock"

// What a box knows of the load of a pool is as old as the reports of the other boxes. While the load falls, the mean
// that follows from it is too high, and so is the bound: with reports that are a second old and a load that falls by a
// quarter in a second, engines may hold 2.4 times the mean. The bound therefore follows from the load that is left if
// it has gone on falling as it did before.

const (
	// trendWindowMs is the time over which the trend of a load is measured. It is longer than the usual age of reports.
	trendWindowMs clock.Millis = 1500
	// trendSampleMs is the least time between two samples.
	trendSampleMs clock.Millis = 100
	// maxTrendAgeMs limits the age of reports for which a trend is continued.
	maxTrendAgeMs clock.Millis = 1000
	// maxFallPercent limits by how much an estimate is reduced. A load that ends falls faster, and its reports then
	// arrive before the trend is known.
	maxFallPercent = 50
)

// loadTrend measures how the load of a pool changes.
type loadTrend struct{ samples []loadSample }

type loadSample struct {
	ms   clock.Millis
	load int
}

// record adds a sample and removes old ones.
func (t *loadTrend) record(load int, now clock.Millis) {
	if n := len(t.samples); n > 0 && now-t.samples[n-1].ms < trendSampleMs {
		return
	}
	t.samples = append(t.samples, loadSample{ms: now, load: load})
	for len(t.samples) > 0 && now-t.samples[0].ms > trendWindowMs {
		t.samples = t.samples[1:]
	}
}

// perMs returns the change of the load per millisecond, from the mean of the older half of the samples to that of the
// newer half. It is 0 while there are fewer than four samples.
func (t *loadTrend) perMs() float64 {
	half := len(t.samples) / 2 //nolint:mnd // Half.
	if half < 2 {
		return 0
	}
	oldMs, oldLoad := meanSample(t.samples[:half])
	newMs, newLoad := meanSample(t.samples[half:])
	return (newLoad - oldLoad) / (newMs - oldMs)
}

func meanSample(samples []loadSample) (ms, load float64) {
	for _, s := range samples {
		ms += float64(s.ms)
		load += float64(s.load)
	}
	return ms / float64(len(samples)), load / float64(len(samples))
}

// withoutEnded returns the load of some members of a pool, as it was when other boxes reported it, without the requests
// that have probably ended since. A load that rises is not extrapolated: a bound that is too low moves requests, and
// one that is too high overloads engines.
func (m *Manager) withoutEnded(pool string, load int, now clock.Millis) int {
	if !m.enginePermits {
		return load
	}
	t := m.loadTrends[pool]
	if t == nil {
		t = &loadTrend{}
		m.loadTrends[pool] = t
	}
	all := m.total(pool, m.pools[pool], now)
	t.record(all, now)
	fall := -t.perMs() * float64(min(m.othersAgeMs, maxTrendAgeMs))
	if fall <= 0 || all == 0 {
		return load
	}
	return load - int(float64(load)*min(fall/float64(all), maxFallPercent/float64(percent)))
}
