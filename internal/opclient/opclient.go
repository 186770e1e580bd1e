// Package opclient is a client of the operators' API of a box.
package opclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"dooryard.example/dooryard/internal/apierror"
	"dooryard.example/dooryard/internal/box"
	"dooryard.example/dooryard/internal/jsonhttp"
	"dooryard.example/dooryard/internal/operators"
	"dooryard.example/dooryard/internal/table"
)

// Sentinel errors of calls.
var (
	// ErrUnreachable means that no box sent a usable response.
	ErrUnreachable = errors.New("no box responded")
	// ErrRejected means that a box rejected the request.
	ErrRejected = errors.New("request rejected")
	// ErrVerdictUnknown means that an edit may still be applied.
	ErrVerdictUnknown = errors.New("verdict unknown")
)

const maxReplyBytes = 256 << 20

// Client sends requests to its boxes in order until one responds.
type Client struct {
	// URLs are the base URLs of the boxes' listeners for operators.
	URLs []string
	// Key is the bearer key of the operators.
	Key    string
	Client *http.Client
}

// response is an HTTP response with the URL of its box.
type response struct {
	status int
	body   []byte
	url    string
}

// Table returns the whole table.
func (c Client) Table(ctx context.Context) (operators.TableResponse, error) {
	return get[operators.TableResponse](ctx, c, "/v1/table")
}

// Rows returns those of the named rows that exist in a sheet, or all rows if none are named.
func (c Client) Rows(ctx context.Context, sheet string, rows ...string) (operators.Sheet, error) {
	query := url.Values{"sheet": {sheet}, "row": rows}
	reply, err := get[operators.TableResponse](ctx, c, "/v1/table?"+query.Encode())
	if err != nil {
		return operators.Sheet{}, err
	}
	if len(reply.Sheets) != 1 {
		return operators.Sheet{}, fmt.Errorf("%w: response contains %d sheets", ErrUnreachable, len(reply.Sheets))
	}
	return reply.Sheets[0], nil
}

// History returns the most recent accepted edits, oldest first.
func (c Client) History(ctx context.Context) ([]table.HistoryEntry, error) {
	return get[[]table.HistoryEntry](ctx, c, "/v1/table/history")
}

// Explain returns the current ranking of a session's upstreams on a box.
func (c Client) Explain(
	ctx context.Context, organisation, session, model, service string,
) (operators.ExplainResponse, error) {
	query := url.Values{"organisation": {organisation}, "session": {session}, "model": {model}, "service": {service}}
	return get[operators.ExplainResponse](ctx, c, "/v1/explain?"+query.Encode())
}

// Statuses returns the status or the error of each of the client's boxes.
func (c Client) Statuses(ctx context.Context) []BoxStatus {
	statuses := make([]BoxStatus, 0, len(c.URLs))
	for _, boxURL := range c.URLs {
		single := Client{URLs: []string{boxURL}, Key: c.Key, Client: c.Client}
		status, err := get[box.Status](ctx, single, "/v1/status")
		statuses = append(statuses, BoxStatus{URL: boxURL, Status: status, Err: err})
	}
	return statuses
}

// BoxStatus is the status of one box, or the error of the request for it.
type BoxStatus struct {
	URL    string
	Status box.Status
	Err    error
}

// Drain starts a graceful shutdown of the client's first box.
func (c Client) Drain(ctx context.Context) error {
	single := Client{URLs: c.URLs[:1], Key: c.Key, Client: c.Client}
	_, err := single.call(ctx, http.MethodPost, "/v1/drain", nil)
	return err
}

// Submit submits an edit and returns its verdict. ErrVerdictUnknown means that it may
// still be applied: submit the same edit again, or query its verdict.
func (c Client) Submit(ctx context.Context, edit table.Edit) (table.Verdict, error) {
	body, err := json.Marshal(edit)
	if err != nil {
		return table.Verdict{}, fmt.Errorf("encode edit: %w", err)
	}
	r, err := c.call(ctx, http.MethodPost, "/v1/table/edits", body)
	if err != nil {
		if errors.Is(err, ErrRejected) {
			return table.Verdict{}, err
		}
		return table.Verdict{}, fmt.Errorf("%w: %w", ErrVerdictUnknown, err)
	}
	if r.status == http.StatusAccepted {
		return table.Verdict{}, ErrVerdictUnknown
	}
	return decode[table.Verdict](r)
}

// Verdict returns the verdict on an edit by its id.
func (c Client) Verdict(ctx context.Context, id string) (table.Verdict, error) {
	r, err := c.call(ctx, http.MethodGet, "/v1/table/edits/"+url.PathEscape(id), nil)
	if err != nil {
		return table.Verdict{}, err
	}
	return decode[table.Verdict](r)
}

// WaitFor waits until the table of a box has reached an offset. Like other calls it tries the
// next box only if one does not respond.
func (c Client) WaitFor(ctx context.Context, offset int64) error {
	_, err := c.call(ctx, http.MethodGet, "/v1/table/wait?offset="+strconv.FormatInt(offset, 10), nil)
	return err
}

func get[T any](ctx context.Context, c Client, path string) (T, error) {
	r, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		var zero T
		return zero, err
	}
	return decode[T](r)
}

func decode[T any](r response) (T, error) {
	var value T
	if err := json.Unmarshal(r.body, &value); err != nil {
		return value, fmt.Errorf("%w: %s: decode response: %w", ErrUnreachable, r.url, err)
	}
	return value, nil
}

// call sends a request to the boxes in order until one responds. The statuses of the verdicts
// conflict and invalid are not errors.
func (c Client) call(ctx context.Context, method, path string, body []byte) (response, error) {
	failures := []error{}
	for _, boxURL := range c.URLs {
		r, err := c.callOne(ctx, method, boxURL, path, body)
		if err == nil || errors.Is(err, ErrRejected) {
			return r, err
		}
		failures = append(failures, fmt.Errorf("%s: %w", boxURL, err))
	}
	return response{}, fmt.Errorf("%w: %w", ErrUnreachable, errors.Join(failures...))
}

func (c Client) callOne(ctx context.Context, method, boxURL, path string, body []byte) (response, error) {
	reply, err := jsonhttp.Call{
		Client: c.Client, Method: method, URL: boxURL + path, Body: body, Limit: maxReplyBytes,
		Header: http.Header{"Authorization": {"Bearer " + c.Key}},
	}.Do(ctx)
	if err != nil {
		return response{}, err
	}
	r := response{status: reply.Status, body: reply.Body, url: boxURL}
	verdict := r.status == http.StatusConflict || r.status == http.StatusUnprocessableEntity
	if r.status < http.StatusMultipleChoices || verdict {
		return r, nil
	}
	return r, rejectionError(r)
}

func rejectionError(r response) error {
	var body apierror.Body
	if err := json.Unmarshal(r.body, &body); err != nil || body.Error.Message == "" {
		return fmt.Errorf("%w: status %d", ErrRejected, r.status)
	}
	return fmt.Errorf("%w: %s", ErrRejected, body.Error.Message)
}
