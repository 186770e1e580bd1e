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

// Callers were refused for eight seconds, in some seconds over a tenth of them, while most of the
// engines of their pool had room: five of twelve turned away whatever reached them and asked each
// box for seconds of rest, and the boxes went on sending there.
//
// Cause: a box read what an upstream says of itself in the store's entries only. An upstream that
// refuses holds nothing, so it looked the least loaded of all, and it stayed the first choice of
// its sessions until its rate of failures ejected it. Evidence: lines tell of six sends within two
// rests, each a first attempt to the session's first choice, with a load of 0, before any ejection;
// for one of the two rests no edit came between two of its sends. Lines of refused attempts tell
// since then what was asked for.

const (
	// deafMs is how long after its answer an upstream's word may not have been read, and
	// mostInRest how many requests may reach it in the rest of the span: what operators allow.
	deafMs     clock.Millis = 500
	mostInRest int          = 2
	// leaveBoundMs is how long after an upstream said that it leaves callers' requests may
	// still be sent to it.
	leaveBoundMs clock.Millis = 2000
)

// pair is a box at an upstream.
type pair struct{ box, upstream string }

// restSpan is a rest that an upstream asked a box for.
type restSpan struct {
	pair
	fromMs, untilMs clock.Millis
}

// askers are upstreams that say things of themselves, and what reached them.
type askers struct {
	fleet *fleet
	// word is what an upstream says to its next request: a rest and whether it leaves.
	word func(upstream string, now clock.Millis) (restMs clock.Millis, leaving bool)

	mu       sync.Mutex
	random   *rand.Rand
	arrivals map[pair][]clock.Millis
	rests    []restSpan
	leaves   map[pair]clock.Millis
}

func newAskers(f *fleet, seed uint64) *askers {
	return &askers{
		fleet: f, random: rand.New(rand.NewPCG(seed, seed)),
		arrivals: map[pair][]clock.Millis{}, leaves: map[pair]clock.Millis{},
	}
}

// between draws a span.
func (a *askers) between(least, most clock.Millis) clock.Millis {
	return least + clock.Millis(a.random.Int64N(int64(most-least)))
}

// workMs is how long the upstreams of these tests work on a request.
const workMs clock.Millis = 20

// upstreams starts so many.
func (a *askers) upstreams(count int) {
	for i := range count {
		id := "u" + strconv.Itoa(i)
		a.fleet.upstream(id, func(w http.ResponseWriter, r *http.Request) { a.serve(id, w, r) })
	}
}

func (a *askers) serve(id string, w http.ResponseWriter, r *http.Request) {
	now := a.fleet.clock.Steady()
	at := pair{box: r.Header.Get("X-Box"), upstream: id}
	a.mu.Lock()
	a.arrivals[at] = append(a.arrivals[at], now)
	restMs, leaving := a.word(id, now)
	if restMs > 0 {
		a.rests = append(a.rests, restSpan{pair: at, fromMs: now + deafMs, untilMs: now + restMs})
	}
	if _, known := a.leaves[at]; leaving && !known {
		a.leaves[at] = now
	}
	a.mu.Unlock()
	if leaving {
		w.Header().Set(headerLeaving, "1")
	}
	if restMs > 0 {
		w.Header().Set(headerRestMs, strconv.FormatInt(int64(restMs), 10))
		w.Header().Set("Retry-After", "upstream's")
		refuses(w, r)
		return
	}
	if a.fleet.clock.Sleep(r.Context(), workMs) == nil {
		_, _ = w.Write([]byte("done"))
	}
}

// disturbed returns the rests in which more requests came than may, of all.
func (a *askers) disturbed() (bad, all, worst int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.rests {
		count := 0
		for _, at := range a.arrivals[r.pair] {
			if at >= r.fromMs && at <= r.untilMs {
				count++
			}
		}
		worst = max(worst, count)
		if count > mostInRest {
			bad++
		}
	}
	return bad, len(a.rests), worst
}

// late counts the requests that came later to an upstream than a box may send them there after
// the upstream told it that it leaves.
func (a *askers) late() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for p, toldMs := range a.leaves {
		for _, at := range a.arrivals[p] {
			if at > toldMs+leaveBoundMs {
				count++
			}
		}
	}
	return count
}

