package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/engine"
	"dooryard.example/dooryard/internal/jsonhttp"
)

// EngineSpeed is how an engine's time goes.
type EngineSpeed struct {
	// PrefillTokensPerMs is how many cold prompt tokens are read a millisecond.
	PrefillTokensPerMs int
	// TokenMs is the time between two tokens of an answer.
	TokenMs clock.Millis
	// Slots is how many requests run at once; the others queue by priority.
	Slots int
	// CacheTokens is the size of the prefix cache.
	CacheTokens int
	// ReportLagMs is the age of the load that reports show.
	ReportLagMs clock.Millis
	// OrderMs is the time an order takes.
	OrderMs clock.Millis
}

// EngineFaults are the faults of an engine.
type EngineFaults struct {
	// FailFast answers every chat at once with status 500.
	FailFast bool `json:"fail_fast"`
	// RefuseNotRun answers every chat with 503 and the word that it did not run.
	RefuseNotRun bool `json:"refuse_not_run"`
	// CutAfter breaks the connection of each stream after this many events.
	CutAfter int `json:"cut_after"`
	// CutShort ends answers that are not streamed before their length.
	CutShort bool `json:"cut_short"`
	// EndEarly ends each stream well formed after this many events, without
	// its closing event.
	EndEarly int `json:"end_early"`
	// Cross answers with the id of another request.
	Cross bool `json:"cross"`
	// Stall stops every stream after this many events without closing it.
	Stall int `json:"stall"`
	// ForgetStreams refuses to take up streams again.
	ForgetStreams bool `json:"forget_streams"`
}

// Engine stands in for a model engine.
type Engine struct {
	name         string
	speed        EngineSpeed
	checksTokens bool
	clock        clock.Clock
	tracer       trace.Tracer
	mux          *http.ServeMux
	onRun        func(requestID string)
	// ctx ends with Close, which waits for what runs in the background.
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
	// lifeMu guards closed: nothing may start in the background after Close.
	lifeMu sync.Mutex
	closed bool

	mu       sync.Mutex
	models   []string
	faults   EngineFaults
	leaving  bool
	running  int
	queue    []*queued
	cache    *prefixCache
	events   cacheEvents
	streams  map[string]*generation
	history  []datedLoad
	runs     map[string]int
	orders   orderState
	finished int
	maxLoad  int
	prompt   int
	cached   int
	trace    string
}

type queued struct {
	priority int
	ready    chan struct{}
}

type datedLoad struct {
	atMs clock.Millis
	load engine.Load
}

// EngineOption changes an Engine under construction.
type EngineOption func(*Engine)

// WithEngineClock replaces the system clock.
func WithEngineClock(c clock.Clock) EngineOption { return func(e *Engine) { e.clock = c } }

// WithSpeed sets how the engine's time goes.
func WithSpeed(speed EngineSpeed) EngineOption { return func(e *Engine) { e.speed = speed } }

// WithTokenChecks makes the engine refuse orders with stale fencing tokens.
func WithTokenChecks() EngineOption { return func(e *Engine) { e.checksTokens = true } }

// WithEngineTracer sets the tracer of the engine's spans.
func WithEngineTracer(tracer trace.Tracer) EngineOption {
	return func(e *Engine) { e.tracer = tracer }
}

// WithOnRun has a function called with each request that begins to run.
func WithOnRun(onRun func(requestID string)) EngineOption {
	return func(e *Engine) { e.onRun = onRun }
}

// DefaultSpeed is an engine that is quick enough for tests and the demo.
func DefaultSpeed() EngineSpeed {
	return EngineSpeed{
		PrefillTokensPerMs: 20, TokenMs: 5, Slots: 64, CacheTokens: 64_000, ReportLagMs: clock.Second, OrderMs: 200,
	}
}

// NewEngine returns an engine that serves the models.
func NewEngine(name string, models []string, options ...EngineOption) *Engine {
	e := &Engine{
		name: name, models: slices.Clone(models), speed: DefaultSpeed(), clock: clock.New(),
		tracer: noop.NewTracerProvider().Tracer(""), mux: http.NewServeMux(), onRun: func(string) {},
		streams: map[string]*generation{}, runs: map[string]int{},
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	for _, option := range options {
		option(e)
	}
	e.cache = newPrefixCache(e.speed.CacheTokens, func(prefix uint64, stored bool) {
		e.events.add(prefix, stored, e.clock.Now())
	})
	e.mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	e.mux.HandleFunc("GET /v1/streams/{id}", e.serveResume)
	e.mux.HandleFunc("DELETE /v1/streams/{id}", e.serveCancel)
	e.mux.HandleFunc("GET /v1/load", e.serveLoad)
	e.mux.HandleFunc("GET /v1/cache/events", e.serveCacheEvents)
	e.mux.HandleFunc("GET /v1/orders", e.serveOrders)
	e.mux.HandleFunc("POST /v1/orders", e.serveOrder)
	e.mux.HandleFunc("POST /standin/engine/faults", e.serveFaults)
	return e
}

// Close stops all that runs in the background and waits for it.
func (e *Engine) Close() {
	e.lifeMu.Lock()
	e.closed = true
	e.lifeMu.Unlock()
	e.cancel()
	e.background.Wait()
}

// spawn runs a function in the background, unless the engine is closed.
func (e *Engine) spawn(do func()) {
	e.lifeMu.Lock()
	defer e.lifeMu.Unlock()
	if !e.closed {
		e.background.Go(do)
	}
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// SetFaults changes the engine's faults.
func (e *Engine) SetFaults(change func(*EngineFaults)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.faults)
}

// LastTraceparent returns the trace header of the newest chat.
func (e *Engine) LastTraceparent() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.trace
}

