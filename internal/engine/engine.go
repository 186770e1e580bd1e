// Package engine implements the wire protocol of the model engines: chat
// completions over server-sent events, resuming and cancelling of streams, load
// reports, cache events and orders with fencing tokens. No other package depends
// on the details of this protocol.
package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/codec"
	"dooryard.example/dooryard/internal/jsonhttp"
)

// Headers of the engines' protocol.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Priority"
	HeaderDeadline  = "X-Deadline-Ms"
	// HeaderNotExecuted is "true" if the upstream rejected the request without running
	// any part of it.
	HeaderNotExecuted = "X-Not-Run"
	// HeaderInFlight and HeaderQueued report the load of the engine with each
	// response.
	HeaderInFlight = "X-Engine-In-Flight"
	HeaderQueued   = "X-Engine-Queued"
)

// Done is the data of the event that ends a complete stream.
const Done = "[DONE]"

// Sentinel errors of calls to engines.
var (
	// ErrUnavailable means that the engine returned no usable response.
	ErrUnavailable = errors.New("engine unavailable")
	// ErrStaleToken means that the engine has already seen a newer fencing token.
	ErrStaleToken = errors.New("stale fencing token")
	// ErrInvalidReport is returned for an invalid load report.
	ErrInvalidReport = errors.New("invalid load report")
	// ErrBusy means that the engine is still executing another order.
	ErrBusy = errors.New("engine has an order outstanding")
)

const maxReplyBytes = 1 << 20

// Load is an engine's report of its own load. It lags behind the actual load.
type Load struct {
	InFlight int          `json:"in_flight"`
	Queued   int          `json:"queued"`
	Slots    int          `json:"slots"`
	Models   []string     `json:"models"`
	Draining bool         `json:"leaving"`
	AtMs     clock.Millis `json:"at_ms"`
}

// UnmarshalJSON decodes and validates a load report.
func (l *Load) UnmarshalJSON(data []byte) error {
	type wire Load
	decoded, err := codec.Decode[wire](data, ErrInvalidReport)
	if err != nil {
		return err
	}
	if decoded.InFlight < 0 || decoded.Queued < 0 || decoded.Slots < 0 {
		return fmt.Errorf("%w: negative count", ErrInvalidReport)
	}
	*l = Load(decoded)
	return nil
}

// CacheEvent reports that an engine stored or evicted a prompt prefix. Events arrive
// late, and their sequence numbers may have gaps.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Stored   bool   `json:"stored"`
	Tokens   int    `json:"tokens"`
}

// Action is the operation that an order requests.
type Action string

// Actions of an order.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// Order requests that an engine load or unload a model. An engine that checks
// fencing tokens rejects an order whose token is older than the newest one it has
// seen.
type Order struct {
	ID     string `json:"id"`
	Token  int64  `json:"token"`
	Action Action `json:"action"`
	Model  string `json:"model"`
}

// OrderState is an engine's report on its models and orders.
type OrderState struct {
	Models      []string `json:"models"`
	NewestToken int64    `json:"newest_token"`
	// Outstanding is the ID of the order that is being executed, or "".
	Outstanding string `json:"outstanding"`
}

// Client calls the control API of one engine. Chat requests are forwarded by package
// forward instead.
type Client struct {
	URL    string
	Client *http.Client
}

// Load returns the engine's newest load report.
func (c Client) Load(ctx context.Context) (Load, error) {
	var load Load
	_, err := c.call(ctx, http.MethodGet, "/v1/load", nil, &load)
	return load, err
}

// CacheEvents returns the cache events from a sequence number on.
func (c Client) CacheEvents(ctx context.Context, from int64) ([]CacheEvent, error) {
	var events []CacheEvent
	_, err := c.call(ctx, http.MethodGet, "/v1/cache/events?from="+strconv.FormatInt(from, 10), nil, &events)
	return events, err
}

// Orders returns the state of the engine's orders.
func (c Client) Orders(ctx context.Context) (OrderState, error) {
	var state OrderState
	_, err := c.call(ctx, http.MethodGet, "/v1/orders", nil, &state)
	return state, err
}

// Order submits an order. After ErrStaleToken and ErrBusy, the order was rejected.
// After ErrUnavailable, it may have been accepted.
func (c Client) Order(ctx context.Context, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	status, err := c.call(ctx, http.MethodPost, "/v1/orders", body, nil)
	switch status {
	case http.StatusConflict:
		return ErrStaleToken
	case http.StatusTooEarly:
		return ErrBusy
	}
	return err
}

// Cancel cancels a stream, which frees its slot.
func (c Client) Cancel(ctx context.Context, requestID string) error {
	_, err := c.call(ctx, http.MethodDelete, "/v1/streams/"+requestID, nil, nil)
	return err
}

func (c Client) call(ctx context.Context, method, path string, body []byte, value any) (int, error) {
	reply, err := jsonhttp.Call{
		Client: c.Client, Method: method, URL: c.URL + path, Body: body, Limit: maxReplyBytes,
	}.Do(ctx)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if reply.Status >= http.StatusMultipleChoices {
		return reply.Status, fmt.Errorf("%w: status %d", ErrUnavailable, reply.Status)
	}
	if value == nil {
		return reply.Status, nil
	}
	if err := json.Unmarshal(reply.Body, value); err != nil {
		return reply.Status, fmt.Errorf("%w: reply: %w", ErrUnavailable, err)
	}
	return reply.Status, nil
}
