package load

import (
	"fmt"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
)

// Bounds of the histograms, in milliseconds.
const (
	histogramLow    = 1
	histogramHigh   = 600_000
	histogramDigits = 3
)

// Tally counts results. It is safe for concurrent use.
type Tally struct {
	mu        sync.Mutex
	verdicts  map[Verdict]int
	outcomes  map[exchange.Outcome]int
	statuses  map[int]int
	first     *hdrhistogram.Histogram
	gap       *hdrhistogram.Histogram
	took      *hdrhistogram.Histogram
	prompt    int
	cached    int
	attempts  int
	upstreams map[string]int
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{
		verdicts: map[Verdict]int{}, outcomes: map[exchange.Outcome]int{}, statuses: map[int]int{},
		upstreams: map[string]int{},
		first:     newHistogram(), gap: newHistogram(), took: newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLow, histogramHigh, histogramDigits)
}

// Add counts one result.
func (t *Tally) Add(r Result) { t.AddLate(r, 0) }

// AddLate counts one result whose request was sent later than it was due, by a
// span that its caller would have waited too.
func (t *Tally) AddLate(r Result, lateMs clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.verdicts[r.Verdict]++
	t.outcomes[r.Outcome]++
	t.statuses[r.Status]++
	t.attempts += r.Attempts
	if r.Verdict != Whole {
		return
	}
	t.upstreams[r.Upstream]++
	t.prompt += r.PromptTokens
	t.cached += r.CachedTokens
	record(t.took, r.TookMs+lateMs)
	if r.FirstMs > 0 {
		record(t.first, r.FirstMs+lateMs)
		record(t.gap, r.MaxGapMs)
	}
}

// record counts a value; the histogram takes all that a deadline allows.
func record(h *hdrhistogram.Histogram, value clock.Millis) {
	_ = h.RecordValue(min(int64(value), histogramHigh))
}

// Quantiles are points of a distribution in milliseconds.
type Quantiles struct {
	P50 int64 `json:"p50_ms"`
	P95 int64 `json:"p95_ms"`
	P99 int64 `json:"p99_ms"`
	Max int64 `json:"max_ms"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	const half, most, nearlyAll = 50, 95, 99
	return Quantiles{
		P50: h.ValueAtQuantile(half), P95: h.ValueAtQuantile(most), P99: h.ValueAtQuantile(nearlyAll), Max: h.Max(),
	}
}

// Summary is a tally in figures.
type Summary struct {
	Requests  int                      `json:"requests"`
	Verdicts  map[Verdict]int          `json:"verdicts"`
	Outcomes  map[exchange.Outcome]int `json:"outcomes"`
	Statuses  map[int]int              `json:"statuses"`
	Upstreams map[string]int           `json:"upstreams"`
	Attempts  int                      `json:"attempts"`
	First     Quantiles                `json:"first_token"`
	Gap       Quantiles                `json:"longest_gap"`
	Took      Quantiles                `json:"took"`
	// Reuse is the part of prompt tokens found warm.
	Reuse float64 `json:"reuse"`
}

// Summary returns the figures so far.
func (t *Tally) Summary() Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Summary{
		Verdicts: copied(t.verdicts), Outcomes: copied(t.outcomes), Statuses: copied(t.statuses),
		Upstreams: copied(t.upstreams), Attempts: t.attempts,
		First: quantiles(t.first), Gap: quantiles(t.gap), Took: quantiles(t.took),
	}
	for _, count := range t.verdicts {
		s.Requests += count
	}
	if t.prompt > 0 {
		s.Reuse = float64(t.cached) / float64(t.prompt)
	}
	return s
}

func copied[K comparable](counts map[K]int) map[K]int {
	result := make(map[K]int, len(counts))
	for key, count := range counts {
		result[key] = count
	}
	return result
}

// Breach is a broken promise.
type Breach struct {
	Promise string `json:"promise"`
	Count   int    `json:"count"`
}

// String returns the breach as a line of text.
func (b Breach) String() string { return fmt.Sprintf("%s: %d", b.Promise, b.Count) }

// Breaches returns the promises that the answers themselves show as broken.
func (s Summary) Breaches() []Breach {
	breaches := []Breach{}
	for _, b := range []Breach{
		{"an incomplete answer looked whole", s.Verdicts[CutAsWhole]},
		{"an answer held parts of another request's", s.Verdicts[Crossed]},
		{"an answer held a part twice", s.Verdicts[Doubled]},
		{"an answer came after its deadline", s.Verdicts[Late]},
		{"a request ended without any answer", s.Verdicts[Broken]},
	} {
		if b.Count > 0 {
			breaches = append(breaches, b)
		}
	}
	return breaches
}
