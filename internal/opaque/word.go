package opaque

import "dooryard.example/dooryard/internal/clock"

// Word is what an upstream says of itself in the head of an answer. The dialect decodes it
// once; the zero value says nothing.
type Word struct {
	// RestMs is for how long the upstream wants no request from this box, or 0.
	RestMs clock.Millis
	// Leaving is set once the upstream is about to end.
	Leaving bool
	// Holds is how many requests the upstream runs or has waiting, if TellsLoad is set.
	Holds     int
	TellsLoad bool
	// Err says what of the head can't be read, if anything.
	Err error
}
