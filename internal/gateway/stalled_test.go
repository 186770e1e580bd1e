package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
)

const (
	stalledBoxes     = 6
	stalledUpstreams = 12
	// minStalledShare is how often boxes whose paths stall must serve first tries, relative to other boxes.
	minStalledShare = 2.0 / 3
	// minSettledShare is the share that they must serve from stallSettleMs after the stall began.
	minSettledShare                   = 0.9
	stallSettleMs        clock.Millis = 4000
	stallRequestInterval              = 12 * time.Millisecond
	// rareRequestInterval leaves each box three requests a second.
	rareRequestInterval = 60 * time.Millisecond
)

// stallDay is a run in which the data between some boxes and some upstreams gets lost for a while, although connections
// open. All boxes get requests of each kind.
type stallDay struct {
	fleet *fleet
	boxes []*running
	// interval is the time between two requests.
	interval time.Duration

	mu     sync.Mutex
	random *rand.Rand
	calls  []stallCall
}

// stallCall is a caller's first try.
type stallCall struct {
	box     int
	sentMs  clock.Millis
	status  int
	tookMs  clock.Millis
	hasBody bool
}

func (c stallCall) served() bool { return c.status == http.StatusOK && c.hasBody }

func newStallDay(f *fleet, handler http.HandlerFunc) *stallDay {
	d := &stallDay{fleet: f, interval: stallRequestInterval, random: rand.New(rand.NewPCG(53, 1))}
	for i := range stalledUpstreams {
		f.upstreamIn(fmt.Sprint("u", i), fmt.Sprint("d", i%restartDomains), handler)
	}
	d.boxes = f.boxesInDomains(stalledBoxes)
	advance(f.t, 2*time.Second)
	return d
}

// sendFor sends requests to all boxes for some time and returns when it began.
func (d *stallDay) sendFor(span time.Duration) (startMs clock.Millis) {
	startMs = d.fleet.clock.Monotonic()
	var sending sync.WaitGroup
	defer sending.Wait()
	for i := range int(span / d.interval) {
		sending.Go(func() { d.send(i) })
		advance(d.fleet.t, d.interval)
	}
	return startMs
}

func (d *stallDay) send(number int) {
	d.mu.Lock()
	c := stallCall{box: d.random.IntN(len(d.boxes)), sentMs: d.fleet.clock.Monotonic()}
	path := routes()[d.random.IntN(len(routes()))]
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(d.fleet.t.Context(), 4*time.Second)
	defer cancel()
	response, err := d.boxes[c.box].send(ctx, call{
		method: http.MethodPost, path: path, id: fmt.Sprint(c.sentMs, "-", number), key: key, body: "x",
		header: http.Header{"X-Prompt": {fmt.Sprint("s", number%20, ":100,own:10")}},
	})
	if err == nil {
		c.status = response.StatusCode
		_, err = io.ReadAll(response.Body)
		c.hasBody = err == nil
		_ = response.Body.Close()
	}
	c.tookMs = d.fleet.clock.Monotonic() - c.sentMs
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = append(d.calls, c)
}

// share returns the share of first tries that some boxes served among those sent in a span.
func (d *stallDay) share(boxes func(box int) bool, from, to clock.Millis) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	sent, served := 0, 0
	for _, c := range d.calls {
		if !boxes(c.box) || c.sentMs < from || c.sentMs >= to {
			continue
		}
		sent++
		if c.served() {
			served++
		}
	}
	return float64(served) / float64(max(1, sent))
}

