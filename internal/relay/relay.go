// Package relay carries the routing state and the upstreams from one box to
// another, for boxes that don't read them from their store.
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
	"dooryard.example/dooryard/internal/jsonhttp"
	"dooryard.example/dooryard/internal/position"
	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/routing"
)

// ErrUnavailable means that a box gave no usable answer.
var ErrUnavailable = errors.New("box unavailable")

// Bounds of a call between boxes.
const (
	path          = "/v1/routing"
	callMs        = 1000
	connectMs     = 300
	maxReplyBytes = 16 << 20
	// maxLong is how many long replies a box gives at once. When all boxes of a
	// large fleet start together, one that knows more would else spend its whole
	// link on them.
	maxLong = 2
	// longChanges is how many changes make a reply long.
	longChanges = 200
	keepIdle    = 20 * time.Second
)

// Reply is what one box tells another: what the other one does not have yet.
type Reply struct {
	Version int64 `json:"version"`
	// State is set when it is newer than what the asker has.
	State *routing.Content `json:"state,omitempty"`
	// Era is the newest era of the store in which it told of Version.
	Era       int64           `json:"era,omitempty"`
	Upstreams registry.Update `json:"upstreams"`
}

// errBusy means that a box gives enough long replies already.
var errBusy = apierror.New(http.StatusServiceUnavailable, "busy", "too many long replies at once")

// Handler answers other boxes.
func Handler(belief *routing.Belief, upstreams *registry.Registry) http.Handler {
	mux := http.NewServeMux()
	encoded := &encoder{}
	long := make(chan struct{}, maxLong)
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
		version, versionErr := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
		at, positionErr := positionOf(r)
		if err := errors.Join(versionErr, positionErr); err != nil {
			apierror.New(http.StatusBadRequest, "bad_query", err.Error()).Write(w)
			return
		}
		out := reply(belief, upstreams, version, at)
		if len(out.Upstreams.Changes) > longChanges {
			select {
			case long <- struct{}{}:
				defer func() { <-long }()
			default:
				errBusy.Write(w)
				return
			}
		}
		q := question{version: version, position: at, ownVersion: out.Version, ownPosition: out.Upstreams.Position}
		data, err := encoded.encode(q, out)
		if err != nil {
			apierror.New(http.StatusInternalServerError, "internal", err.Error()).Write(w)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Encoding", "gzip")
		// An asker that is gone can't be told.
		_, _ = w.Write(data)
	})
	return mux
}

// positionOf returns where the asker stands; one that does not say gets everything.
func positionOf(r *http.Request) (at position.Position, err error) {
	if text := r.URL.Query().Get("position"); text != "" {
		err = at.UnmarshalText([]byte(text))
	}
	return at, err
}

func reply(belief *routing.Belief, upstreams *registry.Registry, version int64, at position.Position) Reply {
	out := Reply{Upstreams: upstreams.Since(at)}
	if state := belief.State(); state != nil {
		out.Version, out.Era = state.Version(), belief.StateEra()
		if state.Version() > version {
			content := state.Content()
			out.State = &content
		}
	}
	return out
}

// Client asks other boxes.
type Client struct {
	client *http.Client
}

// NewClient returns a client. Dial is the standard dialer's when nil.
func NewClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: connectMs * time.Millisecond}).DialContext
	}
	return &Client{client: &http.Client{Transport: &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: keepIdle,
	}}}
}

// Fetch asks the box at an address for what is newer than a version and a
// position.
func (c *Client) Fetch(ctx context.Context, address string, version int64, at position.Position) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, clock.Millis(callMs).Duration())
	defer cancel()
	answer, err := jsonhttp.Call{
		Client: c.client, Method: http.MethodGet, Limit: maxReplyBytes,
		URL: fmt.Sprintf("http://%s%s?version=%d&position=%s", address, path, version, at),
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