// SetLeaving makes the engine report that it is about to go.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// EngineCounts are what an engine has done.
type EngineCounts struct {
	Finished     int
	Running      int
	MaxRunning   int
	PromptTokens int
	CachedTokens int
	// MaxRuns is the highest number of runs of one request id.
	MaxRuns int
}

// Counts returns what the engine has done.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := EngineCounts{
		Finished: e.finished, Running: e.running, MaxRunning: e.maxLoad,
		PromptTokens: e.prompt, CachedTokens: e.cached,
	}
	for _, runs := range e.runs {
		counts.MaxRuns = max(counts.MaxRuns, runs)
	}
	return counts
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults EngineFaults
	if !readJSON(w, r, &faults) {
		return
	}
	e.SetFaults(func(current *EngineFaults) { *current = faults })
	jsonhttp.Write(w, faults)
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := e.tracer.Start(ctx, "engine "+e.name, trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	var chat engine.Chat
	if !readJSON(w, r, &chat) {
		return
	}
	e.mu.Lock()
	e.trace = r.Header.Get("Traceparent")
	e.mu.Unlock()
	if e.refuse(w, r, &chat) {
		return
	}
	g := e.generate(r, &chat)
	if g == nil {
		return
	}
	if chat.Stream {
		e.streamTo(ctx, w, g, 0)
		return
	}
	e.answerWhole(ctx, w, g)
}

// refuse answers a chat that does not run and reports whether it did so.
func (e *Engine) refuse(w http.ResponseWriter, r *http.Request, chat *engine.Chat) bool {
	e.mu.Lock()
	faults, known := e.faults, slices.Contains(e.models, chat.Model)
	e.mu.Unlock()
	e.stamp(w, r.Header.Get(engine.HeaderRequestID))
	switch {
	case faults.FailFast:
		http.Error(w, "internal error", http.StatusInternalServerError)
	case faults.RefuseNotRun:
		w.Header().Set(engine.HeaderNotRun, "true")
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
	case !known:
		w.Header().Set(engine.HeaderNotRun, "true")
		http.Error(w, "model not loaded", http.StatusServiceUnavailable)
	default:
		return false
	}
	return true
}

func (e *Engine) stamp(w http.ResponseWriter, requestID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Cross {
		requestID = "of-another-request"
	}
	w.Header().Set(engine.HeaderRequestID, requestID)
	w.Header().Set(engine.HeaderInFlight, strconv.Itoa(e.running))
	w.Header().Set(engine.HeaderQueued, strconv.Itoa(len(e.queue)))
}

// enter waits for a slot, by priority.
func (e *Engine) enter(ctx context.Context, priority int) bool {
	e.mu.Lock()
	if e.running < e.speed.Slots {
		e.occupy()
		e.mu.Unlock()
		return true
	}
	q := &queued{priority: priority, ready: make(chan struct{})}
	at := slices.IndexFunc(e.queue, func(other *queued) bool { return other.priority < priority })
	if at < 0 {
		at = len(e.queue)
	}
	e.queue = slices.Insert(e.queue, at, q)
	e.mu.Unlock()
	select {
	case <-q.ready:
		return true
	case <-ctx.Done():
		return e.leaveQueue(q)
	}
}

// leaveQueue returns true when a slot was given at the same moment.
func (e *Engine) leaveQueue(q *queued) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := slices.Index(e.queue, q)
	if at < 0 {
		return true
	}
	e.queue = slices.Delete(e.queue, at, at+1)
	return false
}

func (e *Engine) occupy() {
	e.running++
	e.maxLoad = max(e.maxLoad, e.running)
	e.dateLoad()
}

func (e *Engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.finished++
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.occupy()
		close(next.ready)
	}
	e.dateLoad()
}

const maxDatedLoads = 4096

func (e *Engine) dateLoad() {
	e.history = append(e.history, datedLoad{atMs: e.clock.Now(), load: e.loadNow()})
	if len(e.history) > maxDatedLoads {
		e.history = slices.Clone(e.history[maxDatedLoads/2:])
	}
}

func (e *Engine) loadNow() engine.Load {
	return engine.Load{
		InFlight: e.running, Queued: len(e.queue), Slots: e.speed.Slots,
		Models: slices.Clone(e.models), Leaving: e.leaving, AtMs: e.clock.Now(),
	}
}

// serveLoad answers with the load as it was one lag ago; whether the engine
// leaves is always fresh.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	shown := e.loadNow()
	shown.InFlight, shown.Queued = 0, 0
	for _, dated := range e.history {
		if dated.atMs <= e.clock.Now()-e.speed.ReportLagMs {
			shown.InFlight, shown.Queued = dated.load.InFlight, dated.load.Queued
		}
	}
	shown.AtMs -= e.speed.ReportLagMs
	e.mu.Unlock()
	jsonhttp.Write(w, shown)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from must be a whole number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	events := e.events.from(from, e.clock.Now()-e.speed.ReportLagMs)
	e.mu.Unlock()
	jsonhttp.Write(w, events)
}

// answerWhole waits for the whole answer and sends it as one.
func (e *Engine) answerWhole(ctx context.Context, w http.ResponseWriter, g *generation) {
	if !g.wait(ctx) {
		g.stop()
		return
	}
	finish := "stop"
	usage := g.usage
	data, err := json.Marshal(engine.Completion{
		ID: g.id, Object: "chat.completion", Model: g.model, Usage: &usage,
		Choices: []engine.Choice{{
			Message: &engine.Message{Role: "assistant", Content: g.text()}, FinishReason: &finish,
		}},
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	e.mu.Lock()
	cut := e.faults.CutShort
	e.mu.Unlock()
	if cut {
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		_, _ = w.Write(data[:len(data)/2])
		// What is still buffered would never be seen.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

func eventFrame(id int64, data string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, data)
}
