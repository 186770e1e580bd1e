package work

import (
	"slices"
	"sync"

	"dooryard.example/dooryard/internal/clock"
)

const (
	// lengthWeight is the least weight of an output in an average, which covers about the last 64 of a route. Lengths
	// vary by a factor of several, so fewer would not give a stable mean.
	lengthWeight = 1.0 / 64
	// minLengths is the number of outputs from which on an average is used. Before, single lengths would decide.
	minLengths = 16
	// maxHintFactor is the largest multiple of its hint for which one output counts, since hints are often far too small.
	maxHintFactor = 8
	// maxLengthRoutes is the number of routes for which lengths are kept. It limits the memory.
	maxLengthRoutes = 1024
	// eventRatios is the number of streams whose median gives the tokens per event. It is odd, so that the median is one
	// of the ratios.
	eventRatios = 33
	// minStreams is the number of streams from which on their time is used. With more, prompts of the first seconds of
	// an overload would be cut off at their limits.
	minStreams = 4
	// streamTimeFactor is the time to allow for a stream in relation to the mean. It allows for lengths that vary.
	streamTimeFactor = 2
)

// Lengths learns how the lengths of outputs relate to callers' hints and maxima, and how long streams take, by route.
// It is safe for concurrent use.
//
// This handles loads that fill the memory of engines: callers set maxima far above the lengths of their outputs, and
// engines would be left partly empty if the maxima were reserved.
type Lengths struct {
	mu     sync.Mutex
	routes map[string]*routeLengths
}

// routeLengths is what is known of one route.
type routeLengths struct {
	// perHint and perMaximum are the lengths of outputs as multiples of the hint, or of the maximum without one.
	perHint, perMaximum average
	// streamMs is the time from the first event of a stream to its end.
	streamMs average
	// perEvent holds the latest ratios of a hint to a number of events. Hints are correct at the median, so the median
	// of the ratios is the number of tokens per event.
	perEvent []float64
}

// average is a moving average, and the plain mean of the first samples.
type average struct {
	value   float64
	samples int
}

func (a *average) record(value float64) {
	a.samples++
	a.value += max(lengthWeight, 1/float64(a.samples)) * (value - a.value)
}

// or returns the average, or a value while there are too few samples.
func (a *average) or(value float64) float64 {
	if a.samples < minLengths {
		return value
	}
	return a.value
}

// NewLengths returns a Lengths without observations.
func NewLengths() *Lengths { return &Lengths{routes: map[string]*routeLengths{}} }

// Expect returns the expected length of the output in tokens, at most the maximum. Without observations, it is the
// hint, or half of the maximum if there is no hint. It is 0 if neither is known.
func (l *Lengths) Expect(route string, d Demand) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.routes[route]
	if known == nil {
		known = &routeLengths{}
	}
	expected := 0.0
	if d.HintTokens > 0 {
		expected = known.perHint.or(1) * float64(d.HintTokens)
	} else {
		const half = 0.5
		expected = known.perMaximum.or(half) * float64(d.MaxOutputTokens)
	}
	if d.MaxOutputTokens > 0 {
		expected = min(expected, float64(d.MaxOutputTokens))
	}
	return int(expected)
}

// Observe records the length of an output in tokens.
func (l *Lengths) Observe(route string, d Demand, outputTokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.route(route); known != nil {
		known.observe(d, float64(outputTokens))
	}
}

// ObserveEvents records the number of events of a complete stream. While the number of tokens per event is unknown, the
// events only contribute to that number, and no length is learnt.
func (l *Lengths) ObserveEvents(route string, d Demand, events int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.route(route)
	if known == nil || events <= 0 {
		return
	}
	if d.HintTokens > 0 {
		known.perEvent = append(known.perEvent, float64(d.HintTokens)/float64(events))
		known.perEvent = known.perEvent[max(0, len(known.perEvent)-eventRatios):]
	}
	if len(known.perEvent) < minLengths {
		return
	}
	sorted := slices.Sorted(slices.Values(known.perEvent))
	known.observe(d, sorted[len(sorted)/2]*float64(events))
}

// ObserveStream records the time from the first event of a complete stream to its end.
func (l *Lengths) ObserveStream(route string, took clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.route(route); known != nil {
		known.streamMs.record(float64(took))
	}
}

// AllowForStream returns the time to allow from the first event of a stream to its end, or 0 while it is unknown.
func (l *Lengths) AllowForStream(route string) clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.routes[route]
	if known == nil || known.streamMs.samples < minStreams {
		return 0
	}
	return clock.Millis(streamTimeFactor * known.streamMs.value)
}

// observe records the length of an output as a multiple of its hint, or of its maximum if it has no hint.
func (r *routeLengths) observe(d Demand, outputTokens float64) {
	switch {
	case d.HintTokens > 0:
		r.perHint.record(min(maxHintFactor, outputTokens/float64(d.HintTokens)))
	case d.MaxOutputTokens > 0:
		r.perMaximum.record(min(1, outputTokens/float64(d.MaxOutputTokens)))
	}
}

// route returns the entry of a route, which is created if there is none, or nil if maxLengthRoutes are known.
func (l *Lengths) route(name string) *routeLengths {
	known := l.routes[name]
	if known == nil && len(l.routes) < maxLengthRoutes {
		known = &routeLengths{}
		l.routes[name] = known
	}
	return known
}
