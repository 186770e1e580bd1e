package load

import (
	"strings"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/localfleet"
)

// Sampling of the engines' load.
const (
	skewSampleMs      = 100 * clock.Millis(1)
	skewWindowSamples = 10
	skewBound         = 1.25
	// leastMean is the mean below which a window says nothing about skew.
	leastMean = 1
)

// skewMeter compares the busiest engine of each failure domain with its mean, in
// windows of a second.
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
		if mean < leastMean {
			continue
		}
		m.worst = max(m.worst, busiest[domain]/mean)
		m.excess = max(m.excess, busiest[domain]-skewBound*mean)
	}
}

// cutWord returns the first word of a text.
func cutWord(text string) (word, rest string, found bool) { return strings.Cut(text, " ") }
