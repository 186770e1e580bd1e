package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
)

// The tests of this file guard against requests to upstreams that have asked the box for a backoff, that is to send no
// requests for some time. Five of twelve engines refused everything and asked each box for a backoff of several seconds,
// but the boxes continued to send there: callers were refused for eight seconds, in some seconds more than a tenth of
// them, although most engines of the pool had capacity.
//
// It happened because a box used only what upstreams report in the store, and ignored their responses. An upstream that
// refuses all requests holds none, so it looked the least loaded and stayed the first choice of its sessions until its
// failure rate ejected it. The log showed six sends within two backoffs, each a first attempt to the session's
// first choice, with a load of 0 and before any ejection; in one of them no change of the store came between two sends.
// Log lines of refused attempts include the requested backoff.

const (
	// reactionMs is how long after a response the box may still not have processed the upstream's signals in it.
	// maxSendsPerBackoff is how many requests may reach the upstream in the remaining backoff. Operators set these
	// bounds.
	reactionMs         clock.Millis = 500
	maxSendsPerBackoff int          = 2
	// drainBoundMs is how long after an upstream announced that it is draining requests may still be sent to it.
	drainBoundMs clock.Millis = 2000
)

// boxUpstream identifies an upstream as seen by one box.
type boxUpstream struct{ box, upstream string }

// backoffPeriod is a backoff that an upstream requested from a box.
type backoffPeriod struct {
	boxUpstream
	fromMs, untilMs clock.Millis
}

// signalingUpstreams are upstreams that send signals in their responses, and the requests that reached them.
type signalingUpstreams struct {
	fleet *fleet
	// signals returns an upstream's signals to its next request: a backoff, and whether it is draining.
	signals func(upstream string, now clock.Millis) (backoffMs clock.Millis, draining bool)

	mu              sync.Mutex
	random          *rand.Rand
	arrivals        map[boxUpstream][]clock.Millis
	backoffs        []backoffPeriod
	drainingSinceMs map[boxUpstream]clock.Millis
}

func newSignalingUpstreams(f *fleet, seed uint64) *signalingUpstreams {
	return &signalingUpstreams{
		fleet: f, random: rand.New(rand.NewPCG(seed, seed)),
		arrivals: map[boxUpstream][]clock.Millis{}, drainingSinceMs: map[boxUpstream]clock.Millis{},
	}
}

// randomSpan returns a random duration between two bounds.
func (a *signalingUpstreams) randomSpan(minMs, maxMs clock.Millis) clock.Millis {
	return minMs + clock.Millis(a.random.Int64N(int64(maxMs-minMs)))
}

// serviceTimeMs is how long the upstreams of these tests take to process a request.
const serviceTimeMs clock.Millis = 20

// upstreams starts a number of upstreams.
func (a *signalingUpstreams) upstreams(count int) {
	for i := range count {
		id := "u" + strconv.Itoa(i)
		a.fleet.upstream(id, func(w http.ResponseWriter, r *http.Request) { a.serve(id, w, r) })
	}
}

// serve records a request to an upstream and responds with the upstream's signals.
func (a *signalingUpstreams) serve(id string, w http.ResponseWriter, r *http.Request) {
	now := a.fleet.clock.Monotonic()
	at := boxUpstream{box: r.Header.Get("X-Box"), upstream: id}
	a.mu.Lock()
	a.arrivals[at] = append(a.arrivals[at], now)
	backoffMs, draining := a.signals(id, now)
	if backoffMs > 0 {
		a.backoffs = append(a.backoffs, backoffPeriod{boxUpstream: at, fromMs: now + reactionMs, untilMs: now + backoffMs})
	}
	if _, known := a.drainingSinceMs[at]; draining && !known {
		a.drainingSinceMs[at] = now
	}
	a.mu.Unlock()
	if draining {
		w.Header().Set(headerDraining, "1")
	}
	if backoffMs > 0 {
		w.Header().Set(headerBackoffMs, strconv.FormatInt(int64(backoffMs), 10))
		w.Header().Set("Retry-After", "upstream's")
		respondNotRun(w, r)
		return
	}
	if a.fleet.clock.Sleep(r.Context(), serviceTimeMs) == nil {
		_, _ = w.Write([]byte("done"))
	}
}

// violatedBackoffs returns the number of backoffs with too many requests, the number of all backoffs, and the
// maximum number of requests in one.
func (a *signalingUpstreams) violatedBackoffs() (bad, all, worst int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.backoffs {
		count := 0
		for _, at := range a.arrivals[r.boxUpstream] {
			if at >= r.fromMs && at <= r.untilMs {
				count++
			}
		}
		worst = max(worst, count)
		if count > maxSendsPerBackoff {
			bad++
		}
	}
	return bad, len(a.backoffs), worst
}

// lateRequests counts the requests that a box sent to an upstream later than allowed after the upstream announced to it
// that it is draining.
func (a *signalingUpstreams) lateRequests() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for p, announcedMs := range a.drainingSinceMs {
		for _, at := range a.arrivals[p] {
			if at > announcedMs+drainBoundMs {
				count++
			}
		}
	}
	return count
}

