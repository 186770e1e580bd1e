package load

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/engine"
	"dooryard.example/dooryard/internal/localfleet"
	"dooryard.example/dooryard/internal/standin"
)

// LatencyResult is the latency of a router over going to the engine directly,
// both measured in one run, and the load it was measured at.
type LatencyResult struct {
	// HeldPerSecond is how many requests a second the whole process held: the
	// router, the callers and the stand-in engines share its cores.
	HeldPerSecond  float64 `json:"held_per_second"`
	PerSecond      float64 `json:"per_second"`
	Cores          int     `json:"cores"`
	DirectP50Us    int64   `json:"direct_p50_us"`
	DirectP99Us    int64   `json:"direct_p99_us"`
	RoutedP50Us    int64   `json:"routed_p50_us"`
	RoutedP99Us    int64   `json:"routed_p99_us"`
	AllocsPerHeld  float64 `json:"allocations_per_request_whole_process"`
	StreamsPerHeld float64 `json:"streams_held_per_second"`
}

// Shape of the latency run.
const (
	latencyWorkers = 32
	holdSpan       = 3 * time.Second
	latencySpan    = 8 * time.Second
	loadPart       = 0.5
	warmWorkers    = 200
	warmRequests   = 20_000
	directEvery    = 8
	// generators send in turn: one alone falls behind its own clock.
	generators       = 16
	latencyMaxUs     = 10_000_000
	streamedTokens   = 50
	latencyPromptLen = 64
)

// Latency measures the time to the first byte of small answers at a rate a
// second, or at half of what the process holds when it is 0.
func Latency(ctx context.Context, perSecond float64, target Target, engineURLs []string) (LatencyResult, error) {
	if target.Given() {
		l := &latencyRun{to: destinationOf(target), engines: engineURLs}
		l.caller = Caller{Client: l.to.client, Clock: clock.New()}
		return l.measure(ctx, perSecond), nil
	}
	speed := standin.DefaultSpeed()
	speed.TokenMs, speed.PrefillTokensPerMs, speed.Slots = 0, 1_000_000, 100_000
	fleet, err := localfleet.Start(ctx, localfleet.Plan{
		Domains: []string{"north"}, BoxesPerDomain: 1, EnginesPerDomain: 4,
		Organisations: []localfleet.Organisation{{Name: "choir"}}, Speed: speed,
	})
	if err != nil {
		return LatencyResult{}, err
	}
	l := &latencyRun{to: fleetDestination(fleet), caller: Caller{Client: fleet.Client(), Clock: clock.New()}}
	for _, e := range fleet.Engines() {
		l.engines = append(l.engines, "http://"+e.Address)
	}
	result := l.measure(ctx, perSecond)
	return result, fleet.Stop()
}

func (l *latencyRun) measure(ctx context.Context, perSecond float64) LatencyResult {
	result := LatencyResult{Cores: runtime.NumCPU()}
	result.HeldPerSecond, result.AllocsPerHeld = l.hold(ctx, false)
	result.StreamsPerHeld, _ = l.hold(ctx, true)
	l.warm(ctx)
	result.PerSecond = perSecond
	if perSecond == 0 {
		result.PerSecond = loadPart * result.HeldPerSecond
	}
	direct, routed := l.openLoop(ctx, result.PerSecond)
	const median, most = 50, 99
	result.DirectP50Us, result.DirectP99Us = direct.ValueAtQuantile(median), direct.ValueAtQuantile(most)
	result.RoutedP50Us, result.RoutedP99Us = routed.ValueAtQuantile(median), routed.ValueAtQuantile(most)
	return result
}

type latencyRun struct {
	to      destination
	engines []string
	caller  Caller
	number  atomic.Int64
}

func (l *latencyRun) chat(ctx context.Context, direct, stream bool) Result {
	n := l.number.Add(1)
	url := l.to.urls[n%int64(len(l.to.urls))]
	if direct {
		url = l.engines[n%int64(len(l.engines))]
	}
	tokens := 1
	if stream {
		tokens = streamedTokens
	}
	return l.caller.Chat(ctx, ChatRequest{
		URL: url, Key: l.to.key("choir"), Session: fmt.Sprint(n % 1000), Mark: "m",
		Headers: map[string]string{engine.HeaderRequestID: fmt.Sprint("direct-", n)},
		Chat: engine.Chat{
			Model: l.to.model, MaxTokens: tokens, Stream: stream,
			Messages: []engine.Message{{Role: "user", Content: "m " + fixedWords(latencyPromptLen)}},
		},
	})
}

func fixedWords(count int) string {
	text := make([]byte, 0, 2*count)
	for range count {
		text = append(text, "w "...)
	}
	return string(text)
}

// hold finds how many requests a second a closed loop gets through the router.
func (l *latencyRun) hold(ctx context.Context, stream bool) (perSecond, allocations float64) {
	var done atomic.Int64
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	group := sync.WaitGroup{}
	end := time.Now().Add(holdSpan)
	for range latencyWorkers {
		group.Go(func() {
			for time.Now().Before(end) {
				if l.chat(ctx, false, stream).Verdict == Whole {
					done.Add(1)
				}
			}
		})
	}
	group.Wait()
	runtime.ReadMemStats(&after)
	count := float64(max(1, done.Load()))
	return count / holdSpan.Seconds(), float64(after.Mallocs-before.Mallocs) / count
}

// warm opens as many connections as the open loop will use.
func (l *latencyRun) warm(ctx context.Context) {
	group := sync.WaitGroup{}
	for worker := range warmWorkers {
		group.Go(func() {
			for range warmRequests / warmWorkers {
				l.chat(ctx, worker%2 == 0, false)
			}
		})
	}
	group.Wait()
}

// openLoop sends requests at a rate, some of them directly to the engines, and
// counts each from the instant it was due.
func (l *latencyRun) openLoop(ctx context.Context, perSecond float64) (direct, routed *hdrhistogram.Histogram) {
	direct = hdrhistogram.New(1, latencyMaxUs, histogramDigits)
	routed = hdrhistogram.New(1, latencyMaxUs, histogramDigits)
	mu, group := sync.Mutex{}, sync.WaitGroup{}
	record := func(histogram *hdrhistogram.Histogram, due time.Time) {
		took := min(time.Since(due).Microseconds(), latencyMaxUs)
		mu.Lock()
		defer mu.Unlock()
		_ = histogram.RecordValue(took)
	}
	gap := time.Duration(float64(time.Second) / perSecond * generators)
	began := time.Now()
	for g := range generators {
		group.Go(func() {
			for i := 0; time.Since(began) < latencySpan; i++ {
				due := began.Add(time.Duration(i)*gap + gap*time.Duration(g)/generators)
				time.Sleep(time.Until(due))
				group.Go(func() {
					histogram := routed
					if i%directEvery == 0 {
						histogram = direct
					}
					if l.chat(ctx, histogram == direct, false).Verdict == Whole {
						record(histogram, due)
					}
				})
			}
		})
	}
	group.Wait()
	return direct, routed
}
