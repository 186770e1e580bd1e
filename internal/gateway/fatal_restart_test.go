package gateway

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/registry"
)

const (
	restartUpstreams                 = 12
	restartBoxes                     = 6
	restartDomains                   = 3
	restartSpan                      = 20 * time.Second
	ordinaryPerSecond                = 60
	ordinaryBodies                   = 40
	fatalInterval                    = 500 * time.Millisecond
	upstreamRestartMs   clock.Millis = 3000
	maxSendsAfterThird               = 3
	restartDefaultSeeds              = 3

	// maxInnocentCrashes is the number of upstreams that crash one after the other while they work on a request, from
	// which on nothing tells it from one that crashes them.
	maxInnocentCrashes = 3
)

// restarts is a run in which two fatal requests crash upstreams among ordinary ones. An upstream that crashed restarts
// later at the same address under the same ID, and its entry stays as it is until then.
type restarts struct {
	fleet *fleet
	// exitDelayMs is the longest time between the break of the fatal request's connection and the end of the process.
	exitDelayMs int

	mu     sync.Mutex
	random *rand.Rand
	// sendsMs holds, by fatal body, when upstreams received it. Each of these upstreams crashed.
	sendsMs map[string][]clock.Millis
	// crashes holds functions that crash the running upstreams, by number.
	crashes map[int]func()
	// running holds the ordinary requests that upstreams work on, by number. crashed counts, by request, the crashes of
	// those since its last response, and suspect holds those for which it has reached maxInnocentCrashes.
	running map[int]map[string]int
	crashed map[string]int
	suspect map[string]bool
}

func newRestarts(f *fleet, seed uint64, exitDelayMs int) *restarts {
	return &restarts{
		fleet: f, random: rand.New(rand.NewPCG(seed, 49)), exitDelayMs: exitDelayMs, sendsMs: map[string][]clock.Millis{},
		crashes: map[int]func(){}, running: map[int]map[string]int{}, crashed: map[string]int{}, suspect: map[string]bool{},
	}
}

func (r *restarts) intn(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// start starts an upstream at an address, whose port may be 0.
func (r *restarts) start(number int, address string) {
	f := r.fleet
	id := fmt.Sprint("u", number)
	listener, err := f.network.Host(id).Listen("tcp", address)
	require.NoError(f.t, err)
	server := &http.Server{} //nolint:gosec // No network that could stall it.
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		data, _ := io.ReadAll(request.Body)
		w.Header()["X-Id"] = request.Header["X-Id"]
		if !strings.HasPrefix(string(data), fatalBody) {
			end := r.begin(number, request.URL.Path+string(data))
			_ = f.clock.Sleep(request.Context(), clock.Millis(20+r.intn(200)))
			end()
			respondWith("done")(w, request)
			return
		}
		r.mu.Lock()
		r.sendsMs[string(data)] = append(r.sendsMs[string(data)], f.clock.Monotonic())
		r.mu.Unlock()
		r.crash(server, number, listener.Addr().String())
		panic(http.ErrAbortHandler)
	})
	r.mu.Lock()
	r.crashes[number] = func() { r.crash(server, number, listener.Addr().String()) }
	r.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	f.t.Cleanup(func() { _ = server.Close() })
	f.store.put(registry.Upstream{
		ID: id, Pool: "p", Address: listener.Addr().String(), FailureDomain: fmt.Sprint("d", number%restartDomains),
		Slots: 8, StartedMs: f.clock.Now(),
	})
}

// begin records that an upstream works on an ordinary request, until the returned function is called.
func (r *restarts) begin(number int, request string) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[number] == nil {
		r.running[number] = map[string]int{}
	}
	requests := r.running[number]
	requests[request]++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if requests[request] > 0 {
			requests[request]--
			r.crashed[request] = 0
		}
	}
}

// countCrashed counts a crash for the requests that an upstream works on. The mutex must be held.
func (r *restarts) countCrashed(number int) {
	for request, count := range r.running[number] {
		if count > 0 {
			r.crashed[request]++
			if r.crashed[request] >= maxInnocentCrashes {
				r.suspect[request] = true
			}
		}
	}
	clear(r.running[number])
	delete(r.running, number)
}

// suspects returns the ordinary requests that nothing told from fatal ones.
func (r *restarts) suspects() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.suspect))
}

// crash ends an upstream and restarts it later. It has no effect on one that is ending.
func (r *restarts) crash(server *http.Server, number int, address string) {
	r.mu.Lock()
	running := r.crashes[number] != nil
	delete(r.crashes, number)
	if running {
		r.countCrashed(number)
	}
	r.mu.Unlock()
	if !running {
		return
	}
	if r.exitDelayMs == 0 {
		_ = server.Close()
	}
	go func() {
		if r.exitDelayMs > 0 {
			_ = r.fleet.clock.Sleep(r.fleet.t.Context(), clock.Millis(r.intn(r.exitDelayMs)))
			_ = server.Close()
		}
		if r.fleet.clock.Sleep(r.fleet.t.Context(), upstreamRestartMs) == nil {
			r.start(number, address)
		}
	}()
}

