package gateway

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/routing"
	"dooryard.example/dooryard/internal/work"
	"dooryard.example/dooryard/pkg/config"
)

const (
	hardSeed    = 1
	hardBoxes   = 6
	hardEngines = 12
	hardSlots   = 32
	// hardTokensPerMs is how fast an engine prefills prompts. A long prompt takes 295 ms and a short one 21 ms.
	hardTokensPerMs = 40
	// hardEventTokens is the number of tokens of an event.
	hardEventTokens = 40

	// Requests are measured from hardWarmUpMs on, for hardRunMs.
	hardWarmUpMs clock.Millis = 4000
	hardRunMs    clock.Millis = 12_000
	// usualPace is the pace, in percent of the usual time, of an engine that takes its usual time.
	usualPace = 100
)

// Headers of the load tests.
const (
	headerTokenCounts = "X-Token-Counts"
	headerLengthHint  = "X-Length-Hint"
)

// withHardLoad enables admission and learned paces, which the load tests measure.
func withHardLoad(g *config.Gateway) { g.Admission.Enabled, g.Pace.Learn = true, true }

// decodeDemand decodes the size of a request as its caller states it.
func decodeDemand(header http.Header) work.Demand {
	prompt, output, _ := strings.Cut(header.Get(headerTokenCounts), ",")
	var d work.Demand
	d.PromptTokens, _ = strconv.Atoi(prompt)
	d.MaxOutputTokens, _ = strconv.Atoi(output)
	d.HintTokens, _ = strconv.Atoi(header.Get(headerLengthHint))
	return d
}

// hardKind is a kind of callers. No two of them share parts of a prompt.
type hardKind struct {
	name                                     string
	urgency, sharedTokens, ownTokens, events int
	eventGapMs, objectiveMs, limitMs         clock.Millis
	perSecond                                float64
}

func (k hardKind) promptTokens() int { return k.sharedTokens + k.ownTokens }

func (k hardKind) memoryTokens() int { return k.promptTokens() + k.events*hardEventTokens }

// shortKind and longKind are the callers of the first customer.
func shortKind(perSecond float64) hardKind {
	return hardKind{"short", 1, 699, 130, 4, 20, 500, 10_000, perSecond}
}

func longKind(perSecond float64) hardKind {
	return hardKind{"long", 5, 10_512, 1300, 6, 50, 2000, 12_000, perSecond}
}

// hardCase is a load.
type hardCase struct {
	name  string
	kinds []hardKind
	// load multiplies the rates of the kinds. It is a function of the time since the warm-up, which is negative before.
	load func(ms clock.Millis) float64
	// memoryTokens is the memory of an engine.
	memoryTokens int
	// firstEventMs passes between the end of the prefill and the first event. It does not delay other prompts.
	firstEventMs clock.Millis
	// pace returns how long work takes at an engine in percent of the usual.
	pace func(r *rand.Rand) func(engine int, ms clock.Millis) int
	// saysPace is set if engines report their pace.
	saysPace bool
	// minInTime are the least shares of callers that are served in time, by kind; "" stands for all kinds.
	minInTime map[string]float64
	// maxSlowShare limits the share of requests that are sent to slow engines from slowAfterMs on, or is 0.
	maxSlowShare float64
	slowAfterMs  clock.Millis
}

// hardLoad is a run of a case.
type hardLoad struct {
	hardCase
	fleet   *fleet
	boxes   []*running
	startMs clock.Millis
	paceOf  func(engine int, ms clock.Millis) int
	calling sync.WaitGroup

	mu sync.Mutex
	// ran holds the IDs of the requests that engines began to prefill.
	ran map[string]bool
	// results count callers by kind and result.
	results   map[string]map[string]int
	refusalMs []clock.Millis
	// refusedIDs are the IDs of the requests that were refused as not run.
	refusedIDs []string
	// failures describe the requests that failed.
	failures   []string
	sent, slow int
}

func (l *hardLoad) sinceStart() clock.Millis { return l.fleet.clock.Monotonic() - l.startMs }

