package dispatch

import "dooryard.example/dooryard/internal/clock"

const (
	// lifeSignGapMs is the time between two signs of life of an upstream that responds. A fatal part crashes the upstream
	// less than 0.1 s after it has begun to respond.
	lifeSignGapMs clock.Millis = 500
	// minLifeSigns is how many signs show that an upstream outlives a request. A box that stood still once reads late
	// what an upstream sent before it crashed, which looks like one sign.
	minLifeSigns = 2
)

// lifeSigns recognises by the times at which parts of a response arrive that its upstream outlives the request.
type lifeSigns struct {
	count  int
	lastMs clock.Millis
	begun  bool
}

// record records that a part of the response has arrived. It reports whether this is a sign that the upstream outlives
// the request.
func (l *lifeSigns) record(now clock.Millis) bool {
	if !l.begun {
		l.begun, l.lastMs = true, now
		return false
	}
	if now-l.lastMs < lifeSignGapMs {
		return false
	}
	l.lastMs = now
	l.count++
	return l.count >= minLifeSigns
}
