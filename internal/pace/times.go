package pace

import "dooryard.example/dooryard/internal/clock"

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

// Times learns how long the upstreams of a pool take to the first byte at their usual pace, as a fixed part and a part
// per prefilled token, by least squares. It addresses pools whose prompts differ in length, where a long prompt must
// not be mistaken for a slow upstream. The zero value has no samples. It has no lock of its own.
type Times struct {
	samples int
	// weight is the sum of the weights of all samples; the others are weighted sums of their tokens and times.
	weight, tokens, times, tokensTokens, tokensTimes float64
	// usual is an estimate of the median ratio of observed to expected times, less 1. It is below 0 while some upstreams
	// are slow and raise the expectation.
	usual float64
}

// Steps by which the median ratio follows a sample. The first ones are larger, so that it settles within some seconds.
const (
	firstUsualStep   = 0.1
	usualStep        = 0.02
	firstUsualSteps  = 100
	minUsualRatio    = 0.05
	maxUsualRatio    = 20
	usualRatioOffset = 1
)

// Observe adds the time to the first byte of a request at an upstream with a pace in percent of the usual time.
func (s *Times) Observe(tokens int, took clock.Millis, percent int) {
	x, y := float64(tokens), float64(took)*UsualPercent/float64(max(UsualPercent, percent))
	if expected, known := s.Expect(tokens, 0); known {
		s.followMedian(y / expected)
		y = min(maxOutlier*expected, max(expected/maxOutlier, y))
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

// followMedian moves the median ratio a step towards a sample.
func (s *Times) followMedian(ratio float64) {
	step := usualStep
	if s.samples < firstUsualSteps {
		step = firstUsualStep
	}
	usual := s.usual + usualRatioOffset
	if ratio > usual {
		usual *= 1 + step
	} else {
		usual /= 1 + step
	}
	s.usual = min(maxUsualRatio, max(minUsualRatio, usual)) - usualRatioOffset
}

// usualMs returns what a time to the first byte is when it is as far from the expected one as the median of the pool.
func (s *Times) usualMs(tokens, ahead int) (ms float64, known bool) {
	expected, known := s.Expect(tokens, ahead)
	return expected * (s.usual + usualRatioOffset), known
}

// Mean returns the mean time to the first byte at the usual pace, in milliseconds, or 0 without samples.
func (s *Times) Mean() float64 {
	if s.weight == 0 {
		return 0
	}
	return s.times / s.weight
}