// TestStalledPaths guards against callers that wait at a box whose connections to upstreams open, but pass nothing on.
func TestStalledPaths(t *testing.T) {
	half := func(to string) bool { return slices.Contains([]string{"u0", "u3", "u5", "u6", "u8", "u10"}, to) }
	all := func(to string) bool { return strings.HasPrefix(to, "u") }
	for _, c := range []struct {
		name       string
		boxes      []int
		upstreams  func(id string) bool
		healthPath string
		interval   time.Duration
	}{
		{"of one box", []int{0}, all, "/health", stallRequestInterval},
		{"of two boxes", []int{0, 1}, all, "/health", stallRequestInterval},
		{"of a failure domain", []int{0, 3}, all, "/health", stallRequestInterval},
		{"of most boxes", []int{0, 1, 2, 3}, all, "/health", stallRequestInterval},
		{"of two boxes, few requests", []int{0, 1}, all, "/health", rareRequestInterval},
		{"of one box to half of the upstreams", []int{0}, half, "/health", stallRequestInterval},
		{"of one box, no health checks", []int{0}, all, "", stallRequestInterval},
	} {
		t.Run(c.name, func(t *testing.T) {
			runBesideOthers(t, func(f *fleet) {
				state := content(1)
				state.Pools[0].HealthPath = c.healthPath
				f.store.setState(t, state)
				d := newStallDay(f, respondAfter(30))
				d.interval = c.interval
				d.sendFor(4 * time.Second)
				names := map[string]bool{}
				for _, i := range c.boxes {
					names[d.boxes[i].settings.Box] = true
				}
				f.network.SetStall(func(from, to string) bool { return names[from] && c.upstreams(to) || names[to] && c.upstreams(from) })
				start := d.sendFor(12 * time.Second)
				f.network.SetStall(func(string, string) bool { return false })
				end := d.sendFor(4 * time.Second)
				stalled := func(box int) bool { return slices.Contains(c.boxes, box) }
				others := d.share(func(box int) bool { return !stalled(box) }, start, end)
				whole, settled := d.share(stalled, start, end), d.share(stalled, start+stallSettleMs, end)
				after := d.share(stalled, end+clock.Second, end+4*clock.Second)
				t.Logf("served meanwhile: %.3f at stalled boxes, %.3f from 4 s on, %.3f at others; %.3f after", whole, settled, others, after)
				assert.GreaterOrEqual(t, whole, minStalledShare*others)
				assert.GreaterOrEqual(t, settled, minSettledShare)
				assert.GreaterOrEqual(t, others, 0.95)
				assert.GreaterOrEqual(t, after, 0.99)
				for _, i := range c.boxes {
					assert.Empty(t, d.boxes[i].balance.Unreachable(), "box %d serves by itself again", i+1)
				}
			})
		})
	}
}

// TestStalledPathsInBackoff guards against boxes whose paths stall while all upstreams ask for backoff, so that no box is
// a witness, and that notice it long after the others are served again.
func TestStalledPathsInBackoff(t *testing.T) {
	const (
		backoffMs = 4 * clock.Second
		// noticeMs is how long after the backoff a stall is noticed, and checkedMs how long the boxes are then watched.
		noticeMs  = clock.Second
		checkedMs = 1500
	)
	for _, after := range []time.Duration{500 * time.Millisecond, 800 * time.Millisecond} {
		t.Run(fmt.Sprint(after, " into the backoff"), func(t *testing.T) {
			runBesideOthers(t, func(f *fleet) {
				state := content(1)
				state.Pools[0].HealthPath = "/health"
				f.store.setState(t, state)
				var asksBackoff atomic.Bool
				d := newStallDay(f, func(w http.ResponseWriter, r *http.Request) {
					if asksBackoff.Load() && r.URL.Path != state.Pools[0].HealthPath {
						w.Header().Set(headerBackoffMs, fmt.Sprint(backoffMs))
						respondNotRun(w, r)
						return
					}
					respondAfter(30)(w, r)
				})
				d.sendFor(4 * time.Second)
				names := map[string]bool{d.boxes[0].settings.Box: true, d.boxes[3].settings.Box: true}
				asksBackoff.Store(true)
				time.AfterFunc(time.Second, func() { asksBackoff.Store(false) })
				time.AfterFunc(after, func() {
					f.network.SetStall(func(from, to string) bool {
						return names[from] && strings.HasPrefix(to, "u") || names[to] && strings.HasPrefix(from, "u")
					})
				})
				from := d.sendFor(8*time.Second) + backoffMs + noticeMs
				stalled := func(box int) bool { return box == 0 || box == 3 }
				there := d.share(stalled, from, from+checkedMs)
				others := d.share(func(box int) bool { return !stalled(box) }, from, from+checkedMs)
				f.t.Logf("served after the backoff: %.3f at stalled boxes, %.3f at others", there, others)
				assert.GreaterOrEqual(f.t, there, minSettledShare*others)
			})
		})
	}
}

