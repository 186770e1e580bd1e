// Package position orders what is read from a log that may come back from an older copy of
// itself: its offsets then go back and are given out again.
package position

import (
	"cmp"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ErrInvalid marks a position that can't be read.
var ErrInvalid = errors.New("invalid position")

// Position is a place in a log. The zero value is the beginning.
type Position struct {
	_ struct{} `cbor:",toarray"`
	// Era counts how often the log has come back from an older copy.
	Era int64
	// Offset is how many records of the era precede the position.
	Offset int64
}

// At returns the position behind so many records of an era.
func At(era, offset int64) Position { return Position{Era: era, Offset: offset} }

// Compare orders positions: by their eras, and within one by their offsets.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Offset, other.Offset))
}

// Before reports whether the position precedes another one.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// IsZero reports whether the position is the beginning.
func (p Position) IsZero() bool { return p == Position{} }

// Max returns the later of two positions.
func Max(a, b Position) Position {
	if a.Before(b) {
		return b
	}
	return a
}

// String returns era and offset with a colon between.
func (p Position) String() string {
	return strconv.FormatInt(p.Era, 10) + ":" + strconv.FormatInt(p.Offset, 10)
}

// MarshalText implements encoding.TextMarshaler.
func (p Position) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Position) UnmarshalText(text []byte) error {
	era, offset, found := strings.Cut(string(text), ":")
	if !found {
		return fmt.Errorf("%w: %q has no colon", ErrInvalid, text)
	}
	var errs [2]error
	p.Era, errs[0] = strconv.ParseInt(era, 10, 64)
	p.Offset, errs[1] = strconv.ParseInt(offset, 10, 64)
	if err := errors.Join(errs[:]...); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if p.Era < 0 || p.Offset < 0 {
		return fmt.Errorf("%w: %q is negative", ErrInvalid, text)
	}
	return nil
}
