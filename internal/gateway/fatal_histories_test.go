package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/registry"
)

// histories is the default number of seeds to run. DOORYARD_HISTORIES overrides it.
const histories = 24

func historyCount() uint64 {
	if more, err := strconv.ParseUint(os.Getenv("DOORYARD_HISTORIES"), 10, 64); err == nil {
		return more
	}
	return histories
}

// history is a random run with several fatal requests among harmless ones. Upstreams crash with or without closing
// their connections and restart under the same or another ID, datagrams are lost, callers disconnect, and boxes are
// stopped and replaced.
type history struct {
	fleet  *fleet
	random *rand.Rand

	mu         sync.Mutex
	poweredOff map[string]bool
	startCount int
	// crashesMs and sendsMs hold, by fatal body, when upstreams crashed and when they received it.
	crashesMs, sendsMs map[string][]clock.Millis
}

// intn returns a random number below n.
func (h *history) intn(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(n)
}

// start starts an upstream in a slot.
func (h *history) start(slot int) {
	f := h.fleet
	h.mu.Lock()
	h.startCount++
	host, id := fmt.Sprint("host", h.startCount), fmt.Sprint("u", slot)
	if h.random.IntN(2) == 0 {
		id = fmt.Sprint("u", slot, "-", h.startCount)
	}
	h.mu.Unlock()
	listener, err := f.network.Host(host).Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	server := &http.Server{} //nolint:gosec // No network that could stall it.
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		w.Header()["X-Id"] = r.Header["X-Id"]
		if !strings.HasPrefix(string(data), fatalBody) {
			respondWith("done")(w, r)
			return
		}
		h.crash(string(data), server, host, id, slot)
		<-f.t.Context().Done()
	})
	go func() { _ = server.Serve(listener) }()
	f.t.Cleanup(func() { _ = server.Close() })
	f.store.put(registry.Upstream{
		ID: id, Pool: "p", Address: listener.Addr().String(), FailureDomain: "d", Slots: 8, StartedMs: f.clock.Now(),
	})
}

// crash crashes an upstream that received a fatal body, and restarts it later.
func (h *history) crash(body string, server *http.Server, host, id string, slot int) {
	f := h.fleet
	silent := h.intn(4) == 0
	h.mu.Lock()
	first := !h.poweredOff[host]
	h.poweredOff[host] = h.poweredOff[host] || silent
	now := f.clock.Monotonic()
	h.sendsMs[body] = append(h.sendsMs[body], now)
	if first {
		h.crashesMs[body] = append(h.crashesMs[body], now)
	}
	h.mu.Unlock()
	if !first {
		return
	}
	go func() {
		if !silent {
			_ = server.Close()
		}
		if f.clock.Sleep(f.t.Context(), clock.Millis(500+h.intn(3000))) == nil {
			f.store.remove(id)
			h.start(slot)
		}
	}()
}

// lateSends returns how often upstreams received a body after the boxes should have recognised it as fatal.
func (h *history) lateSends(body string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	const third = 2
	if len(h.crashesMs[body]) <= third {
		return 0
	}
	count := 0
	for _, at := range h.sendsMs[body] {
		// A crash that closes no connection is detected when the upstream's entry disappears, up to 3.5 s later. Each
		// of the three crashes may be of that kind.
		if at > h.crashesMs[body][third]+detectionBoundMs+4*clock.Second {
			count++
		}
	}
	return count
}

func TestFatalHistories(t *testing.T) {
	for seed := range historyCount() {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runBesideOthers(t, func(f *fleet) { runHistory(f, seed) })
		})
	}
}

func runHistory(f *fleet, seed uint64) {
	h := &history{
		fleet: f, random: rand.New(rand.NewPCG(seed, 24)), poweredOff: map[string]bool{},
		crashesMs: map[string][]clock.Millis{}, sendsMs: map[string][]clock.Millis{},
	}
	f.network.SetBlackhole(func(from, to string) bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.poweredOff[from] || h.poweredOff[to]
	})
	f.network.SetPacketLoss(func() bool { return h.intn(5) == 0 })
	for slot := range 10 {
		h.start(slot)
	}
	boxes := f.boxes(4)
	advance(f.t, time.Second)
	next, served, asked := 5, 0, 0
	paths := []string{"/stream/", "/resumable/", "/safe/", "/unsafe/", "/unsafe2/"}
	for i := range 120 {
		// Each fatal request has its own path.
		body, path := fatalBody+fmt.Sprint(i%2), paths[(int(seed)+i%2)%len(paths)]
		if i%3 == 0 {
			body, path = fmt.Sprint("harmless", i), paths[i%len(paths)]
		}
		status := h.send(boxes[h.intn(len(boxes))], path, body, i)
		if i%3 == 0 {
			asked++
			if status == http.StatusOK {
				served++
			}
		}
		advance(f.t, time.Duration(50+h.intn(400))*time.Millisecond)
		if i%30 == 29 {
			at := h.intn(len(boxes))
			boxes[at].stop()
			boxes[at] = f.box(next)
			next++
		}
	}
	for _, body := range []string{fatalBody + "0", fatalBody + "1"} {
		f.t.Logf("%q: %d crashes, %d sends, %d of them late", body, len(h.crashesMs[body]), len(h.sendsMs[body]), h.lateSends(body))
		assert.LessOrEqual(f.t, h.lateSends(body), maxLateSends, "late sends of %d, %d crashes", len(h.sendsMs[body]), len(h.crashesMs[body]))
	}
	assert.GreaterOrEqual(f.t, served, asked-asked/10, "other requests served of %d", asked)
}

// send sends a body and returns the status, or 0 if the caller disconnected or the response was incomplete.
func (h *history) send(b *running, path, body string, number int) int {
	clientTimeout := 6 * time.Second
	if h.intn(4) == 0 {
		clientTimeout = time.Duration(100+h.intn(2000)) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(h.fleet.t.Context(), clientTimeout)
	defer cancel()
	response, err := b.send(ctx, call{method: http.MethodPost, path: path, id: fmt.Sprint(number), key: key, body: body})
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