// usedSince returns how many upstreams got a request at or after an instant.
func (a *askers) usedSince(from clock.Millis) int {
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

// outcome is what a caller saw of a request.
type outcome struct {
	path           string
	sentMs, tookMs clock.Millis
	status         int
	comeBackMs     clock.Millis
	// foreign is set when a refusal's Retry-After is not the box's own.
	foreign bool
}

// shape is a load on some boxes.
type shape struct {
	perSecond int
	span      time.Duration
	paths     []string
	sessions  int
	// at is what happens besides, by the second.
	at map[int]func()
}

// play sends a load, each request to the next box, and returns what came of it.
func (a *askers) play(boxes []*running, l shape) []outcome {
	f := a.fleet
	outcomes := make([]outcome, int(l.span.Seconds()*float64(l.perSecond)))
	var running sync.WaitGroup
	for i := range outcomes {
		if event := l.at[i/l.perSecond]; event != nil && i%l.perSecond == 0 {
			event()
		}
		running.Go(func() { outcomes[i] = a.one(boxes[i%len(boxes)], l, i) })
		pass(f.t, time.Second/time.Duration(l.perSecond))
	}
	running.Wait()
	return outcomes
}

func (a *askers) one(b *running, l shape, number int) outcome {
	f := a.fleet
	// Sevenths, so that each box gets each path.
	o := outcome{path: l.paths[(number+number/7)%len(l.paths)], sentMs: f.clock.Steady()}
	response, err := b.send(f.t.Context(), call{
		method: http.MethodGet, path: o.path, id: strconv.Itoa(number), key: key, header: http.Header{
			"X-Box": {b.settings.Box}, "X-Prompt": {fmt.Sprintf("a:900,s%d:30", number%l.sessions)},
		},
	})
	require.NoError(f.t, err)
	defer func() { _ = response.Body.Close() }()
	o.status, o.tookMs = response.StatusCode, f.clock.Steady()-o.sentMs
	told, err := time.ParseDuration(response.Header.Get("Retry-After"))
	o.comeBackMs, o.foreign = clock.Millis(told.Milliseconds()), o.status != http.StatusOK && err != nil
	return o
}

// served returns the share of requests that were served.
func served(outcomes []outcome) float64 {
	count := 0
	for _, o := range outcomes {
		if o.status == http.StatusOK {
			count++
		}
	}
	return float64(count) / float64(len(outcomes))
}

var restPaths = []string{"/sticky/", "/unsafe/", "/safe/", "/unsafe2/", "/sticky/", "/public/"}

// assertNoneDisturbed checks that no upstream got more requests in a rest than it may.
func (a *askers) assertNoneDisturbed() {
	bad, all, worst := a.disturbed()
	assert.Positive(a.fleet.t, all, "upstreams asked for rest")
	assert.Zero(a.fleet.t, bad, "of %d rests, most requests in one: %d", all, worst)
}

func TestRest(t *testing.T) {
	const beganMs, endedMs = 4000, 14_000
	// sheds says whether an upstream is one of the first few and its trouble is on.
	sheds := func(id string, now, startMs clock.Millis, most int) bool {
		number, _ := strconv.Atoi(id[1:])
		return number < most && now >= startMs+beganMs && now < startMs+endedMs
	}
	t.Run("upstreams of which half refuse most requests get no more than they may", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			a := newAskers(f, 1)
			startMs := f.clock.Steady()
			a.word = func(id string, now clock.Millis) (clock.Millis, bool) {
				if sheds(id, now, startMs, 6) && a.random.IntN(3) > 0 {
					return a.between(1000, 4000), false
				}
				return 0, false
			}
			a.upstreams(12)
			outcomes := a.play(f.boxes(6), shape{perSecond: 90, span: 22 * time.Second, paths: restPaths, sessions: 40})
			a.assertNoneDisturbed()
			assert.GreaterOrEqual(f.t, served(outcomes), 0.975)
			assert.Zero(f.t, countOutcomes(outcomes, func(o outcome) bool { return o.foreign }), "an upstream's span was passed on")
			assert.Equal(f.t, 12, a.usedSince(f.clock.Steady()-2000), "all take part again")
		})
	})
	t.Run("where all rest, callers are refused at once and told when one takes work", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			a := newAskers(f, 2)
			startMs := f.clock.Steady()
			a.word = func(id string, now clock.Millis) (clock.Millis, bool) {
				if sheds(id, now, startMs, 12) {
					return startMs + endedMs - now, false
				}
				return 0, false
			}
			a.upstreams(12)
			outcomes := a.play(f.boxes(6), shape{perSecond: 90, span: 17 * time.Second, paths: restPaths, sessions: 40})
			a.assertNoneDisturbed()
			assertRefusedWell(f.t, outcomes, startMs+beganMs+2000, startMs+endedMs)
			assert.Equal(f.t, 12, a.usedSince(startMs+endedMs), "all take part again")
		})
	})
	t.Run("the longest rest holds, beside edits, a lapsed entry and a suspension", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			a := newAskers(f, 3)
			startMs, asked := f.clock.Steady(), 0
			a.word = func(id string, now clock.Millis) (clock.Millis, bool) {
				if id != "u0" || now >= startMs+12_000 {
					return 0, false
				}
				asked++
				// Longer ones come first; two are under way at once.
				return []clock.Millis{8000, 1000}[min(asked, 2)-1], false
			}
			a.upstreams(2)
			b := f.box(1)
			entry := f.store.entry("u0")
			a.play([]*running{b}, shape{perSecond: 40, span: 8 * time.Second, paths: restPaths, sessions: 10, at: map[int]func(){
				3: func() {
					f.store.setState(f.t, content(2))
					f.store.remove("u0")
				},
				4: func() {
					f.store.put(entry)
					f.skipSteady(500)
				},
			}})
			a.assertNoneDisturbed()
		})
	})
}

