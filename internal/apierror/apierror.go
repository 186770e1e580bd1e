// Package apierror defines the errors that callers and operators receive, in the format of the
// OpenAI API.
package apierror

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"dooryard.example/dooryard/internal/clock"
)

// Error is an error response. If a field is invalid, Message names it. Message never contains a secret.
type Error struct {
	Status       int
	Type         string
	Code         string
	Param        string
	Message      string
	RetryAfterMs clock.Millis
	cause        error
}

// Error types of the OpenAI API.
const (
	TypeInvalidRequest = "invalid_request_error"
	TypeAuthentication = "authentication_error"
	TypeRateLimit      = "rate_limit_error"
	TypeServer         = "server_error"
)

// Option configures an Error.
type Option func(*Error)

// WithParam sets the name of the invalid field.
func WithParam(param string) Option { return func(e *Error) { e.Param = param } }

// WithRetryAfter sets the delay after which the caller may retry.
func WithRetryAfter(delay clock.Millis) Option { return func(e *Error) { e.RetryAfterMs = delay } }

// WithCause sets the underlying error for errors.Is and logs. Callers don't see it.
func WithCause(cause error) Option { return func(e *Error) { e.cause = cause } }

// New returns an Error. Its type is derived from the status.
func New(status int, code, message string, options ...Option) *Error {
	e := &Error{Status: status, Type: typeOf(status), Code: code, Message: message}
	for _, option := range options {
		option(e)
	}
	return e
}

func typeOf(status int) string {
	switch {
	case status == http.StatusUnauthorized || status == http.StatusForbidden:
		return TypeAuthentication
	case status == http.StatusTooManyRequests:
		return TypeRateLimit
	case status < http.StatusInternalServerError:
		return TypeInvalidRequest
	default:
		return TypeServer
	}
}

// Error implements error.
func (e *Error) Error() string {
	if e.cause != nil {
		return e.Code + ": " + e.Message + ": " + e.cause.Error()
	}
	return e.Code + ": " + e.Message
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.cause }

// From returns the Error in the chain of err. If there is none, it returns an internal error whose
// response does not reveal err to the caller.
func From(err error) *Error {
	var apiErr *Error
	if errors.As(err, &apiErr) {
		return apiErr
	}
	return New(http.StatusInternalServerError, "internal", "internal error", WithCause(err))
}

// Body is the error format of the OpenAI API.
type Body struct {
	Error Detail `json:"error"`
}

// Detail is the error object in Body.
type Detail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

// Body returns the response body.
func (e *Error) Body() Body {
	detail := Detail{Message: e.Message, Type: e.Type, Code: e.Code}
	if e.Param != "" {
		detail.Param = &e.Param
	}
	return Body{Error: detail}
}

// JSON returns the response body encoded as JSON.
func (e *Error) JSON() []byte {
	// Encoding can't fail because the body holds only strings.
	body, _ := json.Marshal(e.Body())
	return body
}

// Write sends the error as the response. The retry delay is rounded up to whole seconds.
func (e *Error) Write(w http.ResponseWriter) {
	body := e.JSON()
	if e.RetryAfterMs > 0 {
		seconds := (e.RetryAfterMs + clock.Second - 1) / clock.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(e.Status)
	// The error is ignored because it means that the caller has disconnected.
	_, _ = w.Write(body)
}
