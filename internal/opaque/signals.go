package opaque

import "dooryard.example/dooryard/internal/clock"

// Signals is the status that an upstream reports about itself in the header of a response. The dialect
// decodes it once per response. The zero value reports nothing.
type Signals struct {
	// BackoffMs is how long the upstream wants to receive no requests from this box, or 0.
	BackoffMs clock.Millis
	// Draining is set when the upstream is about to shut down.
	Draining bool
	// InFlight is the number of requests that the upstream runs or has queued. It is valid if HasLoad
	// is set.
	InFlight int
	HasLoad  bool
	// Err describes the malformed status headers, if any.
	Err error
}
