// Package pipe holds the errors shared by the steps of the request pipeline.
package pipe

import "errors"

// ErrSkip matches the error of a step that does not apply to a request.
var ErrSkip = errors.New("step skipped")

// SkipError is returned by a step that does not apply to a request, with the reason.
type SkipError struct {
	reason string
}

// Skip returns a SkipError with a reason.
func Skip(reason string) error { return &SkipError{reason: reason} }

// Error implements error.
func (e *SkipError) Error() string { return e.reason }

// Is reports whether the target is ErrSkip.
func (e *SkipError) Is(target error) bool { return target == ErrSkip }