// TestSlowPools guards against taking a slow pool, or a stopped upstream, for a stalled path.
func TestSlowPools(t *testing.T) {
	always := func(ms clock.Millis) func(func(int) int) clock.Millis {
		return func(func(int) int) clock.Millis { return ms }
	}
	for _, c := range []struct {
		name string
		// takes returns how long a response takes, by the subtest's random numbers below n.
		takes func(random func(n int) int) clock.Millis
		// stopped is the upstream that accepts connections and answers nobody.
		stopped string
	}{
		{"all responses take 1.5 s", always(1500), ""},
		{"all responses take 3 s", always(3000), ""},
		{"responses take up to 3 s", func(random func(n int) int) clock.Millis { return clock.Millis(random(3000)) }, ""},
		{"one in five responses takes 3 s", func(random func(n int) int) clock.Millis {
			return map[bool]clock.Millis{true: 3000}[random(5) == 0]
		}, ""},
		{"one upstream is stopped", always(30), "u1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			runBesideOthers(t, func(f *fleet) {
				log := &logBuffer{}
				f.out = log
				random := seededRandom(53)
				d := newStallDay(f, func(w http.ResponseWriter, r *http.Request) { respondAfter(c.takes(random))(w, r) })
				f.network.SetStall(func(from, to string) bool { return c.stopped != "" && (from == c.stopped || to == c.stopped) })
				start := d.sendFor(12 * time.Second)
				share := d.share(func(int) bool { return true }, start, f.clock.Monotonic())
				t.Logf("%.3f served", share)
				assert.Empty(t, withMessage(log.read(t), "pool stalled"))
				assert.Empty(t, withMessage(log.read(t), "request forwarded"))
			})
		})
	}
}

// TestFewSlowResponses guards against taking a pool for stalled because the few attempts of a box in some time were slow.
func TestFewSlowResponses(t *testing.T) {
	for _, c := range []struct {
		name              string
		requests, stalled int
	}{
		{"three requests of a box are slow like one in six of the others", 3, 0},
		{"ten requests of a box get no response", 10, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			runBesideOthers(t, func(f *fleet) {
				log := &logBuffer{}
				f.out = log
				d := newStallDay(f, func(w http.ResponseWriter, r *http.Request) {
					respondAfter(map[bool]clock.Millis{true: 3000}[strings.HasPrefix(r.Header.Get("X-Id"), "slow")])(w, r)
				})
				var sending sync.WaitGroup
				send := func(b *running, id string) {
					sending.Go(func() {
						response, err := b.send(f.t.Context(), call{method: http.MethodPost, path: "/unsafe2/", id: id, key: key, body: "x"})
						if assert.NoError(f.t, err) {
							_ = response.Body.Close()
						}
					})
				}
				for i := range 100 {
					send(d.boxes[1+i%5], map[bool]string{true: "slow"}[i%6 == 0]+fmt.Sprint(i))
					if i >= 20 && i < 20+c.requests {
						send(d.boxes[0], fmt.Sprint("slow-", i))
					}
					advance(f.t, 20*time.Millisecond)
				}
				sending.Wait()
				assert.Len(f.t, withMessage(log.read(t), "pool stalled"), c.stalled)
			})
		})
	}
}

// TestAllPathsStalled guards against requests that go from box to box when all boxes have lost their paths.
func TestAllPathsStalled(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		log := &logBuffer{}
		f.out = log
		d := newStallDay(f, respondAfter(30))
		d.sendFor(2 * time.Second)
		f.network.SetStall(fromUpstreams("box-1", "box-2", "box-3", "box-4", "box-5", "box-6"))
		d.sendFor(8 * time.Second)
		f.network.SetStall(func(string, string) bool { return false })
		end := d.sendFor(4 * time.Second)
		after := d.share(func(int) bool { return true }, end+clock.Second, end+4*clock.Second)
		assert.GreaterOrEqual(t, after, 0.99)
		t.Logf("%d requests forwarded, %.3f served after", len(withMessage(log.read(t), "request forwarded")), after)
	})
}

// seededRandom returns a source of random numbers below n, for concurrent use.
func seededRandom(seed uint64) func(n int) int {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 2))
	return func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
}

// respondAfter responds after some milliseconds.
func respondAfter(ms clock.Millis) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		if clock.New().Sleep(r.Context(), ms) == nil {
			respondInKind(w, r)
		}
	}
}