// afterThird returns how often upstreams received a body after the third crash, and how long after it the last time.
func (r *restarts) afterThird(body string) (sends int, last clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	const crashes = 3
	list := r.sendsMs[body]
	if len(list) <= crashes {
		return 0, 0
	}
	return len(list) - crashes, list[len(list)-1] - list[crashes-1]
}

// repeat sends requests to random boxes until the span ends, each in the background.
func (r *restarts) repeat(boxes []*running, interval func() time.Duration, request func(number int) call) {
	t := r.fleet.t
	var sending sync.WaitGroup
	defer sending.Wait()
	end := r.fleet.clock.Monotonic() + clock.FromDuration(restartSpan)
	for number := 0; r.fleet.clock.Monotonic() < end; number++ {
		advance(t, interval())
		b := boxes[r.intn(len(boxes))]
		sending.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), timeoutMs*time.Millisecond)
			defer cancel()
			response, err := b.send(ctx, request(number))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		})
	}
}

// startFleet starts the upstreams and boxes.
func (r *restarts) startFleet() []*running {
	for number := range restartUpstreams {
		r.start(number, "127.0.0.1:0")
	}
	boxes := r.fleet.boxesInDomains(restartBoxes)
	advance(r.fleet.t, 3*time.Second)
	return boxes
}

// run sends the two fatal requests among ordinary ones, which repeat a number of bodies.
func (r *restarts) run(boxes []*running, fatalPaths []string) {
	var callers sync.WaitGroup
	ordinaryPaths := []string{"/safe/", "/unsafe/", "/stream/"}
	callers.Go(func() {
		r.repeat(boxes, func() time.Duration { return time.Duration(1+r.intn(2*1000/ordinaryPerSecond)) * time.Millisecond },
			func(number int) call {
				return call{
					method: http.MethodPost, path: ordinaryPaths[number%len(ordinaryPaths)], id: fmt.Sprint("o", number), key: key,
					body: fmt.Sprint("ordinary", number%ordinaryBodies),
				}
			})
	})
	for _, path := range fatalPaths {
		advance(r.fleet.t, time.Duration(r.intn(500))*time.Millisecond)
		callers.Go(func() {
			r.repeat(boxes, func() time.Duration { return fatalInterval }, func(number int) call {
				return call{method: http.MethodPost, path: path, id: fmt.Sprint(path, number), key: key, body: fatalBody + path}
			})
		})
	}
	callers.Wait()
}

// quarantined returns the number of fingerprints that any box holds back.
func quarantined(boxes []*running) int {
	all := map[string]bool{}
	for _, b := range boxes {
		for _, s := range b.quarantine.Quarantined() {
			all[s.Fingerprint.String()] = true
		}
	}
	return len(all)
}

// TestFatalRequestAtRestartingUpstreams guards against a fatal request that reaches upstreams long after three of them
// crashed, because the crash of one that ends late, or restarts at its address, is not recognised.
func TestFatalRequestAtRestartingUpstreams(t *testing.T) {
	fatalPaths := []string{"/safe/", "/stream/"}
	for name, exitDelayMs := range map[string]int{"that end at once": 0, "that end after their connections broke": 60} {
		for seed := range historyCount() * restartDefaultSeeds / histories {
			t.Run(fmt.Sprint(name, ", seed ", seed), func(t *testing.T) {
				runBesideOthers(t, func(f *fleet) {
					r := newRestarts(f, seed, exitDelayMs)
					boxes := r.startFleet()
					r.run(boxes, fatalPaths)
					for _, path := range fatalPaths {
						sends, last := r.afterThird(fatalBody + path)
						f.t.Logf("%s: %d sends after the third crash, the last %d ms after it", path, sends, last)
						assert.LessOrEqual(f.t, sends, maxSendsAfterThird, path)
						assert.LessOrEqual(f.t, last, detectionBoundMs, path)
					}
					assert.LessOrEqual(f.t, quarantined(boxes), len(fatalPaths), "ordinary requests are not quarantined")
				})
			})
		}
	}
}

// TestCrashesWithoutFatalRequest guards against holding back ordinary requests that ran on upstreams that crash for
// other reasons.
func TestCrashesWithoutFatalRequest(t *testing.T) {
	const crashInterval = 400 * time.Millisecond
	for seed := range historyCount() * restartDefaultSeeds / histories {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runBesideOthers(t, func(f *fleet) {
				r := newRestarts(f, seed, 0)
				boxes := r.startFleet()
				held, crashed := 0, 0
				var watching sync.WaitGroup
				watching.Go(func() {
					for range restartSpan / crashInterval {
						advance(f.t, crashInterval)
						held = max(held, quarantined(boxes))
						r.mu.Lock()
						crash := r.crashes[r.random.IntN(restartUpstreams)]
						r.mu.Unlock()
						if crash != nil {
							crashed++
							crash()
						}
					}
				})
				r.run(boxes, nil)
				watching.Wait()
				suspects := r.suspects()
				f.t.Logf("%d crashes, %d ordinary requests held back, %v in flight at %d crashes in a row", crashed, held, suspects,
					maxInnocentCrashes)
				assert.LessOrEqual(f.t, held, len(suspects), "ordinary requests held back")
			})
		})
	}
}
