package pace

import (
	"math"
	"slices"

	"dooryard.example/dooryard/internal/clock"
)

const (
	// learnSpanMs is the age up to which samples count.
	learnSpanMs = 3 * clock.Second
	// maxSamples limits the samples of an upstream.
	maxSamples = 8
	// minSamples is the number of samples that are needed to find an upstream slow.
	minSamples = 3
	// minExcessMs is by how much a time must exceed the usual one to count as slow. A smaller excess may be a longer
	// network path, and costs callers little.
	minExcessMs = 20
)

// GapsPerSample is the number of gaps between parts of a stream that a sample covers: some hundred milliseconds.
const GapsPerSample = 16

// Sample is the time to the first byte of a response, or the time of some gaps between parts of a stream.
type Sample struct {
	// Request numbers the request. Its newest sample counts, so that a single one does not decide.
	Request uint64
	// Gaps is set for the time of GapsPerSample gaps. Tokens stands for the load of the upstream then.
	Gaps bool
	// Tokens is the number of tokens that the request and those ahead of it prefill, and Ahead the number of the latter.
	Tokens, Ahead int
	TookMs        clock.Millis
	AtMs          clock.Millis
}

// Learner learns the pace of one upstream that does not report it, from how its times to the first byte and the gaps of
// its streams compare with those of its pool. The zero value has no samples. It has no lock of its own.
type Learner struct {
	samples []Sample
}

// Observe adds a sample.
func (l *Learner) Observe(s Sample) {
	l.samples = slices.DeleteFunc(l.samples, func(old Sample) bool { return old.Request == s.Request })
	if len(l.samples) >= maxSamples {
		l.samples = slices.Delete(l.samples, 0, 1)
	}
	l.samples = append(l.samples, s)
}

// Reset removes the samples, so that later ones decide whether the upstream is still slow.
func (l *Learner) Reset() { l.samples = nil }

// Percent returns the median pace of the samples of the last 3 s, in percent of the median of the pool. It is unknown
// with less than three samples, or without any if the upstream was found slow before. It is above SlowPercent only if
// the times of the pool differ so little that this shows a slow upstream.
func (l *Learner) Percent(p *PoolTimes, foundSlow bool, now clock.Millis) (percent int, known bool) {
	ratios, slowRatio := []float64{}, 0.0
	for _, s := range l.samples {
		times := p.of(s.Gaps)
		if ratio, known := times.ratio(s); known && now-s.AtMs <= learnSpanMs {
			ratios = append(ratios, ratio)
			slowRatio = max(slowRatio, times.slowRatio())
		}
	}
	if len(ratios) == 0 || len(ratios) < minSamples && !foundSlow {
		return 0, false
	}
	slices.Sort(ratios)
	// Of an even number of samples, the lower one of the two in the middle counts.
	median := ratios[(len(ratios)-1)/2]
	if median <= slowRatio {
		median = min(median, float64(SlowPercent)/UsualPercent)
	}
	return int(math.Min(MaxPercent, math.Max(UsualPercent, math.Round(median*UsualPercent)))), true
}
