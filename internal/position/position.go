// Package position orders the records of a log that may be restored from an older copy of itself.
// The offsets of the log then go back and are assigned again.
package position

import (
	"cmp"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ErrInvalid is returned for a position that can't be parsed.
var ErrInvalid = errors.New("invalid position")

// Position is a position in a log. The zero value is the beginning.
type Position struct {
	_ struct{} `cbor:",toarray"`
	// Era is the number of times the log has been restored from an older copy.
	Era int64
	// Offset is the number of records of the era that precede the position.
	Offset int64
}

// At returns the position at an offset of an era.
func At(era, offset int64) Position { return Position{Era: era, Offset: offset} }

// Compare orders positions by era, and by offset within an era.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Offset, other.Offset))
}

// Before reports whether p precedes another position.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// IsZero reports whether p is the beginning of the log.
func (p Position) IsZero() bool { return p == Position{} }

// Max returns the later of two positions.
func Max(a, b Position) Position {
	if a.Before(b) {
		return b
	}
	return a
}

// String returns the position in the form "era:offset".
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
