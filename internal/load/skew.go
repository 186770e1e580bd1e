package load

import (
	"strings"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/localfleet"
)

// Parameters of the sampling of engine loads.
const (
	skewSampleMs      = 100 * clock.Millis(1)
	skewWindowSamples = 10
	skewBound         = 1.25
	// minMean is the mean number of requests in flight below which a window is too small a sample to measure skew.
	minMean = 1
)

// skewMeter compares the busiest engine of each failure domain with the mean of the domain, in windows of one second.
type skewMeter struct {
	engines []*localfleet.EngineProcess
	sums    []float64
	samples int
	worst   float64
	excess  float64
}

func newSkewMeter(engines []*localfleet.EngineProcess) *skewMeter {
	return &skewMeter{engines: engines, sums: make([]float64, len(engines))}
}

func (m *skewMeter) sample() {
	for i, e := range m.engines {
		m.sums[i] += float64(e.Counts().Running)
	}
	m.samples++
	if m.samples == skewWindowSamples {
		m.closeWindow()
	}
}

func (m *skewMeter) closeWindow() {
	totals, busiest, counts := map[string]float64{}, map[string]float64{}, map[string]float64{}
	for i, e := range m.engines {
		load := m.sums[i] / skewWindowSamples
		totals[e.Domain] += load
		counts[e.Domain]++
		busiest[e.Domain] = max(busiest[e.Domain], load)
		m.sums[i] = 0
	}
	m.samples = 0
	for domain, total := range totals {
		mean := total / counts[domain]
		if mean < minMean {
			continue
		}
		m.worst = max(m.worst, busiest[domain]/mean)
		m.excess = max(m.excess, busiest[domain]-skewBound*mean)
	}
}

// cutFirstWord splits a text after its first word.
func cutFirstWord(text string) (word, rest string, found bool) { return strings.Cut(text, " ") }
