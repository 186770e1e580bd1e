package gateway

import (
	"expvar"
	"net/http"
	"strings"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/mesh"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/osthread"
	"dooryard.example/dooryard/internal/textmetrics"
)

// Metrics holds the counters and histograms of one box and serves them as expvar values.
type Metrics struct {
	all   *expvar.Map
	dials *expvar.Int
	// text returns the handler of scrapes. It takes no memory before the first one.
	text func() http.Handler

	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// Bounds of the latency histograms, in milliseconds.
const (
	maxRecordedMs     = 60_000
	significantDigits = 1
)

// NewMetrics returns metrics whose counters are all zero.
func NewMetrics() *Metrics {
	m := &Metrics{all: new(expvar.Map).Init(), dials: new(expvar.Int), histograms: map[string]*hdrhistogram.Histogram{}}
	m.text = sync.OnceValue(func() http.Handler { return textmetrics.Handler(m.all, admissionWaiting) })
	m.all.Set("upstream_connections_opened", m.dials)
	m.all.Set("took_ms", expvar.Func(m.quantiles))
	m.all.Set("threads", expvar.Func(func() any { return osthread.Count() }))
	return m
}

// ConnectionOpened counts an opened connection to an upstream.
func (m *Metrics) ConnectionOpened() { m.dials.Add(1) }

// InputIgnored counts an invalid input.
func (m *Metrics) InputIgnored() { m.all.Add("inputs_ignored", 1) }

// ServerError counts a message of net/http, such as one about a broken connection.
func (m *Metrics) ServerError() { m.all.Add("http_errors", 1) }

// HandlerPanicked counts a panic while a request was served.
func (m *Metrics) HandlerPanicked() { m.all.Add("handler_panics", 1) }

// PartPanicked counts a panic outside of the handlers of requests.
func (m *Metrics) PartPanicked() { m.all.Add("part_panics", 1) }

// ListenerFailed counts an error of a listener's socket.
func (m *Metrics) ListenerFailed() { m.all.Add("listener_errors", 1) }

// UpstreamCrashed counts an upstream that crashed while it ran requests.
func (m *Metrics) UpstreamCrashed() { m.all.Add("upstreams_ended", 1) }

// BoxRestarted counts a restart of another box whose last process did not end in order.
func (m *Metrics) BoxRestarted(ending mesh.Ending) {
	m.all.Add("boxes_restarted_"+metricName(ending), 1)
}

// LastProcessEnded counts an earlier process of this box, of whose end other boxes told.
func (m *Metrics) LastProcessEnded(ending mesh.Ending) {
	m.all.Add("last_process_ended_"+metricName(ending), 1)
}

func metricName(ending mesh.Ending) string { return strings.ReplaceAll(string(ending), " ", "_") }

// StoreRestored counts a restoration of the store from an older snapshot.
func (m *Metrics) StoreRestored() { m.all.Add("store_restored", 1) }

// BackoffRequested counts a backoff that an upstream asked for.
func (m *Metrics) BackoffRequested() { m.all.Add("upstream_rests_heard", 1) }

// DrainingAnnounced counts an upstream that announced in a response that it is draining.
func (m *Metrics) DrainingAnnounced() { m.all.Add("upstream_leavings_heard", 1) }

// RequestForwarded counts a request that was forwarded to another box.
func (m *Metrics) RequestForwarded() { m.all.Add("requests_forwarded", 1) }

// RequestFromBox counts a request that another box forwarded.
func (m *Metrics) RequestFromBox() { m.all.Add("requests_from_boxes", 1) }

// RequestsCut counts the requests that outlasted the grace period of a stop, also those that got a response then.
func (m *Metrics) RequestsCut(count int64) { m.all.Add("requests_cut_at_stop", count) }

// ConnectionCut counts a connection that was closed before all requests on it had a response.
func (m *Metrics) ConnectionCut(reason string) { m.all.Add("connections_cut_"+reason, 1) }

// BrittleRejection counts a rejection by an upstream that is brittle.
func (m *Metrics) BrittleRejection() { m.all.Add("brittle_rejections", 1) }

// PromptTokensPrefilled counts the tokens of shared prompt parts that an engine probably
// has to prefill, by reason.
func (m *Metrics) PromptTokensPrefilled(reason string, tokens int) {
	m.all.Add("prompt_tokens_read_"+strings.ReplaceAll(reason, " ", "_"), int64(tokens))
}

// EnginePicked counts a request to an engine by the source of its permit, and whether the engine is above the bound by
// this box's estimate of its load.
func (m *Metrics) EnginePicked(permit balance.Permit, load int) {
	if permit.Source == balance.NoPermit {
		return
	}
	m.all.Add("engine_permits_"+string(permit.Source), 1)
	if load+1 > permit.Bound {
		m.all.Add("engine_picks_above_bound", 1)
	}
}

// RequestEnded counts a finished request and records its duration.
func (m *Metrics) RequestEnded(kind, outcome string, tookMs clock.Millis) {
	name := "requests_" + kind + "_" + outcome
	m.all.Add(name, 1)
	m.recordTook(name, tookMs)
}

// ResponseEnded counts a response that was read to its end, by the check by which it was taken for complete.
func (m *Metrics) ResponseEnded(check opaque.EndCheck) { m.all.Add("responses_end_"+string(check), 1) }

// ResponseSent counts a response that was sent after its caller's deadline, and records by how much a last response was
// sent before or after it. A last response was made by the box since the time of the request was over.
func (m *Metrics) ResponseSent(leadMs clock.Millis, isLast bool) {
	if leadMs < 0 {
		m.all.Add("responses_after_deadline", 1)
	}
	switch {
	case !isLast:
	case leadMs < 0:
		m.recordTook("last_response_lag", -leadMs)
	default:
		m.recordTook("last_response_lead", leadMs)
	}
}

// AdmissionDecided counts a decision on the admission of a prompt by its verdict, and records how long the prompt
// waited, if it did.
func (m *Metrics) AdmissionDecided(verdict string, waitedMs clock.Millis) {
	name := "admission_" + verdict
	m.all.Add(name, 1)
	if waitedMs > 0 {
		m.all.Add("admission_waited", 1)
		m.recordTook(name+"_wait", waitedMs)
	}
}

// admissionWaiting is the name of a number that also falls.
const admissionWaiting = "admission_waiting"

// AdmissionWaiting changes the number of prompts of this box that wait at owners.
func (m *Metrics) AdmissionWaiting(change int64) { m.all.Add(admissionWaiting, change) }

// recordTook records a duration in a histogram.
func (m *Metrics) recordTook(name string, tookMs clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.histograms[name]
	if h == nil {
		h = hdrhistogram.New(1, maxRecordedMs, significantDigits)
		m.histograms[name] = h
	}
	// Values beyond the bounds are recorded at the bound.
	_ = h.RecordValue(min(maxRecordedMs, max(1, int64(tookMs))))
}

// Publish adds a value that is computed at each read.
func (m *Metrics) Publish(name string, value func() any) { m.all.Set(name, expvar.Func(value)) }

// quantiles returns the quantiles of all histograms, by the name of their counter.
func (m *Metrics) quantiles() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]map[string]int64{}
	for name, h := range m.histograms {
		out[name] = map[string]int64{
			"p50": h.ValueAtQuantile(50), "p90": h.ValueAtQuantile(90), "p99": h.ValueAtQuantile(99), "max": h.Max(),
		}
	}
	return out
}

// ServeHTTP responds with all values as JSON, or as text of Prometheus to clients that ask for it.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if textmetrics.Requested(r) {
		m.text().ServeHTTP(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	// A write error means that the client has disconnected.
	_, _ = w.Write([]byte(m.all.String()))
}
