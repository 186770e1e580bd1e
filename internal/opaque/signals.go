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
	// Err describes the malformed status headers, if any.
	Err error
}
