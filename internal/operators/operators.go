// Package operators is the HTTP API for operators: the table, the fleet's status
// and explanations of routing decisions.
package operators

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"dooryard.example/dooryard/internal/apierror"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/jsonhttp"
	"dooryard.example/dooryard/internal/pool"
	"dooryard.example/dooryard/internal/route"
	"dooryard.example/dooryard/internal/table"
	"dooryard.example/dooryard/internal/tablestore"
)

// Limits of a call.
const (
	maxEditBytes                 = 4 << 20
	submitTimeoutMs              = 15 * clock.Second
	maxOffsetWaitMs clock.Millis = 30_000
)

// Dependencies are the parts of a box that the handler uses.
type Dependencies struct {
	Store   *tablestore.Store
	Pools   *pool.Manager
	Status  func() any
	Drain   func()
	Metrics http.Handler
}

// Handler serves the operators' API.
type Handler struct {
	deps Dependencies
	mux  *http.ServeMux
}

// New returns a handler of the operators' API.
func New(deps Dependencies) *Handler {
	h := &Handler{deps: deps, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /v1/table", h.table)
	h.mux.HandleFunc("GET /v1/table/history", h.history)
	h.mux.HandleFunc("POST /v1/table/edits", h.edit)
	h.mux.HandleFunc("GET /v1/table/edits/{id}", h.verdict)
	h.mux.HandleFunc("GET /v1/table/wait", h.wait)
	h.mux.HandleFunc("GET /v1/status", h.status)
	h.mux.HandleFunc("GET /v1/explain", h.explain)
	h.mux.HandleFunc("POST /v1/drain", h.drain)
	h.mux.Handle("GET /debug/vars", deps.Metrics)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// TableResponse is the response with the table or a part of it.
type TableResponse struct {
	Offset int64   `json:"offset"`
	Sheets []Sheet `json:"sheets"`
}

// Sheet is one sheet of TableResponse.
type Sheet struct {
	Name    string   `json:"name"`
	Columns []string `json:"columns"`
	Rows    []Row    `json:"rows"`
}

// Row is one row of Sheet. Cells are in the order of the sheet's columns.
type Row struct {
	Name  string       `json:"name"`
	Cells []table.Cell `json:"cells"`
}

// NewTableResponse returns the whole table of a state.
func NewTableResponse(state *table.State) TableResponse {
	reply := TableResponse{Offset: state.Offset(), Sheets: []Sheet{}}
	for _, name := range table.SheetNames() {
		reply.Sheets = append(reply.Sheets, newSheet(state, name, state.RowNames(name)))
	}
	return reply
}

func newSheet(state *table.State, name string, rows []string) Sheet {
	sheet := Sheet{Name: name, Columns: table.Columns(name), Rows: []Row{}}
	for _, row := range rows {
		if cells := state.Row(name, row); cells != nil {
			sheet.Rows = append(sheet.Rows, Row{Name: row, Cells: cells})
		}
	}
	return sheet
}

// table returns all sheets, or only the sheet and rows that the query selects, since a
// large table takes megabytes.
func (h *Handler) table(w http.ResponseWriter, r *http.Request) {
	state, query := h.deps.Store.State(), r.URL.Query()
	name := query.Get("sheet")
	if name == "" {
		jsonhttp.Write(w, NewTableResponse(state))
		return
	}
	if len(table.Columns(name)) == 0 {
		apierror.New(http.StatusNotFound, "unknown_sheet", "sheet: unknown").Write(w)
		return
	}
	rows := query["row"]
	if len(rows) == 0 {
		rows = state.RowNames(name)
	}
	jsonhttp.Write(w, TableResponse{Offset: state.Offset(), Sheets: []Sheet{newSheet(state, name, rows)}})
}

func (h *Handler) history(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.Write(w, append([]table.HistoryEntry{}, h.deps.Store.State().History()...))
}

// edit submits an edit and responds with its verdict: 200 if accepted, 409 on conflict, 422
// if invalid, 202 if the verdict is not known yet and must be queried by id, and 503 if the
// edit was not appended and will never be applied.
func (h *Handler) edit(w http.ResponseWriter, r *http.Request) {
	edit, err := jsonhttp.Read[table.Edit](w, r, maxEditBytes)
	if err != nil {
		apierror.New(http.StatusBadRequest, "bad_edit", err.Error()).Write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeoutMs.Duration())
	defer cancel()
	verdict, err := h.deps.Store.Submit(ctx, edit)
	switch {
	case errors.Is(err, tablestore.ErrVerdictUnknown):
		jsonhttp.WriteStatus(w, http.StatusAccepted, table.Verdict{ID: edit.ID})
	case err != nil:
		apierror.New(http.StatusServiceUnavailable, "not_appended",
			"the edit was not taken: the log can't be written", apierror.WithRetryAfter(clock.Second)).Write(w)
	default:
		writeVerdict(w, verdict)
	}
}

func writeVerdict(w http.ResponseWriter, verdict table.Verdict) {
	status := http.StatusOK
	switch verdict.Result {
	case table.Conflict:
		status = http.StatusConflict
	case table.Invalid:
		status = http.StatusUnprocessableEntity
	case table.Accepted:
	}
	jsonhttp.WriteStatus(w, status, verdict)
}

func (h *Handler) verdict(w http.ResponseWriter, r *http.Request) {
	verdict, known := h.deps.Store.State().Verdict(r.PathValue("id"))
	if !known {
		apierror.New(http.StatusNotFound, "unknown_edit", "no verdict on this edit is known here").Write(w)
		return
	}
	writeVerdict(w, verdict)
}

// wait responds when the active table has reached an offset.
func (h *Handler) wait(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.ParseInt(r.URL.Query().Get("offset"), 10, 64)
	if err != nil {
		apierror.New(http.StatusBadRequest, "bad_offset", "offset: must be a whole number").Write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), maxOffsetWaitMs.Duration())
	defer cancel()
	if err := h.deps.Store.WaitFor(ctx, offset); err != nil {
		apierror.New(http.StatusGatewayTimeout, "not_reached", err.Error()).Write(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request) { jsonhttp.Write(w, h.deps.Status()) }

// ExplainResponse is the current ranking of a session's upstreams on this box.
type ExplainResponse struct {
	Organisation string              `json:"organisation"`
	Session      string              `json:"session"`
	Pool         string              `json:"pool"`
	Ranking      []route.Explanation `json:"ranking"`
}

func (h *Handler) explain(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	reply := ExplainResponse{Organisation: query.Get("organisation"), Session: query.Get("session")}
	reply.Pool = pool.Name(table.KindEngine, query.Get("model"))
	if service := query.Get("service"); service != "" {
		reply.Pool = pool.Name(table.KindService, service)
	}
	ranking, err := h.deps.Pools.Explain(reply.Pool, route.NewKey(reply.Organisation, reply.Session))
	if err != nil {
		apierror.New(http.StatusNotFound, "no_upstream", err.Error()).Write(w)
		return
	}
	reply.Ranking = ranking
	jsonhttp.Write(w, reply)
}

func (h *Handler) drain(w http.ResponseWriter, _ *http.Request) {
	h.deps.Drain()
	w.WriteHeader(http.StatusAccepted)
}
