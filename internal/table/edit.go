// Package table implements the configuration table of weights and limits that
// all operators share: sheets of rows of cells. A State is built by applying the
// edits of the platform's log in order. Applying an edit is deterministic, so
// every box reaches the same verdict on every edit.
package table

import (
	"errors"
	"fmt"
	"strings"

	"dooryard.example/dooryard/internal/codec"
)

// Sentinel errors of edits.
var (
	// ErrMalformed is returned for an edit or an encoded state that cannot be decoded.
	ErrMalformed = errors.New("malformed edit")
	// ErrInvalid is returned for a value that its cell does not allow.
	ErrInvalid = errors.New("invalid value")
)

// Limits of one edit.
const (
	MaxChanges    = 5000
	maxNameBytes  = 128
	maxValueBytes = 8192
)

// Change sets one cell or, if Remove is set, removes one row. In the latter case
// Column is empty and BasedOn is the newest revision among the row's cells.
type Change struct {
	Sheet  string `json:"sheet" yaml:"sheet"`
	Row    string `json:"row" yaml:"row"`
	Column string `json:"column,omitempty" yaml:"column,omitempty"`
	Value  string `json:"value,omitempty" yaml:"value,omitempty"`
	// BasedOn is the revision that the operator read, or 0 if the cell was never set.
	BasedOn int64 `json:"based_on" yaml:"based_on"`
	Remove  bool  `json:"remove,omitempty" yaml:"remove,omitempty"`
}

// Address returns the address of the cell as "sheet/row/column", or that of the
// removed row as "sheet/row".
func (c Change) Address() string {
	if c.Remove {
		return c.Sheet + "/" + c.Row
	}
	return c.Sheet + "/" + c.Row + "/" + c.Column
}

// Edit is one record of the table's log stream. Its changes are applied
// atomically.
type Edit struct {
	// ID identifies the edit. A duplicate with the same ID is ignored.
	ID       string   `json:"id"`
	Operator string   `json:"operator"`
	Changes  []Change `json:"changes"`
}

// UnmarshalJSON decodes an edit and validates its structure. State.Apply decides
// whether its values are valid in the table.
func (e *Edit) UnmarshalJSON(data []byte) error {
	type wire Edit
	decoded, err := codec.Decode[wire](data, ErrMalformed)
	if err != nil {
		return err
	}
	*e = Edit(decoded)
	return e.validate()
}

func (e *Edit) validate() error {
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
		if err := e.Changes[i].validate(); err != nil {
			return fmt.Errorf("changes[%d]: %w", i, err)
		}
	}
	return nil
}

func (c *Change) validate() error {
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

// Verdict is the outcome of applying one edit.
type Verdict struct {
	ID     string  `json:"id"`
	Offset int64   `json:"offset"`
	Result Result  `json:"result"`
	Issues []Issue `json:"issues,omitempty"`
}

// Result classifies a verdict.
type Result string

// Results of an edit.
const (
	Accepted Result = "accepted"
	Conflict Result = "conflict"
	Invalid  Result = "invalid"
)

// Issue describes why one change was rejected.
type Issue struct {
	Address string `json:"address"`
	Reason  string `json:"reason"`
	// Wanted and Current are the submitted and the current value of a cell in
	// conflict.
	Wanted          string `json:"wanted,omitempty"`
	Current         string `json:"current,omitempty"`
	CurrentRevision int64  `json:"current_revision,omitempty"`
}
