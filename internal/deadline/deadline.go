// Package deadline computes by how much the last response to a request has to leave before its caller's deadline.
// Callers count from their first byte, or from when they began to connect, and stop waiting once they should have a
// response, so that one that leaves at the deadline is never read.
package deadline

import "dooryard.example/dooryard/internal/clock"

// Limits bound the lead of last responses.
type Limits struct {
	// RoundTripMs is the round trip to a caller that is assumed at least. A connection that ends at a relay or a
	// balancer does not tell the distance of the caller behind it.
	RoundTripMs clock.Millis
	// MaxLeadMs is the maximum lead.
	MaxLeadMs clock.Millis
	// MaxLeadPercent is the maximum share of the time that the caller waits.
	MaxLeadPercent int
}

// Path is what is known of the way between a caller and this box.
type Path struct {
	// RoundTripMs is the measured round trip, or 0 if it is unknown.
	RoundTripMs clock.Millis
	// New is set if the connection was opened for the request, and OpeningMs is for how long it was open before the
	// request began to arrive. Callers may then count from their first packet.
	New       bool
	OpeningMs clock.Millis
}

const percent = 100

// LeadMs returns the lead of a last response. The caller waits for waitMs from its first byte on; the box is late by
// latenessMs when it acts and writes.
func (l Limits) LeadMs(waitMs clock.Millis, path Path, latenessMs clock.Millis) clock.Millis {
	wayMs := max(l.RoundTripMs, path.RoundTripMs)
	if path.New {
		// The handshake takes another round trip before the first byte can be sent.
		wayMs = 2*wayMs + path.OpeningMs
	}
	shareMs := waitMs * clock.Millis(l.MaxLeadPercent) / percent
	return max(0, min(wayMs+latenessMs+clock.Resolution, l.MaxLeadMs, shareMs))
}
