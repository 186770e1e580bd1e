// Package relay transfers the routing state and the upstreams between boxes, for boxes that don't
// read them from the store themselves.
package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"dooryard.example/dooryard/internal/apierror"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/evacuation"
	"dooryard.example/dooryard/internal/jsonhttp"
	"dooryard.example/dooryard/internal/position"
	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/routing"
)

// ErrUnavailable is returned when a box gives no usable response.
var ErrUnavailable = errors.New("box unavailable")

// Limits of requests between boxes.
const (
	path          = "/v1/routing"
	callMs        = 1000
	connectMs     = 300
	maxReplyBytes = 16 << 20
	// maxLongReplies limits the long replies that a box sends concurrently. Otherwise, when all
	// boxes of a large fleet start together, a box that is ahead of the others would use its whole
	// bandwidth for replies.
	maxLongReplies = 2
	// longReplyChanges is the number of changes above which a reply counts as long.
	longReplyChanges = 200
)

// Reply contains what the requester does not have yet.
type Reply struct {
	Version int64 `json:"version"`
	// State is set when it is newer than the requester's.
	State *routing.Content `json:"state,omitempty"`
	// Era is the newest store era in which the store returned Version.
	Era       int64           `json:"era,omitempty"`
	Upstreams registry.Update `json:"upstreams"`
	// Evacuations is complete, because there are few.
	Evacuations evacuation.Update `json:"evacuations"`
}

// errBusy is returned while the maximum number of long replies is being sent.
var errBusy = apierror.New(http.StatusServiceUnavailable, "busy", "too many long replies at once")

// Handler serves the routing state, the upstreams and the evacuations to other boxes.
func Handler(
	tracker *routing.StateTracker, upstreams *registry.Registry, evacuations *evacuation.Tracker,
) http.Handler {
	mux := http.NewServeMux()
	cache := &replyCache{}
	longReplies := make(chan struct{}, maxLongReplies)
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
		version, versionErr := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
		after, positionErr := parsePosition(r)
		if err := errors.Join(versionErr, positionErr); err != nil {
			apierror.New(http.StatusBadRequest, "bad_query", err.Error()).Write(w)
			return
		}
		out := reply(tracker, upstreams, version, after)
		out.Evacuations = evacuations.Update()
		if len(out.Upstreams.Changes) > longReplyChanges {
			select {
			case longReplies <- struct{}{}:
				defer func() { <-longReplies }()
			default:
				errBusy.Write(w)
				return
			}
		}
		key := cacheKey{
			version: version, position: after, ownVersion: out.Version, ownPosition: out.Upstreams.Position,
			evacuations: evacuations.Summary(),
		}
		data, err := cache.encode(key, out)
		if err != nil {
			apierror.New(http.StatusInternalServerError, "internal", err.Error()).Write(w)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Encoding", "gzip")
		// A write error means that the requester has disconnected.
		_, _ = w.Write(data)
	})
	return mux
}

// parsePosition returns the position of the requester. A request without a position gets
// everything.
func parsePosition(r *http.Request) (after position.Position, err error) {
	if text := r.URL.Query().Get("position"); text != "" {
		err = after.UnmarshalText([]byte(text))
	}
	return after, err
}

func reply(tracker *routing.StateTracker, upstreams *registry.Registry, version int64, after position.Position) Reply {
	out := Reply{Upstreams: upstreams.Since(after)}
	if state := tracker.State(); state != nil {
		out.Version, out.Era = state.Version(), tracker.StateEra()
		if state.Version() > version {
			content := state.Content()
			out.State = &content
		}
	}
	return out
}

// Client requests the routing state and the upstreams from other boxes.
type Client struct {
	client *http.Client
}

// NewClient returns a client. If dial is nil, it uses the standard dialer.
func NewClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: connectMs * time.Millisecond}).DialContext
	}
	// A connection that was idle may have gone silent, and the call would take up the time within which a box must
	// learn of a draining upstream.
	return &Client{client: &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}}
}

// Fetch requests everything that is newer than a version and a position from the box at an address.
func (c *Client) Fetch(ctx context.Context, address string, version int64, after position.Position) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, clock.Millis(callMs).Duration())
	defer cancel()
	answer, err := jsonhttp.Call{
		Client: c.client, Method: http.MethodGet, Limit: maxReplyBytes,
		URL: fmt.Sprintf("http://%s%s?version=%d&position=%s", address, path, version, after),
	}.Do(ctx)
	if err != nil {
		return Reply{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if answer.Status != http.StatusOK {
		return Reply{}, fmt.Errorf("%w: status %d", ErrUnavailable, answer.Status)
	}
	var out Reply
	if err := json.Unmarshal(answer.Body, &out); err != nil {
		return Reply{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return out, nil
}