// usedSince returns the number of upstreams that received a request at or after an instant.
func (a *signalingUpstreams) usedSince(from clock.Millis) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	used := map[string]bool{}
	for p, list := range a.arrivals {
		if list[len(list)-1] >= from {
			used[p.upstream] = true
		}
	}
	return len(used)
}

// outcome is the result of a request as its caller saw it.
type outcome struct {
	path           string
	sentMs, tookMs clock.Millis
	status         int
	retryAfterMs   clock.Millis
	// upstreamRetryAfter is set if the Retry-After header of a refusal does not come from the box.
	upstreamRetryAfter bool
}

// loadProfile describes a load on some boxes.
type loadProfile struct {
	perSecond int
	span      time.Duration
	paths     []string
	sessions  int
	// events are functions to call at the start of a second.
	events map[int]func()
}

// run generates the load, sends each request to the next box, and returns the outcomes.
func (a *signalingUpstreams) run(boxes []*running, l loadProfile) []outcome {
	f := a.fleet
	outcomes := make([]outcome, int(l.span.Seconds()*float64(l.perSecond)))
	var running sync.WaitGroup
	for i := range outcomes {
		if event := l.events[i/l.perSecond]; event != nil && i%l.perSecond == 0 {
			event()
		}
		running.Go(func() { outcomes[i] = a.sendOne(boxes[i%len(boxes)], l, i) })
		advance(f.t, time.Second/time.Duration(l.perSecond))
	}
	running.Wait()
	return outcomes
}

func (a *signalingUpstreams) sendOne(b *running, l loadProfile, number int) outcome {
	f := a.fleet
	// The shift after every seventh request makes each box receive each path.
	o := outcome{path: l.paths[(number+number/7)%len(l.paths)], sentMs: f.clock.Monotonic()}
	response, err := b.send(f.t.Context(), call{
		method: http.MethodGet, path: o.path, id: strconv.Itoa(number), key: key, header: http.Header{
			"X-Box": {b.settings.Box}, "X-Prompt": {fmt.Sprintf("a:900,s%d:30", number%l.sessions)},
		},
	})
	require.NoError(f.t, err)
	defer func() { _ = response.Body.Close() }()
	o.status, o.tookMs = response.StatusCode, f.clock.Monotonic()-o.sentMs
	retryAfter, err := time.ParseDuration(response.Header.Get("Retry-After"))
	o.retryAfterMs, o.upstreamRetryAfter = clock.Millis(retryAfter.Milliseconds()), o.status != http.StatusOK && err != nil
	return o
}

// servedShare returns the share of requests that were served.
func servedShare(outcomes []outcome) float64 {
	count := 0
	for _, o := range outcomes {
		if o.status == http.StatusOK {
			count++
		}
	}
	return float64(count) / float64(len(outcomes))
}

var requestPaths = []string{"/sticky/", "/unsafe/", "/safe/", "/unsafe2/", "/sticky/", "/public/"}

// assertBackoffsRespected checks that no upstream received too many requests in a backoff.
func (a *signalingUpstreams) assertBackoffsRespected() {
	bad, all, worst := a.violatedBackoffs()
	assert.Positive(a.fleet.t, all, "upstreams asked for backoffs")
	assert.Zero(a.fleet.t, bad, "of %d backoffs, maximum number of requests in one: %d", all, worst)
}

