package gateway

import (
	"runtime/metrics"
	"slices"
	"syscall"
	"time"

	"dooryard.example/dooryard/internal/clock"
)

// processorTimeMs returns the processor time that the process has used.
func processorTimeMs() clock.Millis {
	var u syscall.Rusage
	// It fails only for invalid arguments.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return clock.Millis(time.Duration(u.Utime.Nano() + u.Stime.Nano()).Milliseconds())
}

// collectorStops is the histogram of the times for which the garbage collector stopped the process. They include the
// wait for the threads to stop.
const collectorStops = "/sched/pauses/total/gc:seconds"

// collectorPauses tells how long the garbage collector stopped the process.
type collectorPauses struct{ counts []uint64 }

// longestMs returns the longest stop since the last call, rounded down to a bound of the histogram.
func (p *collectorPauses) longestMs() clock.Millis { return p.longest(readCollectorStops()) }

func readCollectorStops() *metrics.Float64Histogram {
	sample := []metrics.Sample{{Name: collectorStops}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return &metrics.Float64Histogram{}
	}
	return sample[0].Value.Float64Histogram()
}

func (p *collectorPauses) longest(h *metrics.Float64Histogram) clock.Millis {
	before := p.counts
	p.counts = slices.Clone(h.Counts)
	for i, count := range slices.Backward(h.Counts) {
		if count > 0 && (i >= len(before) || count > before[i]) {
			// The lowest bound is negative infinity.
			return clock.Millis(max(0, h.Buckets[i]) * float64(clock.Second))
		}
	}
	return 0
}
