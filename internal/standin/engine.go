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

// EnginePerformance is the timing and the capacity of an engine.
type EnginePerformance struct {
	// PrefillTokensPerMs is the number of uncached prompt tokens processed per millisecond.
	PrefillTokensPerMs int
	// TokenMs is the time between two tokens of an answer.
	TokenMs clock.Millis
	// Slots is the number of requests that run at once; others queue by priority.
	Slots int
	// CacheTokens is the size of the prefix cache in tokens.
	CacheTokens int
	// ReportLagMs is the age of the load and the cache events in reports.
	ReportLagMs clock.Millis
	// OrderMs is the time that an order takes to execute.
	OrderMs clock.Millis
}

// EngineFaults are the faults that an engine injects.
type EngineFaults struct {
	// FailFast answers every chat immediately with status 500.
	FailFast bool `json:"fail_fast"`
	// RefuseNotRun answers every chat with 503 and a header that says it did not run.
	RefuseNotRun bool `json:"refuse_not_run"`
	// CutAfter breaks the connection of each stream after this many events.
	CutAfter int `json:"cut_after"`
	// CutShort breaks the connection of answers that are not streamed before their
	// Content-Length is reached.
	CutShort bool `json:"cut_short"`
	// EndEarly ends each stream cleanly after this many events, without its final
	// event.
	EndEarly int `json:"end_early"`
	// Cross puts the id of another request into answers.
	Cross bool `json:"cross"`
	// Stall stops every stream after this many events without closing it.
	Stall int `json:"stall"`
	// ForgetStreams answers 404 to requests that resume a stream.
	ForgetStreams bool `json:"forget_streams"`
}

// Engine is a fake model engine.
type Engine struct {
	name         string
	performance  EnginePerformance
	checksTokens bool
	clock        clock.Clock
	tracer       trace.Tracer
	mux          *http.ServeMux
	onRun        func(requestID string)
	// Close cancels ctx and waits for background.
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
	// closeMu guards closed: no background function may start after Close.
	closeMu sync.Mutex
	closed  bool

	mu           sync.Mutex
	models       []string
	faults       EngineFaults
	draining     bool
	running      int
	queue        []*waiter
	cache        *prefixCache
	events       cacheEvents
	streams      map[string]*generation
	history      []loadSample
	runs         map[string]int
	orders       orderState
	finished     int
	maxRunning   int
	promptTokens int
	cachedTokens int
	trace        string
}

type waiter struct {
	priority int
	ready    chan struct{}
}

type loadSample struct {
	atMs clock.Millis
	load engine.Load
}

// EngineOption configures an Engine in NewEngine.
type EngineOption func(*Engine)

// WithEngineClock replaces the system clock.
func WithEngineClock(c clock.Clock) EngineOption { return func(e *Engine) { e.clock = c } }

// WithPerformance sets the engine's timing and capacity.
func WithPerformance(performance EnginePerformance) EngineOption {
	return func(e *Engine) { e.performance = performance }
}

// WithTokenChecks makes the engine reject orders with stale fencing tokens.
func WithTokenChecks() EngineOption { return func(e *Engine) { e.checksTokens = true } }

// WithEngineTracer sets the tracer that records the engine's spans.
func WithEngineTracer(tracer trace.Tracer) EngineOption {
	return func(e *Engine) { e.tracer = tracer }
}

// WithOnRun sets a function that is called with the id of each request that starts to run.
func WithOnRun(onRun func(requestID string)) EngineOption {
	return func(e *Engine) { e.onRun = onRun }
}

// DefaultPerformance returns a performance that is sufficient for tests and the demo.
func DefaultPerformance() EnginePerformance {
	return EnginePerformance{
		PrefillTokensPerMs: 20, TokenMs: 5, Slots: 64, CacheTokens: 64_000, ReportLagMs: clock.Second, OrderMs: 200,
	}
}

