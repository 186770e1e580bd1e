package deadline

import (
	"sync"

	"dooryard.example/dooryard/internal/clock"
)

const (
	// latenessSpanMs is how long an observed lateness counts at least. It counts for up to twice as long.
	latenessSpanMs = 5 * clock.Second
	// maxLatenessMs is the highest lateness that is told apart from higher ones.
	maxLatenessMs clock.Millis = 500
	// exceedingPercent is the share of the observations that may exceed the usual lateness. A single long delay would
	// otherwise have sound responses given up for seconds.
	exceedingPercent = 2
)

// Lateness is by how much this process is late when it acts at a set time. The zero value is ready to use.
type Lateness struct {
	mu      sync.Mutex
	sinceMs clock.Millis
	// current counts the observations since sinceMs, and previous those of the span before.
	current, previous latenessCounts
}

// latenessCounts counts observations by whole milliseconds.
type latenessCounts struct {
	total  int
	counts [maxLatenessMs + 1]int
}

// Observe records that the process acted late at a monotonic time.
func (l *Lateness) Observe(now, lateMs clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	l.current.total++
	l.current.counts[max(0, min(lateMs, maxLatenessMs))]++
}

// UsualMs returns the lateness that the process rarely exceeded lately.
func (l *Lateness) UsualMs(now clock.Millis) clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	exceeding := (l.current.total + l.previous.total) * exceedingPercent / percent
	for lateMs := maxLatenessMs; lateMs > 0; lateMs-- {
		exceeding -= l.current.counts[lateMs] + l.previous.counts[lateMs]
		if exceeding < 0 {
			return lateMs
		}
	}
	return 0
}

// advance begins a new span once the current one is over. The mutex must be held.
func (l *Lateness) advance(now clock.Millis) {
	switch elapsed := now - l.sinceMs; {
	case elapsed < latenessSpanMs:
		return
	case elapsed < 2*latenessSpanMs:
		l.previous = l.current
	default:
		l.previous = latenessCounts{}
	}
	l.current, l.sinceMs = latenessCounts{}, now
}
