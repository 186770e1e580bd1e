// Package jsonhttp provides helpers for handlers and clients of JSON over HTTP.
package jsonhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"dooryard.example/dooryard/internal/apierror"
)

// ErrTooLong means that a body exceeds the size limit.
var ErrTooLong = errors.New("body too long")

// Write responds with status 200 and a value as JSON.
func Write[T any](w http.ResponseWriter, value T) { WriteStatus(w, http.StatusOK, value) }

// WriteStatus responds with a status and a value as JSON.
func WriteStatus[T any](w http.ResponseWriter, status int, value T) {
	data, err := json.Marshal(value)
	if err != nil {
		apierror.New(http.StatusInternalServerError, "internal", "internal error").Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client is gone, so it cannot be reported.
	_, _ = w.Write(data)
}

// Read decodes a JSON request body of at most limit bytes.
func Read[T any](w http.ResponseWriter, r *http.Request, limit int64) (T, error) {
	var value T
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return value, fmt.Errorf("body: %w", err)
	}
	return value, json.Unmarshal(data, &value)
}

// Reply is the response to a call.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call is one HTTP request with a JSON body.
type Call struct {
	Client *http.Client
	Method string
	URL    string
	Body   []byte
	// Header holds additional request headers. It may be nil.
	Header http.Header
	// Limit is the maximum size of the response body in bytes.
	Limit int64
}

// Do sends the request and reads the complete response. A status that reports an
// error is not an error of Do, but is left to the caller.
func (c Call) Do(ctx context.Context) (Reply, error) {
	request, err := http.NewRequestWithContext(ctx, c.Method, c.URL, bytes.NewReader(c.Body))
	if err != nil {
		return Reply{}, fmt.Errorf("request: %w", err)
	}
	for name, values := range c.Header {
		request.Header[name] = values
	}
	if len(c.Body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.Client.Do(request)
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, c.Limit+1))
	if err != nil {
		return Reply{}, fmt.Errorf("response: %w", err)
	}
	if int64(len(data)) > c.Limit {
		return Reply{}, fmt.Errorf("response: %w", ErrTooLong)
	}
	return Reply{Status: response.StatusCode, Header: response.Header, Body: data}, nil
}
