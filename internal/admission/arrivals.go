package admission

import (
	"math"

	"dooryard.example/dooryard/internal/clock"
)

// arrivalMs is the time constant of the measured rates. It is about the time for which requests wait here.
const arrivalMs = 2000.0

// arrivals measures the work that requests of each urgency bring, as decaying sums of expected prefill times.
type arrivals [maxClasses]arrivalSum

type arrivalSum struct {
	ms   float64
	atMs clock.Millis
}

// add counts the expected prefill time of a granted request.
func (a *arrivals) add(urgency int, ms float64, now clock.Millis) {
	a[urgency] = arrivalSum{ms: a[urgency].decayed(now) + ms, atMs: now}
}

func (s arrivalSum) decayed(now clock.Millis) float64 {
	if s.ms == 0 {
		return 0
	}
	return s.ms * math.Exp(-float64(now-s.atMs)/arrivalMs)
}

// moreUrgentShare returns how much of an engine's time requests of greater urgency have taken of late.
func (a *arrivals) moreUrgentShare(urgency int, now clock.Millis) float64 {
	sum := 0.0
	for _, s := range a[:urgency] {
		sum += s.decayed(now)
	}
	return sum / arrivalMs
}
