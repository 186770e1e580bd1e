// Package capacity measures what control costs against the size of a fleet, so
// that the cost at a size that no test machine has can be worked out.
package capacity

import (
	"math"
	"runtime"
	"time"
)

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a cost against a size, with a straight line through it.
type Slope struct {
	Name string `json:"name"`
	// Against names the size, Unit the cost.
	Against string  `json:"against"`
	Unit    string  `json:"unit"`
	Points  []Point `json:"points"`
	// Intercept and PerUnit are the line's.
	Intercept float64 `json:"intercept"`
	PerUnit   float64 `json:"per_unit"`
	// Residual is the largest distance of a point from the line, as a part of
	// the largest cost. A large one says that the line bends.
	Residual float64 `json:"residual"`
	// Deterministic is set for costs that are the same on every machine.
	Deterministic bool `json:"deterministic"`
}

// At returns the line's cost at a size.
func (s Slope) At(x float64) float64 { return s.Intercept + s.PerUnit*x }

// fit draws the least squares line.
func (s Slope) fit() Slope {
	n := float64(len(s.Points))
	sumX, sumY, sumXX, sumXY, largest := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, p := range s.Points {
		sumX += p.X
		sumY += p.Y
		sumXX += p.X * p.X
		sumXY += p.X * p.Y
		largest = max(largest, math.Abs(p.Y))
	}
	if spread := n*sumXX - sumX*sumX; spread != 0 {
		s.PerUnit = (n*sumXY - sumX*sumY) / spread
	}
	s.Intercept = (sumY - s.PerUnit*sumX) / n
	for _, p := range s.Points {
		if largest > 0 {
			s.Residual = max(s.Residual, math.Abs(p.Y-s.At(p.X))/largest)
		}
	}
	return s
}

// measure takes the points of a slope.
func measure(s Slope, sizes []int, cost func(size int) float64) Slope {
	for _, size := range sizes {
		s.Points = append(s.Points, Point{X: float64(size), Y: cost(size)})
	}
	return s.fit()
}

const (
	timedRuns   = 5
	timedAtMost = 60 * time.Millisecond
)

// nanoseconds returns the time of one call: the least of several runs, which
// other work on the machine disturbs least.
func nanoseconds(call func()) float64 {
	best := math.Inf(1)
	for range timedRuns {
		count := 0
		began := time.Now()
		for time.Since(began) < timedAtMost {
			call()
			count++
		}
		best = min(best, float64(time.Since(began).Nanoseconds())/float64(count))
	}
	return best
}

// heapBytes returns what a value takes on the heap.
func heapBytes[T any](build func() T) float64 {
	before := heap()
	value := build()
	after := heap()
	runtime.KeepAlive(value)
	return max(0, after-before)
}

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
