package load

import (
	"fmt"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
)

// Range of the histograms in milliseconds, and their number of significant digits.
const (
	histogramLow    = 1
	histogramHigh   = 600_000
	histogramDigits = 3
)

// Tally collects statistics of results. It is safe for concurrent use.
type Tally struct {
	mu           sync.Mutex
	verdicts     map[Verdict]int
	outcomes     map[exchange.Outcome]int
	statuses     map[int]int
	firstToken   *hdrhistogram.Histogram
	maxGap       *hdrhistogram.Histogram
	duration     *hdrhistogram.Histogram
	promptTokens int
	cachedTokens int
	attempts     int
	upstreams    map[string]int
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{
		verdicts: map[Verdict]int{}, outcomes: map[exchange.Outcome]int{}, statuses: map[int]int{},
		upstreams:  map[string]int{},
		firstToken: newHistogram(), maxGap: newHistogram(), duration: newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLow, histogramHigh, histogramDigits)
}

// Add adds a result.
func (t *Tally) Add(r Result) { t.AddDelayed(r, 0) }

// AddDelayed adds a result whose request was sent late, by the given delay after its scheduled time. The delay is added
// to the latencies, since the caller would have waited for it too (coordinated omission).
func (t *Tally) AddDelayed(r Result, delayMs clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.verdicts[r.Verdict]++
	t.outcomes[r.Outcome]++
	t.statuses[r.Status]++
	t.attempts += r.Attempts
	if r.Verdict != Complete {
		return
	}
	t.upstreams[r.Upstream]++
	t.promptTokens += r.PromptTokens
	t.cachedTokens += r.CachedTokens
	record(t.duration, r.DurationMs+delayMs)
	if r.FirstTokenMs > 0 {
		record(t.firstToken, r.FirstTokenMs+delayMs)
		record(t.maxGap, r.MaxGapMs)
	}
}

// record adds a value to a histogram. Values above the histogram's range are recorded as its maximum, which exceeds
// every deadline.
func record(h *hdrhistogram.Histogram, value clock.Millis) {
	_ = h.RecordValue(min(int64(value), histogramHigh))
}

// Quantiles holds quantiles of a distribution in milliseconds.
type Quantiles struct {
	P50 int64 `json:"p50_ms"`
	P95 int64 `json:"p95_ms"`
	P99 int64 `json:"p99_ms"`
	Max int64 `json:"max_ms"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	const median, p95, p99 = 50, 95, 99
	return Quantiles{
		P50: h.ValueAtQuantile(median), P95: h.ValueAtQuantile(p95), P99: h.ValueAtQuantile(p99), Max: h.Max(),
	}
}

// Summary holds the statistics of a tally.
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
	// Reuse is the fraction of prompt tokens that were cached.
	Reuse float64 `json:"reuse"`
}

// Summary returns the current statistics.
func (t *Tally) Summary() Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Summary{
		Verdicts: copyCounts(t.verdicts), Outcomes: copyCounts(t.outcomes), Statuses: copyCounts(t.statuses),
		Upstreams: copyCounts(t.upstreams), Attempts: t.attempts,
		First: quantiles(t.firstToken), Gap: quantiles(t.maxGap), Took: quantiles(t.duration),
	}
	for _, count := range t.verdicts {
		s.Requests += count
	}
	if t.promptTokens > 0 {
		s.Reuse = float64(t.cachedTokens) / float64(t.promptTokens)
	}
	return s
}

func copyCounts[K comparable](counts map[K]int) map[K]int {
	result := make(map[K]int, len(counts))
	for key, count := range counts {
		result[key] = count
	}
	return result
}

// Violation is a violated guarantee and the number of its violations. The JSON names are part of the printed result and
// must not change.
type Violation struct {
	Description string `json:"promise"`
	Count       int    `json:"count"`
}

// String returns the violation as a line of text.
func (b Violation) String() string { return fmt.Sprintf("%s: %d", b.Description, b.Count) }

// Violations returns the violations that can be detected in the answers alone.
func (s Summary) Violations() []Violation {
	violations := []Violation{}
	for _, b := range []Violation{
		{"an incomplete answer looked complete", s.Verdicts[Truncated]},
		{"an answer contained parts of another request's answer", s.Verdicts[Mixed]},
		{"an answer contained a part twice", s.Verdicts[Duplicated]},
		{"an answer arrived after its deadline", s.Verdicts[Late]},
		{"a connection failed before the answer ended", s.Verdicts[ConnectionFailed]},
	} {
		if b.Count > 0 {
			violations = append(violations, b)
		}
	}
	return violations
}
