package admission

import (
	"math"

	"dooryard.example/dooryard/internal/clock"
)

// holdWeight makes the mean and the variance cover about the last 32 requests.
const holdWeight = 1.0 / 32

// holdTimes learns for how long requests of each urgency hold their slot and memory after their start.
type holdTimes [maxClasses]holdTime

type holdTime struct {
	samples      int
	ms, variance float64
}

// observe adds the time for which a request has run.
func (t *holdTimes) observe(r *request, now clock.Millis) {
	if r.phase != running {
		return
	}
	h := &t[r.ask.Urgency]
	h.samples++
	weight := max(holdWeight, 1/float64(h.samples))
	deviation := float64(now-r.startedMs) - h.ms
	h.ms += weight * deviation
	h.variance = (1 - weight) * (h.variance + weight*deviation*deviation)
}

// ms returns the mean time for which requests of an urgency run, or 0 if it is unknown.
func (t *holdTimes) ms(urgency int) float64 {
	if h := t[urgency]; h.samples >= minSamples {
		return h.ms
	}
	return 0
}

// deviation returns the standard deviation of the times of an urgency as a fraction of their mean, up to 1.
func (t *holdTimes) deviation(urgency int) float64 {
	h := t[urgency]
	return min(1, math.Sqrt(h.variance)/max(1, h.ms))
}