// NewEngine returns an engine that serves the given models.
func NewEngine(name string, models []string, options ...EngineOption) *Engine {
	e := &Engine{
		name: name, models: slices.Clone(models), performance: DefaultPerformance(), clock: clock.New(),
		tracer: noop.NewTracerProvider().Tracer(""), mux: http.NewServeMux(), onRun: func(string) {},
		streams: map[string]*generation{}, runs: map[string]int{},
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	for _, option := range options {
		option(e)
	}
	e.cache = newPrefixCache(e.performance.CacheTokens, func(prefix uint64, stored bool) {
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

// Close cancels all background functions and waits for them to return.
func (e *Engine) Close() {
	e.closeMu.Lock()
	e.closed = true
	e.closeMu.Unlock()
	e.cancel()
	e.background.Wait()
}

// spawn runs fn in the background unless the engine is closed.
func (e *Engine) spawn(fn func()) {
	e.closeMu.Lock()
	defer e.closeMu.Unlock()
	if !e.closed {
		e.background.Go(fn)
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

// LastTraceparent returns the Traceparent header of the most recent chat.
func (e *Engine) LastTraceparent() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.trace
}

// SetDraining sets whether the engine reports that it is draining.
func (e *Engine) SetDraining(draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = draining
}

// EngineCounts counts what an engine has done.
type EngineCounts struct {
	Finished     int
	Running      int
	MaxRunning   int
	PromptTokens int
	CachedTokens int
	// MaxRuns is the maximum number of runs of any one request id.
	MaxRuns int
}

// Counts returns the engine's counters.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := EngineCounts{
		Finished: e.finished, Running: e.running, MaxRunning: e.maxRunning,
		PromptTokens: e.promptTokens, CachedTokens: e.cachedTokens,
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
	if e.rejectChat(w, r, &chat) {
		return
	}
	g := e.startGeneration(r, &chat)
	if g == nil {
		return
	}
	if chat.Stream {
		e.sendStream(ctx, w, g, 0)
		return
	}
	e.sendCompletion(ctx, w, g)
}

// rejectChat answers a chat that must not run because of a fault or an unknown model. It
// reports whether it did so.
func (e *Engine) rejectChat(w http.ResponseWriter, r *http.Request, chat *engine.Chat) bool {
	e.mu.Lock()
	faults, known := e.faults, slices.Contains(e.models, chat.Model)
	e.mu.Unlock()
	e.setAnswerHeaders(w, r.Header.Get(engine.HeaderRequestID))
	switch {
	case faults.FailFast:
		http.Error(w, "internal error", http.StatusInternalServerError)
	case faults.RefuseNotRun:
		w.Header().Set(engine.HeaderNotExecuted, "true")
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
	case !known:
		w.Header().Set(engine.HeaderNotExecuted, "true")
		http.Error(w, "model not loaded", http.StatusServiceUnavailable)
	default:
		return false
	}
	return true
}

func (e *Engine) setAnswerHeaders(w http.ResponseWriter, requestID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Cross {
		requestID = "of-another-request"
	}
	w.Header().Set(engine.HeaderRequestID, requestID)
	w.Header().Set(engine.HeaderInFlight, strconv.Itoa(e.running))
	w.Header().Set(engine.HeaderQueued, strconv.Itoa(len(e.queue)))
}

// acquireSlot waits for a slot in order of priority. It reports whether the request got one
// before ctx ended.
func (e *Engine) acquireSlot(ctx context.Context, priority int) bool {
	e.mu.Lock()
	if e.running < e.performance.Slots {
		e.takeSlot()
		e.mu.Unlock()
		return true
	}
	q := &waiter{priority: priority, ready: make(chan struct{})}
	at := slices.IndexFunc(e.queue, func(other *waiter) bool { return other.priority < priority })
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

// leaveQueue removes q from the queue. It returns true if q was already given a slot.
func (e *Engine) leaveQueue(q *waiter) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := slices.Index(e.queue, q)
	if at < 0 {
		return true
	}
	e.queue = slices.Delete(e.queue, at, at+1)
	return false
}

func (e *Engine) takeSlot() {
	e.running++
	e.maxRunning = max(e.maxRunning, e.running)
	e.recordLoad()
}

func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.finished++
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.takeSlot()
		close(next.ready)
	}
	e.recordLoad()
}

const maxLoadSamples = 4096

func (e *Engine) recordLoad() {
	e.history = append(e.history, loadSample{atMs: e.clock.Now(), load: e.currentLoad()})
	if len(e.history) > maxLoadSamples {
		e.history = slices.Clone(e.history[maxLoadSamples/2:])
	}
}

func (e *Engine) currentLoad() engine.Load {
	return engine.Load{
		InFlight: e.running, Queued: len(e.queue), Slots: e.performance.Slots,
		Models: slices.Clone(e.models), Draining: e.draining, AtMs: e.clock.Now(),
	}
}

// serveLoad answers with the load as of ReportLagMs ago; the draining flag is always
// current.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	shown := e.currentLoad()
	shown.InFlight, shown.Queued = 0, 0
	for _, sample := range e.history {
		if sample.atMs <= e.clock.Now()-e.performance.ReportLagMs {
			shown.InFlight, shown.Queued = sample.load.InFlight, sample.load.Queued
		}
	}
	shown.AtMs -= e.performance.ReportLagMs
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
	events := e.events.from(from, e.clock.Now()-e.performance.ReportLagMs)
	e.mu.Unlock()
	jsonhttp.Write(w, events)
}

// sendCompletion waits until the answer is complete and sends it in one body.
func (e *Engine) sendCompletion(ctx context.Context, w http.ResponseWriter, g *generation) {
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
		// Without a flush the client would not receive the buffered half.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

func eventFrame(id int64, data string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, data)
}
