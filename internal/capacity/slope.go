// Package capacity measures how the cost of the control plane grows with the size of a fleet, and extrapolates it to
// fleet sizes that no test machine can run.
package capacity

import (
	"math"
	"runtime"
	"time"
)

// Point is a measured cost at a size.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a series of measured costs by size, with a linear fit.
type Slope struct {
	Name string `json:"name"`
	// Against names the size that varies, and Unit is the unit of the cost.
	Against string  `json:"against"`
	Unit    string  `json:"unit"`
	Points  []Point `json:"points"`
	// Intercept and PerUnit are the parameters of the fitted line.
	Intercept float64 `json:"intercept"`
	PerUnit   float64 `json:"per_unit"`
	// Residual is the largest deviation of a point from the line, relative to the largest cost. A large residual means
	// that the cost isn't linear.
	Residual float64 `json:"residual"`
	// Deterministic is true if the cost is the same on every machine.
	Deterministic bool `json:"deterministic"`
}

// At returns the cost at a size according to the fitted line.
func (s Slope) At(x float64) float64 { return s.Intercept + s.PerUnit*x }

// fit returns the slope with a least squares fit of its points.
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

// measure measures the cost at each size and fits the slope.
func measure(s Slope, sizes []int, cost func(size int) float64) Slope {
	for _, size := range sizes {
		s.Points = append(s.Points, Point{X: float64(size), Y: cost(size)})
	}
	return s.fit()
}

const (
	timedRuns      = 5
	timedRunLength = 60 * time.Millisecond
)

// nanoseconds returns the mean time of a call in the fastest of several runs, which is the one least disturbed by other
// load on the machine.
func nanoseconds(call func()) float64 {
	best := math.Inf(1)
	for range timedRuns {
		count := 0
		start := time.Now()
		for time.Since(start) < timedRunLength {
			call()
			count++
		}
		best = min(best, float64(time.Since(start).Nanoseconds())/float64(count))
	}
	return best
}

// heapBytes returns the heap size of a value.
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