// hardEngine is an engine that prefills prompts one after the other, and holds them in its memory until they end.
type hardEngine struct {
	load   *hardLoad
	number int
	// prefilling holds a value while a prompt is prefilled.
	prefilling chan struct{}

	mu                    sync.Mutex
	freeTokens, freeSlots int
	// notBegun counts the requests that have arrived and whose prefill has not ended.
	notBegun int
	// queue are the requests that wait for a slot and memory, and cached the parts that were prefilled; only the request
	// that is prefilled accesses cached.
	queue  []*hardWaiter
	cached map[string]bool
}

// hardWaiter is a request that waits until ready is closed.
type hardWaiter struct {
	tokens int
	ready  chan struct{}
}

// hold waits until there is a slot and memory. Later requests that fit go first.
func (e *hardEngine) hold(ctx context.Context, tokens int) (release func(), err error) {
	w := &hardWaiter{tokens: tokens, ready: make(chan struct{})}
	free := func() { e.freeTokens, e.freeSlots = e.freeTokens+tokens, e.freeSlots+1 }
	e.update(func() { e.queue, e.notBegun = append(e.queue, w), e.notBegun+1 })
	select {
	case <-w.ready:
		return func() { e.update(free) }, nil
	case <-ctx.Done():
		e.update(func() {
			e.notBegun--
			if i := slices.Index(e.queue, w); i >= 0 {
				e.queue = slices.Delete(e.queue, i, i+1)
				return
			}
			free()
		})
		return nil, ctx.Err()
	}
}

// update changes the engine and starts the requests that fit then.
func (e *hardEngine) update(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
	e.queue = slices.DeleteFunc(e.queue, func(w *hardWaiter) bool {
		if w.tokens > e.freeTokens || e.freeSlots == 0 {
			return false
		}
		e.freeTokens, e.freeSlots = e.freeTokens-w.tokens, e.freeSlots-1
		close(w.ready)
		return true
	})
}

// work takes some time, longer at a slow engine.
func (e *hardEngine) work(ctx context.Context, ms float64) error {
	pace := e.load.paceOf(e.number, e.load.sinceStart())
	return e.load.fleet.clock.Sleep(ctx, clock.Millis(ms*float64(pace)/usualPace+1))
}

// prefill prefills the parts that are not cached, after the prompts before it.
func (e *hardEngine) prefill(ctx context.Context, id, parts string) error {
	select {
	case e.prefilling <- struct{}{}:
		defer func() { <-e.prefilling }()
	case <-ctx.Done():
		return ctx.Err()
	}
	e.load.mu.Lock()
	e.load.ran[id] = true
	e.load.mu.Unlock()
	tokens := 0
	for part := range strings.SplitSeq(parts, ",") {
		name, count, _ := strings.Cut(part, ":")
		if n, _ := strconv.Atoi(count); !e.cached[name] {
			tokens += n
		}
		e.cached[name] = true
	}
	return e.work(ctx, float64(tokens)/hardTokensPerMs)
}

