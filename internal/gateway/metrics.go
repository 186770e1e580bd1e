package gateway

import (
	"expvar"
	"net/http"
	"strings"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dooryard.example/dooryard/internal/clock"
)

// Metrics are the counters and histograms of one box, in expvar's form.
type Metrics struct {
	all   *expvar.Map
	dials *expvar.Int

	mu        sync.Mutex
	histogram map[string]*hdrhistogram.Histogram
}

// Bounds of the latency histograms, in milliseconds.
const (
	highestMs         = 60_000
	significantDigits = 1
)

// NewMetrics returns metrics at zero.
func NewMetrics() *Metrics {
	m := &Metrics{all: new(expvar.Map).Init(), dials: new(expvar.Int), histogram: map[string]*hdrhistogram.Histogram{}}
	m.all.Set("upstream_connections_opened", m.dials)
	m.all.Set("took_ms", expvar.Func(m.quantiles))
	return m
}

// Dialled counts a connection to an upstream.
func (m *Metrics) Dialled() { m.dials.Add(1) }

// InputIgnored counts an input that could not be used.
func (m *Metrics) InputIgnored() { m.all.Add("inputs_ignored", 1) }

// UpstreamEnded counts an upstream that was found to have ended under requests.
func (m *Metrics) UpstreamEnded() { m.all.Add("upstreams_ended", 1) }

// StoreRestored counts that the store came back from an older copy.
func (m *Metrics) StoreRestored() { m.all.Add("store_restored", 1) }

// RestHeard counts a rest that an upstream asked for.
func (m *Metrics) RestHeard() { m.all.Add("upstream_rests_heard", 1) }

// LeavingHeard counts an upstream that said in an answer that it leaves.
func (m *Metrics) LeavingHeard() { m.all.Add("upstream_leavings_heard", 1) }

// Reads counts tokens of shared parts of prompts that an engine likely reads, by reason.
func (m *Metrics) Reads(why string, tokens int) {
	m.all.Add("prompt_tokens_read_"+strings.ReplaceAll(why, " ", "_"), int64(tokens))
}

// End counts the end of a request.
func (m *Metrics) End(kind, end string, tookMs clock.Millis) {
	name := "requests_" + kind + "_" + end
	m.all.Add(name, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.histogram[name]
	if h == nil {
		h = hdrhistogram.New(1, highestMs, significantDigits)
		m.histogram[name] = h
	}
	// A value beyond the bounds is counted at the bound.
	_ = h.RecordValue(min(highestMs, max(1, int64(tookMs))))
}

// Publish adds a value that is computed when it is read.
func (m *Metrics) Publish(name string, value func() any) { m.all.Set(name, expvar.Func(value)) }

// quantiles returns the histograms by the name of their counter.
func (m *Metrics) quantiles() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]map[string]int64{}
	for name, h := range m.histogram {
		out[name] = map[string]int64{
			"p50": h.ValueAtQuantile(50), "p90": h.ValueAtQuantile(90), "p99": h.ValueAtQuantile(99), "max": h.Max(),
		}
	}
	return out
}

// ServeHTTP answers with all values as JSON.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	// A reader that is gone can't be told.
	_, _ = w.Write([]byte(m.all.String()))
}
