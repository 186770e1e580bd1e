package opaque

import "dooryard.example/dooryard/internal/clock"

// Signals is what an upstream reports about itself in the header of a response. The dialect
// decodes it once per response. The zero value reports nothing.
type Signals struct {
	// BackoffMs is how long the upstream asks this box to back off, that is to send no requests, or 0.
	BackoffMs clock.Millis
	// Draining is set when the upstream is draining: it is about to shut down.
	Draining bool
	// MaxRejections is the number of requests that the upstream can reject in a second for want of room
	// without falling over, or 0 if it bears any number.
	MaxRejections int
	// InFlight is the number of requests that the upstream runs or has queued. It is valid if HasLoad
	// is set.
	InFlight int
	HasLoad  bool
	// Waiting is the number of those requests that have not begun to respond. It is valid if HasLoad is set.
	Waiting int
	// SlowPercent is how long work takes at the upstream at this moment in percent of the usual time, or 0 if it is not
	// reported.
	SlowPercent int
	// Err describes the malformed status headers, if any.
	Err error
}
