package admission

import (
	"math"

	"dooryard.example/dooryard/internal/clock"
)

// arrivalMs is the time constant of the measured rates. It is about the time for which requests wait here.
const arrivalMs = 2000.0

// arrivals measures the work that requests of each urgency bring, as decaying sums of expected prefill times.
type arrivals struct {
	sums []arrivalSum
}

type arrivalSum struct {
	urgency int
	ms      float64
	atMs    clock.Millis
}

// add counts the expected prefill time of a granted request.
func (a *arrivals) add(urgency int, ms float64, now clock.Millis) {
	for i := range a.sums {
		if s := &a.sums[i]; s.urgency == urgency {
			s.ms, s.atMs = s.decayed(now)+ms, now
			return
		}
	}
	if len(a.sums) < maxClasses {
		a.sums = append(a.sums, arrivalSum{urgency: urgency, ms: ms, atMs: now})
	}
}

func (s arrivalSum) decayed(now clock.Millis) float64 {
	return s.ms * math.Exp(-float64(now-s.atMs)/arrivalMs)
}

// moreUrgentShare returns how much of one engine's time requests of greater urgency have taken of late.
func (a *arrivals) moreUrgentShare(urgency int, now clock.Millis) float64 {
	sum := 0.0
	for _, s := range a.sums {
		if s.urgency < urgency {
			sum += s.decayed(now)
		}
	}
	return sum / arrivalMs
}
