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

// LatencyResult holds the latencies of requests through a router and directly to the engines, both measured in the same
// run, and the load at which they were measured.
type LatencyResult struct {
	// MaxRequestsPerSecond is the maximum throughput of the whole process in requests per second: the router, the
	// callers and the stand-in engines share its cores.
	MaxRequestsPerSecond float64 `json:"held_per_second"`
	PerSecond            float64 `json:"per_second"`
	Cores                int     `json:"cores"`
	DirectP50Us          int64   `json:"direct_p50_us"`
	DirectP99Us          int64   `json:"direct_p99_us"`
	RoutedP50Us          int64   `json:"routed_p50_us"`
	RoutedP99Us          int64   `json:"routed_p99_us"`
	AllocsPerRequest     float64 `json:"allocations_per_request_whole_process"`
	MaxStreamsPerSecond  float64 `json:"streams_held_per_second"`
}

// Parameters of the latency run.
const (
	latencyWorkers = 32
	throughputSpan = 3 * time.Second
	latencySpan    = 8 * time.Second
	loadFraction   = 0.5
	warmUpWorkers  = 200
	warmUpRequests = 20_000
	directEvery    = 8
	// generators is the number of goroutines that take turns in sending: a single one falls behind its schedule.
	generators       = 16
	latencyMaxUs     = 10_000_000
	streamedTokens   = 50
	latencyPromptLen = 64
)

// Latency measures the latency of small answers at the given rate per second. If the rate is 0, it uses half of the
// maximum throughput of the process.
func Latency(ctx context.Context, perSecond float64, target Target, engineURLs []string) (LatencyResult, error) {
	if target.IsSet() {
		l := &latencyRun{dest: destinationOf(target), engines: engineURLs}
		l.caller = Caller{Client: l.dest.client, Clock: clock.New()}
		return l.measure(ctx, perSecond), nil
	}
	performance := standin.DefaultPerformance()
	performance.TokenMs, performance.PrefillTokensPerMs, performance.Slots = 0, 1_000_000, 100_000
	fleet, err := localfleet.Start(ctx, localfleet.Config{
		Domains: []string{"north"}, BoxesPerDomain: 1, EnginesPerDomain: 4,
		Organisations: []localfleet.Organisation{{Name: "choir"}}, Performance: performance,
	})
	if err != nil {
		return LatencyResult{}, err
	}
	l := &latencyRun{dest: fleetDestination(fleet), caller: Caller{Client: fleet.Client(), Clock: clock.New()}}
	for _, e := range fleet.Engines() {
		l.engines = append(l.engines, "http://"+e.Address)
	}
	result := l.measure(ctx, perSecond)
	return result, fleet.Stop()
}

func (l *latencyRun) measure(ctx context.Context, perSecond float64) LatencyResult {
	result := LatencyResult{Cores: runtime.NumCPU()}
	result.MaxRequestsPerSecond, result.AllocsPerRequest = l.measureThroughput(ctx, false)
	result.MaxStreamsPerSecond, _ = l.measureThroughput(ctx, true)
	l.warmUp(ctx)
	result.PerSecond = perSecond
	if perSecond == 0 {
		result.PerSecond = loadFraction * result.MaxRequestsPerSecond
	}
	direct, routed := l.openLoop(ctx, result.PerSecond)
	const median, p99 = 50, 99
	result.DirectP50Us, result.DirectP99Us = direct.ValueAtQuantile(median), direct.ValueAtQuantile(p99)
	result.RoutedP50Us, result.RoutedP99Us = routed.ValueAtQuantile(median), routed.ValueAtQuantile(p99)
	return result
}

type latencyRun struct {
	dest         destination
	engines      []string
	caller       Caller
	requestCount atomic.Int64
}

func (l *latencyRun) chat(ctx context.Context, direct, stream bool) Result {
	n := l.requestCount.Add(1)
	url := l.dest.urls[n%int64(len(l.dest.urls))]
	if direct {
		url = l.engines[n%int64(len(l.engines))]
	}
	tokens := 1
	if stream {
		tokens = streamedTokens
	}
	return l.caller.Chat(ctx, ChatRequest{
		URL: url, Key: l.dest.key("choir"), Session: fmt.Sprint(n % 1000), Mark: "m",
		Headers: map[string]string{engine.HeaderRequestID: fmt.Sprint("direct-", n)},
		Chat: engine.Chat{
			Model: l.dest.model, MaxTokens: tokens, Stream: stream,
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

// measureThroughput measures the throughput of the router with a closed loop of workers, and the allocations per
// request.
func (l *latencyRun) measureThroughput(ctx context.Context, stream bool) (perSecond, allocations float64) {
	var done atomic.Int64
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	group := sync.WaitGroup{}
	end := time.Now().Add(throughputSpan)
	for range latencyWorkers {
		group.Go(func() {
			for time.Now().Before(end) {
				if l.chat(ctx, false, stream).Verdict == Complete {
					done.Add(1)
				}
			}
		})
	}
	group.Wait()
	runtime.ReadMemStats(&after)
	count := float64(max(1, done.Load()))
	return count / throughputSpan.Seconds(), float64(after.Mallocs-before.Mallocs) / count
}

// warmUp opens the connections that the open loop will use.
func (l *latencyRun) warmUp(ctx context.Context) {
	group := sync.WaitGroup{}
	for worker := range warmUpWorkers {
		group.Go(func() {
			for range warmUpRequests / warmUpWorkers {
				l.chat(ctx, worker%2 == 0, false)
			}
		})
	}
	group.Wait()
}

// openLoop sends requests at a constant rate, some of them directly to the engines. It measures each latency from the
// time at which the request was due.
func (l *latencyRun) openLoop(ctx context.Context, perSecond float64) (direct, routed *hdrhistogram.Histogram) {
	direct = hdrhistogram.New(1, latencyMaxUs, histogramDigits)
	routed = hdrhistogram.New(1, latencyMaxUs, histogramDigits)
	mu, group := sync.Mutex{}, sync.WaitGroup{}
	record := func(histogram *hdrhistogram.Histogram, due time.Time) {
		latency := min(time.Since(due).Microseconds(), latencyMaxUs)
		mu.Lock()
		defer mu.Unlock()
		_ = histogram.RecordValue(latency)
	}
	interval := time.Duration(float64(time.Second) / perSecond * generators)
	start := time.Now()
	for g := range generators {
		group.Go(func() {
			for i := 0; time.Since(start) < latencySpan; i++ {
				due := start.Add(time.Duration(i)*interval + interval*time.Duration(g)/generators)
				time.Sleep(time.Until(due))
				group.Go(func() {
					histogram := routed
					if i%directEvery == 0 {
						histogram = direct
					}
					if l.chat(ctx, histogram == direct, false).Verdict == Complete {
						record(histogram, due)
					}
				})
			}
		})
	}
	group.Wait()
	return direct, routed
}
