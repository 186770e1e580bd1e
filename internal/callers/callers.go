// Package callers implements the HTTP API for callers: chats, plain services, models and health
// checks.
package callers

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"github.com/oklog/ulid/v2"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"dooryard.example/dooryard/internal/apierror"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/deadline"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/inbound"
	"dooryard.example/dooryard/internal/pipe/identify"
	"dooryard.example/dooryard/internal/table"
	"dooryard.example/dooryard/internal/urlpath"
)

// Handler serves the HTTP API for callers.
type Handler struct {
	serve  func(x *exchange.Exchange)
	state  func() *table.State
	ready  func() bool
	tracer trace.Tracer
	// monotonic reads the monotonic clock.
	monotonic func() clock.Millis
	mux       *http.ServeMux
}

// Dependencies holds what a Handler needs from its box.
type Dependencies struct {
	// Serve runs a request through the pipeline.
	Serve func(x *exchange.Exchange)
	// State returns the current table.
	State func() *table.State
	// Ready reports whether the box accepts new requests.
	Ready  func() bool
	Tracer trace.Tracer
	// Monotonic reads the monotonic clock.
	Monotonic func() clock.Millis
}

// New returns a handler for the API for callers.
func New(d Dependencies) *Handler {
	h := &Handler{
		serve: d.Serve, state: d.State, ready: d.Ready, tracer: d.Tracer, monotonic: d.Monotonic, mux: http.NewServeMux(),
	}
	h.mux.HandleFunc("POST /v1/chat/completions", h.proxy(exchange.Chat, false))
	h.mux.HandleFunc(servicePattern, notFound)
	h.mux.HandleFunc("GET /v1/models", h.models)
	h.mux.HandleFunc("GET /healthz", h.health)
	h.mux.HandleFunc("GET /readyz", h.readiness)
	h.mux.HandleFunc("/", notFound)
	return h
}

// servicePattern lets a mux redirect requests for "/services/NAME" to "/services/NAME/".
const servicePattern = "/services/{service}/"

// PeerRoutes registers the endpoints that other boxes use to forward requests to this one, and returns the handler of
// all requests from other boxes.
func (h *Handler) PeerRoutes(mux *http.ServeMux) http.Handler {
	mux.HandleFunc("POST /v1/chat/completions", h.proxy(exchange.Chat, true))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.serveFrom(w, r, mux, true) })
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.serveFrom(w, r, h.mux, false) }

// serveFrom serves service calls itself and passes other requests to the mux, which would redirect paths with dot
// segments or double slashes and unescape the rest.
func (h *Handler) serveFrom(w http.ResponseWriter, r *http.Request, mux *http.ServeMux, fromPeer bool) {
	service, path, isCall := cutService(urlpath.Sent(r.URL))
	if !isCall {
		mux.ServeHTTP(w, r)
		return
	}
	r.SetPathValue(identify.PathService, service)
	r.SetPathValue(identify.PathRest, path)
	h.proxy(exchange.Service, fromPeer)(w, r)
}

// cutService splits the path of a service call into the name of the service and the path at the service, as sent.
func cutService(sent string) (service, path string, isCall bool) {
	first, rest, _ := strings.Cut(strings.TrimPrefix(sent, "/"), "/")
	at := strings.IndexByte(rest, '/')
	if urlpath.Normal(first) != "services" || at < 0 {
		return "", "", false
	}
	service, err := url.PathUnescape(rest[:at])
	return service, rest[at:], err == nil
}

func (h *Handler) proxy(kind exchange.Kind, fromPeer bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := ulid.Make().String()
		if fromPeer {
			id = r.Header.Get(headerRequestID)
		}
		ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := h.tracer.Start(ctx, "router "+string(kind), trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		x := exchange.New(ctx, id, w, r, kind, h.monotonic())
		if c := inbound.ConnOf(r.Context()); c != nil {
			arrival := c.Arrival()
			x.Arrived = arrival.StartMs
			x.Caller = deadline.Path{
				RoundTripMs: arrival.RoundTripMs, New: arrival.New, OpeningMs: arrival.OpeningMs,
			}
		}
		x.FromPeer = fromPeer
		if fromPeer {
			w.Header().Set(headerRequestID, id)
		}
		h.serve(x)
	}
}

// headerRequestID carries the request ID, both between boxes and to upstreams.
const headerRequestID = "X-Request-Id"

// Models is the response to GET /v1/models.
type Models struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is an entry of Models.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (h *Handler) models(w http.ResponseWriter, r *http.Request) {
	if _, err := identify.Caller(h.state(), r); err != nil {
		apierror.From(err).Write(w)
		return
	}
	response := Models{Object: "list", Data: []Model{}}
	for _, name := range h.state().ModelNames() {
		response.Data = append(response.Data, Model{ID: name, Object: "model", OwnedBy: "operators"})
	}
	w.Header().Set("Content-Type", "application/json")
	// The error is ignored because it means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(response)
}

func (*Handler) health(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

func (h *Handler) readiness(w http.ResponseWriter, _ *http.Request) {
	if !h.ready() {
		apierror.New(http.StatusServiceUnavailable, "not_ready", "this box takes no new requests").Write(w)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func notFound(w http.ResponseWriter, _ *http.Request) {
	apierror.New(http.StatusNotFound, "not_found", "no such path or method").Write(w)
}
