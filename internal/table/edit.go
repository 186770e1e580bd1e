// Package table is the operators' shared table of weights and limits: sheets of
// rows of cells. It is folded from edits on the platform's log; the fold is
// deterministic, so that every box reaches the same verdict on every edit.
package table

import (
	"errors"
	"fmt"
	"strings"

	"dooryard.example/dooryard/internal/codec"
)

// Sentinel errors of edits.
var (
	// ErrMalformed means that an edit or record could not be decoded.
	ErrMalformed = errors.New("malformed edit")
	// ErrInvalid means that a value is not usable in its cell.
	ErrInvalid = errors.New("invalid value")
)

// Bounds of one edit.
const (
	MaxChanges    = 5000
	maxNameBytes  = 128
	maxValueBytes = 8192
)

// Change sets one cell, or removes one row when Remove is set (then Column is
// empty and BasedOn is the revision of the row's newest cell).
type Change struct {
	Sheet  string `json:"sheet" yaml:"sheet"`
	Row    string `json:"row" yaml:"row"`
	Column string `json:"column,omitempty" yaml:"column,omitempty"`
	Value  string `json:"value,omitempty" yaml:"value,omitempty"`
	// BasedOn is the revision that the operator saw; 0 for an empty cell.
	BasedOn int64 `json:"based_on" yaml:"based_on"`
	Remove  bool  `json:"remove,omitempty" yaml:"remove,omitempty"`
}

// Address returns the change's place as "sheet/row/column".
func (c Change) Address() string {
	if c.Remove {
		return c.Sheet + "/" + c.Row
	}
	return c.Sheet + "/" + c.Row + "/" + c.Column
}

// Edit is one record of the table's log stream. All its changes hold together.
type Edit struct {
	// ID names the edit; a second copy under the same ID folds to nothing.
	ID       string   `json:"id"`
	Operator string   `json:"operator"`
	Changes  []Change `json:"changes"`
}

// UnmarshalJSON decodes and checks the shape of an edit. Whether its values fit
// the table is the fold's decision.
func (e *Edit) UnmarshalJSON(data []byte) error {
	type wire Edit
	decoded, err := codec.Decode[wire](data, ErrMalformed)
	if err != nil {
		return err
	}
	*e = Edit(decoded)
	return e.check()
}

func (e *Edit) check() error {
	if e.ID == "" || len(e.ID) > maxNameBytes {
		return fmt.Errorf("%w: id: must have 1 to %d bytes", ErrMalformed, maxNameBytes)
	}
	if len(e.Operator) > maxNameBytes {
		return fmt.Errorf("%w: operator: longer than %d bytes", ErrMalformed, maxNameBytes)
	}
	if len(e.Changes) == 0 || len(e.Changes) > MaxChanges {
		return fmt.Errorf("%w: changes: must be 1 to %d", ErrMalformed, MaxChanges)
	}
	for i := range e.Changes {
		if err := e.Changes[i].check(); err != nil {
			return fmt.Errorf("changes[%d]: %w", i, err)
		}
	}
	return nil
}

func (c *Change) check() error {
	if c.Sheet == "" || c.Row == "" || (c.Column == "") != c.Remove {
		return fmt.Errorf("%w: %q is not sheet/row/column", ErrMalformed, c.Address())
	}
	if len(c.Row) > maxNameBytes || strings.ContainsAny(c.Row, "/\n\r\t ,\"") {
		return fmt.Errorf("%w: row %q: must have at most %d bytes and no blank, comma, quote or slash",
			ErrMalformed, c.Row, maxNameBytes)
	}
	if len(c.Value) > maxValueBytes {
		return fmt.Errorf("%w: %s: value longer than %d bytes", ErrMalformed, c.Address(), maxValueBytes)
	}
	return nil
}

// Verdict is what the fold decided on one edit.
type Verdict struct {
	ID     string  `json:"id"`
	Offset int64   `json:"offset"`
	Result Result  `json:"result"`
	Issues []Issue `json:"issues,omitempty"`
}

// Result is the short form of a verdict.
type Result string

// Results of an edit.
const (
	Accepted Result = "accepted"
	Conflict Result = "conflict"
	Invalid  Result = "invalid"
)

// Issue says why one change was not taken.
type Issue struct {
	Address string `json:"address"`
	Reason  string `json:"reason"`
	// Wanted and Current are the two values of a conflict.
	Wanted          string `json:"wanted,omitempty"`
	Current         string `json:"current,omitempty"`
	CurrentRevision int64  `json:"current_revision,omitempty"`
}
