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
	// observedMs is when ratio was last observed.
	observedMs clock.Millis
	// slowStart is set if the newest start took longer than at the usual pace.
	slowStart bool
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
func (p *pace) observe(ms, expected float64, now clock.Millis) {
	if expected <= 0 {
		return
	}
	observed := min(maxRatio, max(1.0/maxRatio, ms/expected))
	p.ratio += ratioWeight * (observed - p.ratio)
	p.observedMs = now
}

const (
	// slowPercent is the pace above which answers contain it. It is pace.SlowPercent.
	slowPercent = 150
	// maxAnsweredAgeMs is the age up to which answers contain a report or an observation: half of the usual length of a
	// spell. The boxes count it from this age on, so that their holds end no later than that of the box that reported.
	maxAnsweredAgeMs = reportTTLMs / 2
)

// answered returns the pace for the answer to an ask, or 0 if the upstream is not known to be slow. A box that reported
// a slow pace with the ask knows it already, and would avoid the upstream for longer if its own report came back.
func (p *pace) answered(a Ask, overdue float64, now clock.Millis) int {
	if a.SlowPercent > slowPercent {
		return 0
	}
	factor := 1.0
	if now-p.reportedMs < maxAnsweredAgeMs {
		factor = p.reported()
	}
	if p.observedMs > 0 && now-p.observedMs < maxAnsweredAgeMs {
		factor *= p.ratio
	}
	percent := min(maxPercent, int(usualPercent*max(factor, overdue)))
	if percent <= slowPercent {
		return 0
	}
	return percent
}

// minOverdueMs is by how much a start must be overdue to show a slow pace. Messages and boxes delay starts.
const minOverdueMs = 20

// overdue returns the time since the engine's last progress as a factor of the time that the longest-waiting prompt
// usually takes, or 0 if that prompt isn't overdue. In a spell, this shows the pace before a start does. After a usual
// spell it shows nothing more: the start may have been lost.
func (u *upstream) overdue(now clock.Millis) float64 {
	if len(u.backlog.requests) == 0 || !u.pool.times.mayDeny() {
		return 0
	}
	s := u.backlog.requests[0].sample(u.backlog.progressMs, now)
	elapsed, usual := s.ms, u.pool.times.startMs(s)
	if usual <= 0 || elapsed < usual+minOverdueMs || elapsed >= usual+float64(reportTTLMs) {
		return 0
	}
	return elapsed / usual
}

// suspect reports whether the engine is likely slow at this moment: its longest-waiting prompt is overdue, or its
// newest start was slow and another prompt is to show whether it still is. Asks without MayQueue are denied then, so
// that boxes ask other engines first.
func (u *upstream) suspect(now clock.Millis) bool {
	return len(u.backlog.requests) > 0 && (u.pace.slowStart || u.overdue(now) > 0)
}