// countOutcomes counts those that a test picks.
func countOutcomes(outcomes []outcome, picked func(o outcome) bool) int {
	count := 0
	for _, o := range outcomes {
		if picked(o) {
			count++
		}
	}
	return count
}

// assertRefusedWell checks that requests of a span in which nothing takes work were refused at
// once, and told to come back when something does.
func assertRefusedWell(t *testing.T, outcomes []outcome, fromMs, untilMs clock.Millis) {
	t.Helper()
	during := func(o outcome) bool { return o.sentMs >= fromMs && o.sentMs < untilMs-10 }
	count := func(picked func(o outcome) bool) int {
		return countOutcomes(outcomes, func(o outcome) bool { return during(o) && picked(o) })
	}
	assert.Positive(t, count(during))
	assert.Zero(t, count(func(o outcome) bool { return o.status != http.StatusServiceUnavailable }), "not refused")
	assert.Zero(t, count(func(o outcome) bool { return o.tookMs > 5 }), "refused later than at once")
	early := func(o outcome) bool { return o.sentMs+o.tookMs+o.comeBackMs < untilMs-5 }
	assert.Zero(t, count(early), "told to come back before anything takes work")
}

func TestLeavingInAnswers(t *testing.T) {
	leaving := func(t *testing.T, lapse bool) {
		t.Helper()
		bubble(t, func(f *fleet) {
			a := newAskers(f, 4)
			startMs := f.clock.Steady()
			a.word = func(id string, now clock.Millis) (clock.Millis, bool) {
				number, _ := strconv.Atoi(id[1:])
				return 0, number < 4 && now >= startMs+4000
			}
			a.upstreams(12)
			boxes := f.boxes(6)
			l := shape{perSecond: 90, span: 14 * time.Second, paths: restPaths, sessions: 40}
			if entry := f.store.entry("u0"); lapse {
				l.at = map[int]func(){7: func() { f.store.remove("u0") }, 8: func() { f.store.put(entry) }}
			}
			outcomes := a.play(boxes, l)
			assert.NotEmpty(f.t, a.leaves, "boxes were told")
			assert.Zero(f.t, a.late(), "sent after an upstream said that it leaves")
			assert.GreaterOrEqual(f.t, served(outcomes), 0.98)
		})
	}
	t.Run("nothing is sent there though the entries stay as they are", func(t *testing.T) { leaving(t, false) })
	t.Run("entries that lapse and come back change nothing", func(t *testing.T) { leaving(t, true) })
}
