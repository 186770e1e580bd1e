package exchange

import (
	"errors"
	"fmt"

	"dooryard.example/dooryard/internal/clock"
)

// ErrCallerSlow means that a caller was cut off because it did not read its response in time.
var ErrCallerSlow = errors.New("caller does not read")

// CutReason says why a caller was cut off. Its values are written to logs and metrics.
type CutReason string

// Reasons for cutting off a caller.
const (
	// Stalled means that the caller took no data for some seconds.
	Stalled CutReason = "stalled"
	// BufferFull means that the caller of a stream took nothing while the buffer for it was full.
	BufferFull CutReason = "buffer_full"
	// BelowMinRate means that the caller read a buffered response more slowly than at the minimum rate.
	BelowMinRate CutReason = "below_min_rate"
	// Overdue means that the caller had not read a buffered response some seconds after the request's time limit.
	Overdue CutReason = "overdue"
)

// SlowCallerError is the error with which a caller is cut off. It wraps ErrCallerSlow.
type SlowCallerError struct {
	Reason CutReason
}

// Error implements error.
func (e *SlowCallerError) Error() string { return fmt.Sprintf("%v: %s", ErrCallerSlow, e.Reason) }

// Unwrap returns ErrCallerSlow.
func (*SlowCallerError) Unwrap() error { return ErrCallerSlow }

const (
	// minRate is how many bytes of a buffered response a caller must read a second, on average. A caller that reads a few
	// bytes now and then would otherwise occupy the memory of a response of up to 16 MiB for as long as it likes.
	minRate = 16 << 10
	// overdueMs is how long after its request's time limit a caller may read a buffered response.
	overdueMs clock.Millis = 5000
	// rateCheckMs is the interval of the checks of the rate. The first one follows after one interval.
	rateCheckMs = clock.Second
)

// readRate decides whether a caller reads a buffered response fast enough. Only the time in which writes wait for the
// caller counts.
//
// A caller that takes nothing at all between two checks is not measured by its rate but by the time for which data may
// stay unread, so that one that pauses and then catches up is served.
type readRate struct {
	// untilMs is the monotonic time at which the response must have been read.
	untilMs clock.Millis
	// elapsedMs is the time spent in writes, progressMs its value when the caller last took data, and checkMs its value
	// at which the rate is checked next.
	elapsedMs, progressMs, checkMs clock.Millis
	takenBytes, checkedBytes       int64
	// acknowledgedBytes is how much of the taken data the caller's machine had received at the latest check.
	acknowledgedBytes int64
}

func newReadRate(untilMs clock.Millis) *readRate {
	return &readRate{untilMs: untilMs, checkMs: rateCheckMs}
}

// waitMs returns how long a write may wait until check must be called.
func (r *readRate) waitMs(now clock.Millis) clock.Millis {
	return max(1, min(r.checkMs-r.elapsedMs, r.progressMs+unreadTimeoutMs-r.elapsedMs, r.untilMs-now))
}

// record records a write that took a time and of which the caller took some bytes.
func (r *readRate) record(bytes int, tookMs clock.Millis) {
	r.elapsedMs += tookMs
	if bytes > 0 {
		r.takenBytes += int64(bytes)
		r.progressMs = r.elapsedMs
	}
}

// recordUnknown records that the caller may have read what the kernel holds, because it doesn't tell.
func (r *readRate) recordUnknown() { r.progressMs = r.elapsedMs }

// check returns the error with which the caller is cut off, or nil. Queued is how much of the taken data the caller's
// machine has not acknowledged. It counts, since the kernel takes further data only when a third of its buffer is free,
// for which a caller at the minimum rate may need more than 5 s.
func (r *readRate) check(now clock.Millis, queued int64) error {
	if acknowledged := r.takenBytes - queued; acknowledged > r.acknowledgedBytes {
		r.acknowledgedBytes, r.progressMs = acknowledged, r.elapsedMs
	}
	switch {
	case now >= r.untilMs:
		return &SlowCallerError{Reason: Overdue}
	case r.elapsedMs-r.progressMs >= unreadTimeoutMs:
		return &SlowCallerError{Reason: Stalled}
	case r.elapsedMs < r.checkMs:
		return nil
	case r.takenBytes > r.checkedBytes && r.takenBytes*int64(clock.Second) < minRate*int64(r.elapsedMs):
		return &SlowCallerError{Reason: BelowMinRate}
	}
	r.checkMs, r.checkedBytes = r.elapsedMs+rateCheckMs, r.takenBytes
	return nil
}
