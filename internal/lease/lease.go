// Package lease implements leases that give one box of a failure domain an exclusive right for
// a limited time. The state of a lease is computed by replaying a stream of the platform's
// log: the first box to acquire a free lease holds it, and the offset of its record determines
// the fencing token for everything done under the lease.
package lease

import (
	"errors"
	"fmt"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/codec"
)

// ErrMalformed means that a record could not be decoded.
var ErrMalformed = errors.New("malformed lease record")

// Action is the effect of a record.
type Action string

// Actions of records.
const (
	Acquire Action = "take"
	Renew   Action = "renew"
	Release Action = "release"
)

const maxHolderBytes = 128

// Record is one entry of a lease's log stream.
type Record struct {
	Action Action `json:"action"`
	// Holder identifies a box and its incarnation: a restarted box is a different holder.
	Holder string `json:"holder"`
	// DurationMs is the duration of the lease, counted from the record's timestamp in the log.
	DurationMs clock.Millis `json:"span_ms"`
	// RequestedMs is the holder's own time before it appended the record. The holder counts its
	// lease from this time, which is never later than the log's acceptance of the record.
	RequestedMs clock.Millis `json:"asked_ms"`
}

// maxSpanMs bounds how long a crashed holder blocks others.
const maxSpanMs = 5 * 60 * clock.Second

// UnmarshalJSON decodes and validates a record.
func (r *Record) UnmarshalJSON(data []byte) error {
	type wire Record
	decoded, err := codec.Decode[wire](data, ErrMalformed)
	if err != nil {
		return err
	}
	*r = Record(decoded)
	switch {
	case r.Action != Acquire && r.Action != Renew && r.Action != Release:
		return fmt.Errorf("%w: action: unknown", ErrMalformed)
	case r.Holder == "" || len(r.Holder) > maxHolderBytes:
		return fmt.Errorf("%w: holder: must have 1 to %d bytes", ErrMalformed, maxHolderBytes)
	case r.Action != Release && (r.DurationMs <= 0 || r.DurationMs > maxSpanMs):
		return fmt.Errorf("%w: span_ms: must be 1 to %d", ErrMalformed, maxSpanMs)
	}
	return nil
}

// State is the state of a lease after replaying its stream up to one offset. It is immutable.
// The zero value is a lease that was never held.
type State struct {
	holder  string
	token   int64
	untilMs clock.Millis
	// previousEndMs is when the lease of the previous holder ended, or would have ended.
	previousEndMs clock.Millis
}

// Apply returns the state after the record at an offset, which the log accepted at atMs.
func (s State) Apply(offset int64, atMs clock.Millis, r Record) State {
	holds := s.holder == r.Holder && atMs < s.untilMs
	switch {
	case r.Action == Renew && holds:
		s.untilMs = atMs + r.DurationMs
	case r.Action == Release && holds:
		s.untilMs = atMs
	case r.Action == Acquire && atMs >= s.untilMs:
		return State{holder: r.Holder, token: offset + 1, untilMs: atMs + r.DurationMs, previousEndMs: s.untilMs}
	}
	return s
}

// Holder returns the box and incarnation that acquired the lease last, or "" if none has. The
// lease may have ended since.
func (s State) Holder() string { return s.holder }

// Token returns the fencing token of the newest holder. Tokens increase with each new holder.
func (s State) Token() int64 { return s.token }

// UntilMs returns the end of the lease in the log's time.
func (s State) UntilMs() clock.Millis { return s.untilMs }

// PreviousMs returns the end of the previous holder's lease in the log's time.
func (s State) PreviousMs() clock.Millis { return s.previousEndMs }
