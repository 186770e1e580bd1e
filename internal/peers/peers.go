// Package peers implements the HTTP interface between boxes. A box serves the records and the state
// of its table, and processes claims that other boxes forward to it.
package peers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"dooryard.example/dooryard/internal/apierror"
	"dooryard.example/dooryard/internal/backing"
	"dooryard.example/dooryard/internal/claim"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/jsonhttp"
	"dooryard.example/dooryard/internal/snapshot"
	"dooryard.example/dooryard/internal/table"
	"dooryard.example/dooryard/internal/tablestore"
)

// ErrUnavailable is returned when a peer gives no usable response.
var ErrUnavailable = errors.New("peer unavailable")

// Limits of a request.
const (
	maxPageRecords              = 1000
	maxWaitMs      clock.Millis = 20_000
	maxRecordBytes              = 64 << 10
	maxStateBytes               = 512 << 20
)

// Dependencies are what the handlers need from their box.
type Dependencies struct {
	Store *tablestore.Store
	// Claim submits a claim to this box's registry and returns the verdict.
	Claim func(ctx context.Context, record claim.Record) (claim.Verdict, error)
	// Submit forwards a settle or release record.
	Submit func(record claim.Record)
}

// Routes registers the handlers on a mux.
func Routes(mux *http.ServeMux, d Dependencies) {
	h := &handler{d: d}
	mux.HandleFunc("GET /v1/logs/"+tablestore.Stream+"/records", h.records)
	mux.HandleFunc("GET /v1/table/state", h.state)
	mux.HandleFunc("POST /v1/claims", h.claim)
}

type handler struct {
	d Dependencies
}

// records responds in the format of the platform's log.
func (h *handler) records(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, fromErr := strconv.ParseInt(query.Get("from"), 10, 64)
	limit, limitErr := strconv.Atoi(query.Get("limit"))
	wait, waitErr := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if err := errors.Join(fromErr, limitErr, waitErr); err != nil || from < 0 || limit < 1 || wait < 0 {
		apierror.New(http.StatusBadRequest, "bad_query", "from, limit and wait_ms must be whole numbers").Write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(clock.Millis(wait), maxWaitMs).Duration())
	defer cancel()
	// If the requested offset is no longer available, the first offset of the page shows it.
	page, _ := h.d.Store.Tail().Read(ctx, from, min(limit, maxPageRecords))
	if page.Records == nil {
		page.Records = []backing.Record{}
	}
	jsonhttp.Write(w, page)
}

// state responds with the compressed encoding of the active table.
func (h *handler) state(w http.ResponseWriter, _ *http.Request) {
	state := h.d.Store.State()
	if state.Offset() == 0 {
		apierror.New(http.StatusNotFound, "no_table", "this box has no table yet").Write(w)
		return
	}
	encoded, err := state.Encode()
	if err != nil {
		apierror.New(http.StatusInternalServerError, "internal", "internal error").Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/zstd")
	// A write error means that the peer has disconnected.
	_, _ = w.Write(snapshot.Compress(encoded))
}

// ClaimReply is the response to a claim that another box forwarded.
type ClaimReply struct {
	Verdict claim.Verdict `json:"verdict"`
}

func (h *handler) claim(w http.ResponseWriter, r *http.Request) {
	record, err := jsonhttp.Read[claim.Record](w, r, maxRecordBytes)
	if err != nil {
		apierror.New(http.StatusBadRequest, "bad_claim", err.Error()).Write(w)
		return
	}
	if record.Type != claim.TypeClaim {
		h.d.Submit(record)
		jsonhttp.Write(w, ClaimReply{})
		return
	}
	verdict, err := h.d.Claim(r.Context(), record)
	if err != nil {
		apierror.New(http.StatusServiceUnavailable, "claim_unavailable", "no verdict in time").Write(w)
		return
	}
	jsonhttp.Write(w, ClaimReply{Verdict: verdict})
}

// Client sends requests to other boxes. Its HTTP client adds the fleet's key.
type Client struct {
	Client *http.Client
	// Scheme is http, or https if the peers' listeners use TLS.
	Scheme string
}

// Read returns records of the table's stream from a peer.
func (c Client) Read(
	ctx context.Context, address string, from int64, limit int, waitMs clock.Millis,
) (backing.Page, error) {
	log := backing.Log{URL: c.Scheme + "://" + address, Client: c.Client}
	return log.Read(ctx, tablestore.Stream, from, limit, waitMs)
}

// State returns the active table of a peer.
func (c Client) State(ctx context.Context, address string) (*table.State, error) {
	data, err := c.call(ctx, http.MethodGet, address, "/v1/table/state", nil)
	if err != nil {
		return nil, err
	}
	encoded, err := snapshot.Decompress(data)
	if err != nil {
		return nil, err
	}
	return table.Decode(encoded)
}

// Claim forwards a record to the box that batches the records of its shard.
func (c Client) Claim(ctx context.Context, address string, record claim.Record) (claim.Verdict, error) {
	body, err := json.Marshal(record)
	if err != nil {
		return claim.Verdict{}, fmt.Errorf("encode claim: %w", err)
	}
	data, err := c.call(ctx, http.MethodPost, address, "/v1/claims", body)
	if err != nil {
		return claim.Verdict{}, err
	}
	var reply ClaimReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return claim.Verdict{}, fmt.Errorf("%w: reply: %w", ErrUnavailable, err)
	}
	return reply.Verdict, nil
}

func (c Client) call(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	reply, err := jsonhttp.Call{
		Client: c.Client, Method: method, URL: c.Scheme + "://" + address + path, Body: body, Limit: maxStateBytes,
	}.Do(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if reply.Status != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d", ErrUnavailable, reply.Status)
	}
	return reply.Body, nil
}
