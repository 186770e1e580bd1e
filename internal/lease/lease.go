// Package lease lets one box of a failure domain hold a right for a while. The
// lease is folded from the platform's log: the first to take it when it is free
// holds it, and the offset of that record is the fencing token of all that is
// done under it.
package lease

import (
	"errors"
	"fmt"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/codec"
)

// ErrMalformed means that a record could not be decoded.
var ErrMalformed = errors.New("malformed lease record")

// Action is what a record does.
type Action string

// Actions of a record.
const (
	Take    Action = "take"
	Renew   Action = "renew"
	Release Action = "release"
)

const maxHolderBytes = 128

// Record is one entry of a lease's log stream.
type Record struct {
	Action Action `json:"action"`
	// Holder names a box and its incarnation: a restarted box is another one.
	Holder string `json:"holder"`
	// SpanMs is how long the lease lasts from the record's time in the log.
	SpanMs clock.Millis `json:"span_ms"`
	// AskedMs is the holder's own time before it appended the record. The holder
	// counts its lease from there: the log took the record no earlier.
	AskedMs clock.Millis `json:"asked_ms"`
}

// maxSpanMs bounds how long a holder that died blocks others.
const maxSpanMs = 5 * 60 * clock.Second

// UnmarshalJSON decodes and checks a record.
func (r *Record) UnmarshalJSON(data []byte) error {
	type wire Record
	decoded, err := codec.Decode[wire](data, ErrMalformed)
	if err != nil {
		return err
	}
	*r = Record(decoded)
	switch {
	case r.Action != Take && r.Action != Renew && r.Action != Release:
		return fmt.Errorf("%w: action: unknown", ErrMalformed)
	case r.Holder == "" || len(r.Holder) > maxHolderBytes:
		return fmt.Errorf("%w: holder: must have 1 to %d bytes", ErrMalformed, maxHolderBytes)
	case r.Action != Release && (r.SpanMs <= 0 || r.SpanMs > maxSpanMs):
		return fmt.Errorf("%w: span_ms: must be 1 to %d", ErrMalformed, maxSpanMs)
	}
	return nil
}

// State is a lease folded up to one offset. It is immutable; the zero value is a
// lease that nobody ever held.
type State struct {
	holder  string
	token   int64
	untilMs clock.Millis
	// previousMs is when the lease of another holder before this one ended, or
	// would have ended.
	previousMs clock.Millis
}

// Apply folds the record at an offset, which the log took at an instant.
func (s State) Apply(offset int64, atMs clock.Millis, r Record) State {
	mine := s.holder == r.Holder && atMs < s.untilMs
	switch {
	case r.Action == Renew && mine:
		s.untilMs = atMs + r.SpanMs
	case r.Action == Release && mine:
		s.untilMs = atMs
	case r.Action == Take && atMs >= s.untilMs:
		return State{holder: r.Holder, token: offset + 1, untilMs: atMs + r.SpanMs, previousMs: s.untilMs}
	}
	return s
}

// Holder returns who took the lease last.
func (s State) Holder() string { return s.holder }

// Token returns the fencing token of the newest holder; a later holder's is
// higher.
func (s State) Token() int64 { return s.token }

// UntilMs returns the end of the lease, in the log's time.
func (s State) UntilMs() clock.Millis { return s.untilMs }

// PreviousMs returns the end of the lease before this holder's, in the log's
// time.
func (s State) PreviousMs() clock.Millis { return s.previousMs }