func TestBackoff(t *testing.T) {
	const overloadStartMs, overloadEndMs = 4000, 14_000
	// refusing reports whether an upstream is one of the first count ones and is currently overloaded.
	refusing := func(id string, now, startMs clock.Millis, count int) bool {
		number, _ := strconv.Atoi(id[1:])
		return number < count && now >= startMs+overloadStartMs && now < startMs+overloadEndMs
	}
	t.Run("upstreams get no more requests in a backoff than allowed when half of them refuse most requests", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			a := newSignalingUpstreams(f, 1)
			startMs := f.clock.Monotonic()
			a.signals = func(id string, now clock.Millis) (clock.Millis, bool) {
				if refusing(id, now, startMs, 6) && a.random.IntN(3) > 0 {
					return a.randomSpan(1000, 4000), false
				}
				return 0, false
			}
			a.upstreams(12)
			outcomes := a.run(f.boxes(6), loadProfile{perSecond: 90, span: 22 * time.Second, paths: requestPaths, sessions: 40})
			a.assertBackoffsRespected()
			assert.GreaterOrEqual(f.t, servedShare(outcomes), 0.975)
			assert.Zero(f.t, countOutcomes(outcomes, func(o outcome) bool { return o.upstreamRetryAfter }), "an upstream's Retry-After was passed on")
			assert.Equal(f.t, 12, a.usedSince(f.clock.Monotonic()-2000), "all take part again")
		})
	})
	t.Run("if all upstreams are backing off, callers are refused immediately with the time of the first available one", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			a := newSignalingUpstreams(f, 2)
			startMs := f.clock.Monotonic()
			a.signals = func(id string, now clock.Millis) (clock.Millis, bool) {
				if refusing(id, now, startMs, 12) {
					return startMs + overloadEndMs - now, false
				}
				return 0, false
			}
			a.upstreams(12)
			outcomes := a.run(f.boxes(6), loadProfile{perSecond: 90, span: 17 * time.Second, paths: requestPaths, sessions: 40})
			a.assertBackoffsRespected()
			assertRefusedPromptly(f.t, outcomes, startMs+overloadStartMs+2000, startMs+overloadEndMs)
			assert.Equal(f.t, 12, a.usedSince(startMs+overloadEndMs), "all take part again")
		})
	})
	t.Run("a backoff that is asked for within a millisecond lasts to its end", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			const backoffMs, tick = 1000, 100 * time.Microsecond
			received := []time.Time{}
			f.upstream("u0", func(w http.ResponseWriter, r *http.Request) {
				received = append(received, time.Now())
				w.Header().Set(headerBackoffMs, strconv.Itoa(backoffMs))
				respondNotRun(w, r)
			})
			b := f.box(1)
			<-time.After(9 * tick)
			for range (backoffMs + 10) * time.Millisecond / tick {
				_, _, err := b.get("/safe/")
				require.NoError(f.t, err)
				<-time.After(tick)
			}
			require.Len(f.t, received, 2)
			assert.GreaterOrEqual(f.t, received[1].Sub(received[0]), backoffMs*time.Millisecond)
		})
	})
	t.Run("the longest backoff counts, despite edits, an expired entry and a suspension", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			a := newSignalingUpstreams(f, 3)
			startMs, asked := f.clock.Monotonic(), 0
			a.signals = func(id string, now clock.Millis) (clock.Millis, bool) {
				if id != "u0" || now >= startMs+12_000 {
					return 0, false
				}
				asked++
				// The longer one comes first, so that two backoffs overlap.
				return []clock.Millis{8000, 1000}[min(asked, 2)-1], false
			}
			a.upstreams(2)
			b := f.box(1)
			entry := f.store.entry("u0")
			a.run([]*running{b}, loadProfile{perSecond: 40, span: 8 * time.Second, paths: requestPaths, sessions: 10, events: map[int]func(){
				3: func() {
					f.store.setState(f.t, content(2))
					f.store.remove("u0")
				},
				4: func() {
					f.store.put(entry)
					f.advanceMonotonic(500)
				},
			}})
			a.assertBackoffsRespected()
		})
	})
}

// countOutcomes counts the outcomes that match a condition.
func countOutcomes(outcomes []outcome, match func(o outcome) bool) int {
	count := 0
	for _, o := range outcomes {
		if match(o) {
			count++
		}
	}
	return count
}

// assertRefusedPromptly checks that requests in an interval without available upstreams were refused immediately, with
// a Retry-After that lasts until one is available.
func assertRefusedPromptly(t *testing.T, outcomes []outcome, fromMs, untilMs clock.Millis) {
	t.Helper()
	during := func(o outcome) bool { return o.sentMs >= fromMs && o.sentMs < untilMs-10 }
	count := func(match func(o outcome) bool) int {
		return countOutcomes(outcomes, func(o outcome) bool { return during(o) && match(o) })
	}
	assert.Positive(t, count(during))
	assert.Zero(t, count(func(o outcome) bool { return o.status != http.StatusServiceUnavailable }), "not refused")
	assert.Zero(t, count(func(o outcome) bool { return o.tookMs > 5 }), "not refused immediately")
	early := func(o outcome) bool { return o.sentMs+o.tookMs+o.retryAfterMs < untilMs-5 }
	assert.Zero(t, count(early), "Retry-After ends before an upstream is available")
}

func TestDrainingInResponses(t *testing.T) {
	testDraining := func(t *testing.T, expire bool) {
		t.Helper()
		runWithFleet(t, func(f *fleet) {
			a := newSignalingUpstreams(f, 4)
			startMs := f.clock.Monotonic()
			a.signals = func(id string, now clock.Millis) (clock.Millis, bool) {
				number, _ := strconv.Atoi(id[1:])
				return 0, number < 4 && now >= startMs+4000
			}
			a.upstreams(12)
			boxes := f.boxes(6)
			l := loadProfile{perSecond: 90, span: 14 * time.Second, paths: requestPaths, sessions: 40}
			if entry := f.store.entry("u0"); expire {
				l.events = map[int]func(){7: func() { f.store.remove("u0") }, 8: func() { f.store.put(entry) }}
			}
			outcomes := a.run(boxes, l)
			assert.NotEmpty(f.t, a.drainingSinceMs, "upstreams announced draining to boxes")
			assert.Zero(f.t, a.lateRequests(), "sent too late after an upstream announced that it is draining")
			assert.GreaterOrEqual(f.t, servedShare(outcomes), 0.98)
		})
	}
	t.Run("draining is respected although the entries do not change", func(t *testing.T) { testDraining(t, false) })
	t.Run("draining is still respected after an entry expired and reappeared", func(t *testing.T) { testDraining(t, true) })
}
