package inbound

import (
	"sync/atomic"

	"dooryard.example/dooryard/internal/clock"
)

// openingMs is how long after its connection was accepted the first request counts as the one it was opened for.
// Callers that open connections in advance count from when they send.
const openingMs clock.Millis = 100

const (
	// kernelTickMs is by how much the kernel's times may be too long. They count timer ticks.
	kernelTickMs clock.Millis = 10
	// maxUnreadMs is how long a request waits at most to be read. A kernel that tells more has no such time.
	maxUnreadMs = 30 * clock.Second
)

// Arrival is when and how a request arrived.
type Arrival struct {
	// StartMs is the monotonic time at which the first byte of the request arrived.
	StartMs clock.Millis
	// New is set if the connection was opened for the request, and OpeningMs is how long before StartMs it was accepted
	// then. Some callers count from when they began to connect.
	New       bool
	OpeningMs clock.Millis
	// RoundTripMs is the round trip that the kernel measured on the connection, rounded up, or 0 if it doesn't tell.
	RoundTripMs clock.Millis
}

// arrivals records when the first bytes of requests were read on a connection.
type arrivals struct {
	acceptedMs clock.Millis
	// reused is set once a request was answered.
	reused atomic.Bool
	// currentMs and nextMs are when the first byte was read of the request that is handled or awaited, and of the one
	// behind it, or 0. heldMs is when the oldest of the bytes that are read ahead was read.
	currentMs, nextMs, heldMs atomic.Int64
}

// Arrival returns when and how the request arrived that is handled.
func (c *Conn) Arrival() Arrival {
	a := Arrival{
		StartMs: clock.Millis(c.arrivals.currentMs.Load()), New: !c.arrivals.reused.Load(),
		RoundTripMs: clock.FromDuration(c.listener.kernel.RoundTrip(c.Conn)),
	}
	if a.StartMs == 0 {
		// Its first bytes were read along with those of another request.
		a.StartMs = c.listener.clock.Monotonic()
	}
	openedMs := a.StartMs - c.arrivals.acceptedMs
	a.New = a.New && openedMs <= openingMs
	if a.New {
		a.OpeningMs = openedMs
	}
	unreadMs := clock.FromDuration(c.listener.kernel.SinceReceived(c.Conn))
	if unreadMs <= maxUnreadMs {
		// The head arrived with the last data or before.
		a.StartMs = min(a.StartMs, c.listener.clock.Monotonic()-max(0, unreadMs-kernelTickMs))
	}
	return a
}

// recordRead records that bytes were read into a buffer of the server.
func (a *arrivals) recordRead(now clock.Millis, bufferBytes int, handling, encrypted bool) {
	switch {
	case !handling && encrypted && !a.reused.Load():
		// The first bytes are those of the handshake, which may end long before the request begins.
		a.currentMs.Store(int64(now))
	case !handling:
		a.currentMs.CompareAndSwap(0, int64(now))
	case bufferBytes == readAheadBytes:
		a.nextMs.CompareAndSwap(0, int64(now))
	}
}

// recordHeld records whether a part of a request is held that was read past the end of another.
func (a *arrivals) recordHeld(now clock.Millis, holds bool) {
	if !holds {
		// What was held was a part of the current request.
		a.nextMs.CompareAndSwap(a.heldMs.Swap(0), 0)
		return
	}
	a.heldMs.CompareAndSwap(0, int64(now))
	a.nextMs.CompareAndSwap(0, a.heldMs.Load())
}

// recordIdle records that the request that was handled has its response.
func (a *arrivals) recordIdle() {
	a.reused.Store(true)
	a.currentMs.Store(a.nextMs.Swap(0))
}
