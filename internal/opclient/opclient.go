// Package opclient calls the operators' interface of a box.
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
	// ErrUnreachable means that no box answered.
	ErrUnreachable = errors.New("no box answered")
	// ErrRefused means that a box answered and refused.
	ErrRefused = errors.New("refused")
	// ErrVerdictUnknown means that an edit may still take hold.
	ErrVerdictUnknown = errors.New("verdict unknown")
)

const maxReplyBytes = 256 << 20

// Client calls the first of its boxes that answers.
type Client struct {
	// URLs are the boxes' operators' listeners.
	URLs []string
	// Key is the operators' key.
	Key    string
	Client *http.Client
}

// answer is a reply with its status.
type answer struct {
	status int
	body   []byte
	url    string
}

// Table returns the whole table.
func (c Client) Table(ctx context.Context) (operators.TableReply, error) {
	return get[operators.TableReply](ctx, c, "/v1/table")
}

// Rows returns the named rows of a sheet, those that there are; all without names.
func (c Client) Rows(ctx context.Context, sheet string, rows ...string) (operators.Sheet, error) {
	query := url.Values{"sheet": {sheet}, "row": rows}
	reply, err := get[operators.TableReply](ctx, c, "/v1/table?"+query.Encode())
	if err != nil {
		return operators.Sheet{}, err
	}
	if len(reply.Sheets) != 1 {
		return operators.Sheet{}, fmt.Errorf("%w: reply holds %d sheets", ErrUnreachable, len(reply.Sheets))
	}
	return reply.Sheets[0], nil
}

// History returns the newest accepted edits, oldest first.
func (c Client) History(ctx context.Context) ([]table.HistoryEntry, error) {
	return get[[]table.HistoryEntry](ctx, c, "/v1/table/history")
}

// Explain returns how a session's upstreams rank on a box now.
func (c Client) Explain(
	ctx context.Context, organisation, session, model, service string,
) (operators.ExplainReply, error) {
	query := url.Values{"organisation": {organisation}, "session": {session}, "model": {model}, "service": {service}}
	return get[operators.ExplainReply](ctx, c, "/v1/explain?"+query.Encode())
}

// Statuses returns the status of every box of the client, or its error.
func (c Client) Statuses(ctx context.Context) []BoxStatus {
	statuses := make([]BoxStatus, 0, len(c.URLs))
	for _, boxURL := range c.URLs {
		one := Client{URLs: []string{boxURL}, Key: c.Key, Client: c.Client}
		status, err := get[box.Status](ctx, one, "/v1/status")
		statuses = append(statuses, BoxStatus{URL: boxURL, Status: status, Err: err})
	}
	return statuses
}

// BoxStatus is one box's status, or why there is none.
type BoxStatus struct {
	URL    string
	Status box.Status
	Err    error
}

// Drain begins a planned stop of the client's first box.
func (c Client) Drain(ctx context.Context) error {
	one := Client{URLs: c.URLs[:1], Key: c.Key, Client: c.Client}
	_, err := one.call(ctx, http.MethodPost, "/v1/drain", nil)
	return err
}

// Submit hands in an edit and returns its verdict. ErrVerdictUnknown means that
// it may still take hold: hand in the same edit again, or ask for the verdict.
func (c Client) Submit(ctx context.Context, edit table.Edit) (table.Verdict, error) {
	body, err := json.Marshal(edit)
	if err != nil {
		return table.Verdict{}, fmt.Errorf("encode edit: %w", err)
	}
	a, err := c.call(ctx, http.MethodPost, "/v1/table/edits", body)
	if err != nil {
		if errors.Is(err, ErrRefused) {
			return table.Verdict{}, err
		}
		return table.Verdict{}, fmt.Errorf("%w: %w", ErrVerdictUnknown, err)
	}
	if a.status == http.StatusAccepted {
		return table.Verdict{}, ErrVerdictUnknown
	}
	return decode[table.Verdict](a)
}

// Verdict returns the verdict on an edit by its id.
func (c Client) Verdict(ctx context.Context, id string) (table.Verdict, error) {
	a, err := c.call(ctx, http.MethodGet, "/v1/table/edits/"+url.PathEscape(id), nil)
	if err != nil {
		return table.Verdict{}, err
	}
	return decode[table.Verdict](a)
}

// WaitFor waits until the client's first box has the table at an offset.
func (c Client) WaitFor(ctx context.Context, offset int64) error {
	_, err := c.call(ctx, http.MethodGet, "/v1/table/wait?offset="+strconv.FormatInt(offset, 10), nil)
	return err
}

func get[T any](ctx context.Context, c Client, path string) (T, error) {
	a, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		var none T
		return none, err
	}
	return decode[T](a)
}

func decode[T any](a answer) (T, error) {
	var value T
	if err := json.Unmarshal(a.body, &value); err != nil {
		return value, fmt.Errorf("%w: %s: reply: %w", ErrUnreachable, a.url, err)
	}
	return value, nil
}

// call tries the boxes in order. Verdicts of conflict and invalid are answers.
func (c Client) call(ctx context.Context, method, path string, body []byte) (answer, error) {
	failures := []error{}
	for _, boxURL := range c.URLs {
		a, err := c.callOne(ctx, method, boxURL, path, body)
		if err == nil || errors.Is(err, ErrRefused) {
			return a, err
		}
		failures = append(failures, fmt.Errorf("%s: %w", boxURL, err))
	}
	return answer{}, fmt.Errorf("%w: %w", ErrUnreachable, errors.Join(failures...))
}

func (c Client) callOne(ctx context.Context, method, boxURL, path string, body []byte) (answer, error) {
	reply, err := jsonhttp.Call{
		Client: c.Client, Method: method, URL: boxURL + path, Body: body, Limit: maxReplyBytes,
		Header: http.Header{"Authorization": {"Bearer " + c.Key}},
	}.Do(ctx)
	if err != nil {
		return answer{}, err
	}
	a := answer{status: reply.Status, body: reply.Body, url: boxURL}
	verdict := a.status == http.StatusConflict || a.status == http.StatusUnprocessableEntity
	if a.status < http.StatusMultipleChoices || verdict {
		return a, nil
	}
	return a, refusal(a)
}

func refusal(a answer) error {
	var body apierror.Body
	if err := json.Unmarshal(a.body, &body); err != nil || body.Error.Message == "" {
		return fmt.Errorf("%w: status %d", ErrRefused, a.status)
	}
	return fmt.Errorf("%w: %s", ErrRefused, body.Error.Message)
}
