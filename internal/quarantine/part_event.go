package quarantine

import (
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

// PartEvent is an event that boxes exchange: an upstream crashed while it ran a request with a part of a prompt, or an
// upstream of a pool answered such a request completely.
type PartEvent struct {
	_    struct{} `cbor:",toarray"`
	Part PartKey
	// Pool is the pool of the upstream.
	Pool namekey.Key
	// Upstream is the incarnation that crashed. It is not set if Answered is.
	Upstream namekey.Key
	// Answered is set if an upstream answered the request completely.
	Answered bool
	// AgeMs is the time since the event.
	AgeMs clock.Millis
}

func (e PartEvent) withAge(age clock.Millis) PartEvent {
	e.AgeMs = age
	return e
}
