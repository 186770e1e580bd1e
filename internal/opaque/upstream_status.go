package opaque

import "dooryard.example/dooryard/internal/clock"

// Word is the status that an upstream reports about itself in the header of a response. The dialect
// decodes it once per response. The zero value reports nothing.
type Word struct {
	// RestMs is how long the upstream wants to receive no requests from this box, or 0.
	RestMs clock.Millis
	// Leaving is set when the upstream is about to shut down.
	Leaving bool
	// Holds is the number of requests that the upstream runs or has queued. It is valid if TellsLoad
	// is set.
	Holds     int
	TellsLoad bool
	// Err describes the malformed status headers, if any.
	Err error
}
