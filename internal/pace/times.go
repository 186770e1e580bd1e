package pace

import (
	"math"

	"dooryard.example/dooryard/internal/clock"
)

const (
	// timesDecay is the weight that the older samples keep with each new one: about the last 200 count.
	timesDecay = 0.995
	// minTimesSamples is the number of samples that are needed before times are expected.
	minTimesSamples = 16
	// minTokensDeviation is the standard deviation of the tokens below which the time per token can't be told from the
	// fixed part.
	minTokensDeviation = 64
	// maxOutlier is by which factor a sample may differ from the expected time. Beyond it, it counts as this much, so
	// that a stalled request doesn't distort the expectation.
	maxOutlier = 4
)

// PoolTimes are the times of a pool's upstreams at their usual pace.
type PoolTimes struct {
	// FirstByte are the times to the first byte, by the tokens to prefill.
	FirstByte Times
	// Gaps are the times of GapsPerSample gaps between parts of a stream, by a hundred times the load of the upstream,
	// since engines that run more streams send each more slowly.
	Gaps Times
}

func (p *PoolTimes) of(gaps bool) *Times {
	if gaps {
		return &p.Gaps
	}
	return &p.FirstByte
}

// Times learns how long the upstreams of a pool take to the first byte at their usual pace, as a fixed part and a part
// per prefilled token, by least squares. It addresses pools whose prompts differ in length, where a long prompt must
// not be mistaken for a slow upstream. The zero value has no samples. It has no lock of its own.
type Times struct {
	samples int
	// weight is the sum of the weights of all samples; the others are weighted sums of their tokens and times.
	weight, tokens, times, tokensTokens, tokensTimes float64
	// median and low are estimates of the median and the lowQuantile of the ratios of observed to expected times. The
	// median is below 1 while some upstreams are slow and raise the expectation.
	median, low float64
}

const (
	// lowQuantile is the quantile by which the spread of the ratios is measured. Slow upstreams hardly change it.
	lowQuantile = 0.2
	// spreadExponent is how far from the median a time must be to count as slow, as an exponent of the ratio of the
	// median to the low quantile. With log-normal times it is 2.1 standard deviations.
	spreadExponent = 2.5
	// firstStep and laterStep are how far an estimate follows a sample. The first ones are larger, so that it settles
	// within some seconds.
	firstStep  = 0.1
	laterStep  = 0.02
	firstSteps = 100
	minRatio   = 0.01
)

// Observe adds the time to the first byte of a request at an upstream with a pace in percent of the usual time.
func (s *Times) Observe(tokens int, took clock.Millis, percent int) {
	x, y := float64(tokens), float64(took)*UsualPercent/float64(max(UsualPercent, percent))
	if expected, known := s.Expect(tokens, 0); known {
		s.followRatio(y / expected)
		y = min(maxOutlier*expected, max(expected/maxOutlier, y))
	}
	if s.samples == 0 {
		s.median, s.low = 1, 1
	}
	s.samples++
	s.weight = s.weight*timesDecay + 1
	s.tokens = s.tokens*timesDecay + x
	s.times = s.times*timesDecay + y
	s.tokensTokens = s.tokensTokens*timesDecay + x*x
	s.tokensTimes = s.tokensTimes*timesDecay + x*y
}

// PerToken returns the time per token in milliseconds. It is unknown until there are samples of different lengths.
func (s *Times) PerToken() (ms float64, known bool) {
	if s.samples < minTimesSamples {
		return 0, false
	}
	meanTokens, meanTime := s.tokens/s.weight, s.times/s.weight
	variance := s.tokensTokens/s.weight - meanTokens*meanTokens
	if variance < minTokensDeviation*minTokensDeviation {
		return 0, false
	}
	slope := (s.tokensTimes/s.weight - meanTokens*meanTime) / variance
	// The fixed part is not negative.
	return max(0, min(slope, meanTime/meanTokens)), true
}

// Expect returns the expected time to the first byte of a request at the usual pace, in milliseconds. The tokens are
// those that it and the requests ahead of it at the upstream prefill.
func (s *Times) Expect(tokens, ahead int) (ms float64, known bool) {
	if s.samples < minTimesSamples {
		return 0, false
	}
	perToken, _ := s.PerToken()
	fixed := max(0, s.times/s.weight-perToken*s.tokens/s.weight)
	return max(1, fixed*float64(1+ahead)+perToken*float64(tokens)), true
}

// followRatio moves the estimates of quantiles a step towards a sample.
func (s *Times) followRatio(ratio float64) {
	step := laterStep
	if s.samples < firstSteps {
		step = firstStep
	}
	follow := func(estimate *float64, quantile float64) {
		if ratio > *estimate {
			*estimate *= math.Exp(step * quantile)
		} else {
			*estimate = max(minRatio, *estimate*math.Exp(step*(quantile-1)))
		}
	}
	follow(&s.median, 0.5) //nolint:mnd // The median.
	follow(&s.low, lowQuantile)
}

// ratio returns how a time to the first byte compares with the expected one, relative to the median of the pool.
func (s *Times) ratio(sample Sample) (ratio float64, known bool) {
	expected, known := s.Expect(sample.Tokens, sample.Ahead)
	if !known {
		return 0, false
	}
	usual, took := expected*s.median, float64(sample.TookMs)
	if took-usual < minExcessMs {
		return min(1, took/usual), true
	}
	return took / usual, true
}

// slowRatio returns the ratio above which a time counts as slow. It is higher the more times differ anyway, because of
// queues or of different work, so that a loaded upstream is not taken for a slow one.
func (s *Times) slowRatio() float64 {
	return max(float64(SlowPercent)/UsualPercent, math.Pow(s.median/min(s.low, s.median), spreadExponent))
}

// Mean returns the mean time to the first byte at the usual pace, in milliseconds, or 0 without samples.
func (s *Times) Mean() float64 {
	if s.weight == 0 {
		return 0
	}
	return s.times / s.weight
}
