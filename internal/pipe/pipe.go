// Package pipe holds what the steps of a request share.
package pipe

import "errors"

// ErrSkip marks a step that had nothing to do.
var ErrSkip = errors.New("step skipped")

// SkipError is a step's way to say that it had nothing to do, and why.
type SkipError struct {
	reason string
}

// Skip returns a SkipError.
func Skip(reason string) error { return &SkipError{reason: reason} }

// Error implements error.
func (e *SkipError) Error() string { return e.reason }

// Is makes errors.Is(err, ErrSkip) hold.
func (e *SkipError) Is(target error) bool { return target == ErrSkip }