// ServeHTTP holds and prefills a prompt, and streams its events.
func (e *hardEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind := slices.IndexFunc(e.load.kinds, func(k hardKind) bool { return strings.HasPrefix(r.URL.Path, "/"+k.name) })
	if kind < 0 {
		return
	}
	k := e.load.kinds[kind]
	_, _ = io.Copy(io.Discard, r.Body)
	e.load.countSent(e.number)
	release, err := e.hold(r.Context(), k.memoryTokens())
	if err != nil {
		return
	}
	defer release()
	err = e.prefill(r.Context(), r.Header.Get("X-Id"), r.Header.Get("X-Prompt"))
	e.update(func() { e.notBegun-- })
	if err != nil || e.work(r.Context(), float64(e.load.firstEventMs)) != nil {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Load", e.report())
	for i := range k.events {
		if i > 0 && e.work(r.Context(), float64(k.eventGapMs)) != nil {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
		_ = http.NewResponseController(w).Flush()
	}
}

// report returns the load header: running, waiting, slots, and the pace if the engine says it.
func (e *hardEngine) report() string {
	e.mu.Lock()
	running, waiting := hardSlots-e.freeSlots+len(e.queue)-e.notBegun, e.notBegun
	e.mu.Unlock()
	header := fmt.Sprintf("%d,%d,%d", running, waiting, hardSlots)
	if e.load.saysPace {
		header += fmt.Sprint(",", e.load.paceOf(e.number, e.load.sinceStart()))
	}
	return header
}

// countSent counts a request that arrived at an engine.
func (l *hardLoad) countSent(engine int) {
	ms := l.sinceStart()
	l.mu.Lock()
	defer l.mu.Unlock()
	if ms < l.slowAfterMs || ms > hardRunMs {
		return
	}
	l.sent++
	if l.paceOf(engine, ms) > usualPace {
		l.slow++
	}
}

// newHardLoad starts the boxes and the engines of a case.
func newHardLoad(f *fleet, c hardCase) *hardLoad {
	l := &hardLoad{
		hardCase: c, fleet: f, paceOf: c.pace(rand.New(rand.NewPCG(hardSeed, hardEngines))),
		ran: map[string]bool{}, results: map[string]map[string]int{},
	}
	state := content(1)
	state.Routes = nil
	for _, k := range c.kinds {
		l.results[k.name] = map[string]int{}
		state.Routes = append(state.Routes, routing.Route{
			Name: k.name, Host: host, PathPrefix: "/" + k.name + "/", Kind: routing.Stream, Attempts: 1, Sticky: true,
			TimeoutMs: k.limitMs, ObjectiveMs: k.objectiveMs, MaxGapMs: 1000, Priority: k.urgency,
			Splits: []routing.Split{{Pool: "p", Weight: 1}},
		})
	}
	state.Pools[0].Engine = &routing.Engine{Slots: hardSlots, CacheTokens: c.memoryTokens}
	f.store.setState(f.t, state)
	for i := range hardEngines {
		e := &hardEngine{
			load: l, number: i, prefilling: make(chan struct{}, 1), freeTokens: c.memoryTokens, freeSlots: hardSlots,
			cached: map[string]bool{},
		}
		f.upstreamWithSlots(fmt.Sprint("u", i), fmt.Sprint("d", i%restartDomains), hardSlots, e.ServeHTTP)
	}
	l.boxes = f.boxesInDomains(hardBoxes, withHardLoad)
	advance(f.t, 2*time.Second)
	l.startMs = f.clock.Monotonic() + hardWarmUpMs
	return l
}

// run sends the requests of all kinds and waits until their callers are done. Each kind has a random source of its own,
// so that all runs send the same requests.
func (l *hardLoad) run() {
	for number, k := range l.kinds {
		random := rand.New(rand.NewPCG(hardSeed, uint64(number)))
		l.calling.Go(func() {
			for i := 0; l.sinceStart() < hardRunMs; i++ {
				boxes := []*running{l.boxes[random.IntN(hardBoxes)], l.boxes[random.IntN(hardBoxes)]}
				l.calling.Go(func() { l.call(k, fmt.Sprint(k.name, "-", i), boxes) })
				gap := random.ExpFloat64() / (k.perSecond * l.load(l.sinceStart()))
				advance(l.fleet.t, time.Duration(gap*float64(time.Second)))
			}
		})
	}
	l.calling.Wait()
}

// call sends the request of a caller, who retries once, at the second box, if a refusal has a Retry-After.
func (l *hardLoad) call(k hardKind, id string, boxes []*running) {
	startMs, measured := l.fleet.clock.Monotonic(), l.sinceStart() >= 0
	result := l.try(k, id, startMs, boxes[0])
	if result.retryAfterMs > 0 && startMs+k.limitMs > l.fleet.clock.Monotonic()+result.retryAfterMs {
		_ = l.fleet.clock.Sleep(l.fleet.t.Context(), result.retryAfterMs)
		result = l.try(k, id+"-again", startMs, boxes[1])
	}
	if !measured {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if result.failure != "" {
		l.failures = append(l.failures,
			fmt.Sprintf("%s at %d ms, after %d ms: %s", id, startMs-l.startMs, result.tookMs, result.failure))
	}
	l.results[k.name]["all"]++
	l.results[k.name][result.name]++
	if result.name == "in time" || result.name == "late" && result.tookMs <= k.objectiveMs {
		l.results[k.name]["in time from the last send"]++
	}
}

// hardResult is what a caller gets.
type hardResult struct {
	name string
	// tookMs is the time from the request to the first event.
	tookMs, retryAfterMs clock.Millis
	// failure is the reason of a failure.
	failure string
}

// try sends a request. Whether it is in time counts from when the caller first sent it.
func (l *hardLoad) try(k hardKind, id string, firstMs clock.Millis, b *running) hardResult {
	sentMs := l.fleet.clock.Monotonic()
	left := firstMs + k.limitMs - sentMs
	ctx, cancel := context.WithTimeout(l.fleet.t.Context(), left.Duration())
	defer cancel()
	response, err := b.send(ctx, call{
		method: http.MethodPost, path: "/" + k.name + "/", id: id, key: key, body: "x", header: http.Header{
			"X-Prompt":        {fmt.Sprintf("s%s:%d,own%s:%d", id, k.sharedTokens, id, k.ownTokens)},
			"X-Deadline":      {strconv.Itoa(int(left))},
			headerTokenCounts: {fmt.Sprint(k.promptTokens(), ",", 2*k.events*hardEventTokens)},
			headerLengthHint:  {strconv.Itoa(k.events * hardEventTokens)},
		},
	})
	if err != nil {
		return hardResult{name: "failed", failure: err.Error(), tookMs: l.fleet.clock.Monotonic() - sentMs}
	}
	defer func() { _ = response.Body.Close() }()
	first := make([]byte, 1)
	_, err = io.ReadFull(response.Body, first)
	now := l.fleet.clock.Monotonic()
	body, restErr := io.ReadAll(response.Body)
	result := hardResult{name: "in time", tookMs: now - sentMs}
	switch {
	case response.StatusCode == http.StatusServiceUnavailable:
		result.name = "refused"
		span, _ := time.ParseDuration(response.Header.Get("Retry-After"))
		result.retryAfterMs = clock.FromDuration(span)
		l.mu.Lock()
		l.refusalMs, l.refusedIDs = append(l.refusalMs, result.tookMs), append(l.refusedIDs, id)
		l.mu.Unlock()
	case cmp.Or(err, restErr) != nil || response.StatusCode != http.StatusOK || strings.Count(string(body), "data:") != k.events:
		result.name = "failed"
		result.failure = fmt.Sprintf("status %d, %v, %.150s", response.StatusCode, cmp.Or(err, restErr), body)
	case now-firstMs > k.objectiveMs:
		result.name = "late"
	}
	return result
}

// share returns the share of a kind's callers with a result. The kind "" stands for all.
func (l *hardLoad) share(kind, result string) float64 {
	all, count := 0, 0
	for name, results := range l.results {
		if kind == "" || kind == name {
			all, count = all+results["all"], count+results[result]
		}
	}
	return float64(count) / float64(max(1, all))
}

// check logs the figures and checks them against the aims.
func (l *hardLoad) check(t *testing.T) {
	t.Helper()
	for _, k := range l.kinds {
		t.Logf("%s: %d callers, in time %.3f (from the last send %.3f), late %.3f, refused %.3f, failed %.3f", k.name,
			l.results[k.name]["all"], l.share(k.name, "in time"), l.share(k.name, "in time from the last send"),
			l.share(k.name, "late"), l.share(k.name, "refused"), l.share(k.name, "failed"))
	}
	slices.Sort(l.refusalMs)
	if count := len(l.refusalMs); count > 0 {
		ninetieth := l.refusalMs[(count-1)*9/10]
		t.Logf("%d refusals after %d ms at least, %d ms in 90%%, %d ms at most", count, l.refusalMs[0], ninetieth, l.refusalMs[count-1])
		assert.LessOrEqual(t, ninetieth, clock.Millis(200), "refusals are early")
	}
	for kind, aim := range l.minInTime {
		t.Logf("in time %q: %.3f, aim %.2f", kind, l.share(kind, "in time"), aim)
		assert.GreaterOrEqual(t, l.share(kind, "in time"), aim, "in time %q", kind)
	}
	assert.Zero(t, l.share("", "failed"), "failures, such as %v", l.failures[:min(3, len(l.failures))])
	for _, id := range l.refusedIDs {
		assert.False(t, l.ran[id], "request %s was refused as not run", id)
	}
	if l.maxSlowShare > 0 {
		share := float64(l.slow) / float64(max(1, l.sent))
		t.Logf("%.3f of %d requests sent to slow engines", share, l.sent)
		assert.LessOrEqual(t, share, l.maxSlowShare, "share sent to slow engines")
	}
}
