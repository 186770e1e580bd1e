// Package backing contains clients of the backing services that dooryard-router
// uses: the append-only log, the weight store and the list of boxes. It is the
// only package that knows their wire format.
package backing

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/jsonhttp"
)

// Errors of calls to the platform.
var (
	// ErrUnavailable means that it is unknown whether the call had an effect: the
	// platform may be down or slow, or its reply may have been lost.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrRejected means that the platform rejected the call and changed nothing.
	ErrRejected = errors.New("platform rejected the call")
	// ErrThrottled means that the call exceeded a rate limit. It always comes with ErrRejected.
	ErrThrottled = errors.New("platform rate limit exceeded")
	// ErrExpired means that the requested records are past retention.
	ErrExpired = errors.New("log records past retention")
)

const maxReplyBytes = 64 << 20

// Record is one entry of a log stream.
type Record struct {
	Offset int64           `json:"offset"`
	TimeMs clock.Millis    `json:"time_ms"`
	Data   json.RawMessage `json:"data"`
}

// Page is the result of one read of a log stream.
type Page struct {
	Records []Record `json:"records"`
	// FirstOffset is the oldest retained offset.
	FirstOffset int64 `json:"first_offset"`
	// EndOffset is the offset of the next record to be appended.
	EndOffset int64 `json:"end_offset"`
}

// AppendRequest is the request body of an append.
type AppendRequest struct {
	Records []json.RawMessage `json:"records"`
}

// AppendReply is the reply to an append. It holds the offset of the first appended record.
type AppendReply struct {
	Offset int64 `json:"offset"`
}

// Log is a client of the log service.
type Log struct {
	URL    string
	Client *http.Client
}

// Append atomically appends the records to a stream and returns the offset of the first. After
// ErrRejected, nothing was appended. After ErrUnavailable, the records may or may not have been
// appended.
func (l Log) Append(ctx context.Context, stream string, records ...json.RawMessage) (int64, error) {
	body, err := json.Marshal(AppendRequest{Records: records})
	if err != nil {
		return 0, fmt.Errorf("encode append: %w", err)
	}
	var reply AppendReply
	err = call(ctx, l.Client, http.MethodPost, l.URL+"/v1/logs/"+stream+"/records", body, &reply)
	return reply.Offset, err
}

// Read returns records of a stream starting at an offset. It long-polls for up to
// waitMs for the first one. ErrExpired means that the offset is past retention.
func (l Log) Read(ctx context.Context, stream string, from int64, limit int, waitMs clock.Millis) (Page, error) {
	url := l.URL + "/v1/logs/" + stream + "/records?from=" + strconv.FormatInt(from, 10) +
		"&limit=" + strconv.Itoa(limit) + "&wait_ms=" + strconv.FormatInt(int64(waitMs), 10)
	var page Page
	if err := call(ctx, l.Client, http.MethodGet, url, nil, &page); err != nil {
		return Page{}, err
	}
	if from < page.FirstOffset {
		return page, fmt.Errorf("%w: requested offset %d, oldest is %d", ErrExpired, from, page.FirstOffset)
	}
	return page, nil
}

// BoxState is the state of a box or an upstream as the platform reports it.
type BoxState string

// States of a listed box.
const (
	BoxLive    BoxState = "live"
	BoxLeaving BoxState = "leaving"
)

// ListedBox is one entry of the platform's list of boxes and upstreams.
type ListedBox struct {
	Name          string   `json:"name"`
	FailureDomain string   `json:"failure_domain"`
	GossipAddress string   `json:"gossip_address,omitempty"`
	PeerAddress   string   `json:"peer_address,omitempty"`
	State         BoxState `json:"state"`
}

// BoxListReply is the platform's list of boxes and upstreams, which is eventually consistent.
type BoxListReply struct {
	Boxes     []ListedBox `json:"boxes"`
	Upstreams []ListedBox `json:"upstreams"`
}

// BoxList is a client of the list of boxes.
type BoxList struct {
	URL    string
	Client *http.Client
}

// VersionedList is a list with its version, the entity tag assigned by the platform.
type VersionedList struct {
	BoxListReply
	version string
}

// Get returns the platform's current list of one failure domain, or of all failure
// domains if domain is empty. The list may lag by seconds. It makes a conditional
// request, so that an unchanged list costs few bytes and known is returned.
func (b BoxList) Get(ctx context.Context, domain string, known VersionedList) (VersionedList, error) {
	header := http.Header{}
	if known.version != "" {
		header.Set("If-None-Match", known.version)
	}
	var list VersionedList
	reply, err := roundTrip(ctx, jsonhttp.Call{
		Client: b.Client, Method: http.MethodGet, URL: b.URL + "/v1/boxes?failure_domain=" + domain, Header: header,
	}, &list.BoxListReply)
	if err != nil {
		return known, err
	}
	if reply.Status == http.StatusNotModified {
		return known, nil
	}
	list.version = reply.Header.Get("Etag")
	return list, nil
}

// WeightStore is a client of the rate-limited weight store.
type WeightStore struct {
	URL    string
	Client *http.Client
}

// Reserve requests a reservation to start loading a model now. ErrThrottled means
// that the rate limit of the store is exhausted.
func (w WeightStore) Reserve(ctx context.Context, model string) error {
	return call(ctx, w.Client, http.MethodPost, w.URL+"/v1/weights/"+model+"/reservations", []byte("{}"), nil)
}

func call(ctx context.Context, client *http.Client, method, url string, body []byte, reply any) error {
	_, err := roundTrip(ctx, jsonhttp.Call{Client: client, Method: method, URL: url, Body: body}, reply)
	return err
}

// roundTrip makes a call and decodes the reply body into value, unless value is nil or the status
// is 304.
func roundTrip(ctx context.Context, c jsonhttp.Call, value any) (jsonhttp.Reply, error) {
	c.Limit = maxReplyBytes
	reply, err := c.Do(ctx)
	if err != nil {
		return jsonhttp.Reply{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if err := statusError(reply.Status); err != nil {
		return jsonhttp.Reply{}, err
	}
	if value == nil || reply.Status == http.StatusNotModified {
		return reply, nil
	}
	if err := json.Unmarshal(reply.Body, value); err != nil {
		return jsonhttp.Reply{}, fmt.Errorf("%w: reply: %w", ErrUnavailable, err)
	}
	return reply, nil
}

func statusError(status int) error {
	switch {
	case status < http.StatusMultipleChoices || status == http.StatusNotModified:
		return nil
	case status == http.StatusTooManyRequests:
		return fmt.Errorf("%w: %w", ErrRejected, ErrThrottled)
	case status < http.StatusInternalServerError:
		return fmt.Errorf("%w: status %d", ErrRejected, status)
	default:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	}
}
