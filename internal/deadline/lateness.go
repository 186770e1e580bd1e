package deadline

import (
	"sync"

	"dooryard.example/dooryard/internal/clock"
)

// latenessSpanMs is how long an observed lateness counts at least. It counts for up to twice as long.
const latenessSpanMs = 5 * clock.Second

// Lateness is by how much this process is late when it acts at a set time: the highest value that was observed lately.
// The zero value is ready to use.
type Lateness struct {
	mu      sync.Mutex
	sinceMs clock.Millis
	// current is the highest value since sinceMs, and previous that of the span before.
	current, previous clock.Millis
}

// Observe records that the process acted late at a monotonic time.
func (l *Lateness) Observe(now, lateMs clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	l.current = max(l.current, lateMs)
}

// MaxMs returns the highest lateness that was observed lately.
func (l *Lateness) MaxMs(now clock.Millis) clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	return max(l.current, l.previous)
}

// advance begins a new span once the current one is over. The mutex must be held.
func (l *Lateness) advance(now clock.Millis) {
	switch elapsed := now - l.sinceMs; {
	case elapsed < latenessSpanMs:
		return
	case elapsed < 2*latenessSpanMs:
		l.previous = l.current
	default:
		l.previous = 0
	}
	l.current, l.sinceMs = 0, now
}
