package admission

import "dooryard.example/dooryard/internal/clock"

const (
	usualPercent = 100
	maxPercent   = 1000
	// ratioWeight makes the correction of an upstream's pace follow its last 8 starts.
	ratioWeight = 1.0 / 8
	// maxRatio bounds the correction either way, to the factor by which reports are bounded.
	maxRatio = 10
)

// pace is how long work takes at one upstream, as a factor of what is usual in its pool: the reported percentage,
// corrected by what was observed, since reports can be wrong.
type pace struct {
	percent int
	// reportedMs is when percent was reported.
	reportedMs clock.Millis
	ratio      float64
}

// reportTTLMs is how long a report counts: about as long as a slow spell of a shared machine.
const reportTTLMs clock.Millis = 600

// report records the pace that a box tells, or 0 if it knows none.
func (p *pace) report(percent int, now clock.Millis) {
	switch {
	case percent > 0:
		p.percent, p.reportedMs = min(maxPercent, max(usualPercent, percent)), now
	case now-p.reportedMs >= reportTTLMs:
		p.percent = usualPercent
	}
}

func (p *pace) reported() float64 { return float64(p.percent) / usualPercent }

func (p *pace) factor() float64 { return p.reported() * p.ratio }

// observe compares an interval with what was expected at the reported pace.
func (p *pace) observe(ms, expected float64) {
	if expected <= 0 {
		return
	}
	observed := min(maxRatio, max(1.0/maxRatio, ms/expected))
	p.ratio += ratioWeight * (observed - p.ratio)
}
