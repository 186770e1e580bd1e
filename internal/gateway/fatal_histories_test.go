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

// histories is how many seeds CI plays; DOORYARD_HISTORIES asks for more.
const histories = 24

func historyCount() uint64 {
	if more, err := strconv.ParseUint(os.Getenv("DOORYARD_HISTORIES"), 10, 64); err == nil {
		return more
	}
	return histories
}

// history is a run of several fatal requests among others, with upstreams that end loudly or
// silently and start again under their ids or others, datagrams that are lost, callers that
// leave, and boxes that are stopped and followed by others.
type history struct {
	fleet  *fleet
	random *rand.Rand

	mu     sync.Mutex
	dark   map[string]bool
	starts int
	// endsMs and sendsMs are when upstreams ended under each fatal body, and got it.
	endsMs, sendsMs map[string][]clock.Millis
}

func (h *history) draw(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(n)
}

func (h *history) start(slot int) {
	f := h.fleet
	h.mu.Lock()
	h.starts++
	host, id := fmt.Sprint("host", h.starts), fmt.Sprint("u", slot)
	if h.random.IntN(2) == 0 {
		id = fmt.Sprint("u", slot, "-", h.starts)
	}
	h.mu.Unlock()
	listener, err := f.network.Host(host).Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	server := &http.Server{} //nolint:gosec // No network that could stall it.
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		w.Header()["X-Id"] = r.Header["X-Id"]
		if !strings.HasPrefix(string(data), fatalBody) {
			answer("done")(w, r)
			return
		}
		h.end(string(data), server, host, id, slot)
		<-f.t.Context().Done()
	})
	go func() { _ = server.Serve(listener) }()
	f.t.Cleanup(func() { _ = server.Close() })
	f.store.put(registry.Upstream{
		ID: id, Pool: "p", Address: listener.Addr().String(), FailureDomain: "d", Slots: 8, StartedMs: f.clock.Now(),
	})
}

// end ends an upstream under a body, and starts it again later.
func (h *history) end(body string, server *http.Server, host, id string, slot int) {
	f := h.fleet
	silent := h.draw(4) == 0
	h.mu.Lock()
	first := !h.dark[host]
	h.dark[host] = h.dark[host] || silent
	now := f.clock.Steady()
	h.sendsMs[body] = append(h.sendsMs[body], now)
	if first {
		h.endsMs[body] = append(h.endsMs[body], now)
	}
	h.mu.Unlock()
	if !first {
		return
	}
	go func() {
		if !silent {
			_ = server.Close()
		}
		if f.clock.Sleep(f.t.Context(), clock.Millis(500+h.draw(3000))) == nil {
			f.store.remove(id)
			h.start(slot)
		}
	}()
}

// late is how often upstreams got a body later than boxes may need to know of it.
func (h *history) late(body string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	const third = 2
	if len(h.endsMs[body]) <= third {
		return 0
	}
	count := 0
	for _, at := range h.sendsMs[body] {
		// A silent end shows when the entry disappears, up to 3.5 s later, and each of the three
		// may be one.
		if at > h.endsMs[body][third]+knownMs+4*clock.Second {
			count++
		}
	}
	return count
}

func TestFatalHistories(t *testing.T) {
	for seed := range historyCount() {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			bubble(t, func(f *fleet) { playHistory(f, seed) })
		})
	}
}

func playHistory(f *fleet, seed uint64) {
	h := &history{
		fleet: f, random: rand.New(rand.NewPCG(seed, 24)), dark: map[string]bool{},
		endsMs: map[string][]clock.Millis{}, sendsMs: map[string][]clock.Millis{},
	}
	f.network.SetSilent(func(from, to string) bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.dark[from] || h.dark[to]
	})
	f.network.SetLoss(func() bool { return h.draw(5) == 0 })
	for slot := range 10 {
		h.start(slot)
	}
	boxes := f.boxes(4)
	pass(f.t, time.Second)
	next, served, asked := 5, 0, 0
	paths := []string{"/stream/", "/resumable/", "/safe/", "/unsafe/", "/unsafe2/"}
	for i := range 120 {
		// Each fatal request comes on a path of its own.
		body, path := fatalBody+fmt.Sprint(i%2), paths[(int(seed)+i%2)%len(paths)]
		if i%3 == 0 {
			body, path = fmt.Sprint("harmless", i), paths[i%len(paths)]
		}
		status := h.send(boxes[h.draw(len(boxes))], path, body, i)
		if i%3 == 0 {
			asked++
			if status == http.StatusOK {
				served++
			}
		}
		pass(f.t, time.Duration(50+h.draw(400))*time.Millisecond)
		if i%30 == 29 {
			at := h.draw(len(boxes))
			boxes[at].stop()
			boxes[at] = f.box(next)
			next++
		}
	}
	for _, body := range []string{fatalBody + "0", fatalBody + "1"} {
		f.t.Logf("%q: %d ends, %d sends, %d of them late", body, len(h.endsMs[body]), len(h.sendsMs[body]), h.late(body))
		assert.LessOrEqual(f.t, h.late(body), mostAfter, "sends too late of %d, %d ends", len(h.sendsMs[body]), len(h.endsMs[body]))
	}
	assert.GreaterOrEqual(f.t, served, asked-asked/10, "other requests served of %d", asked)
}

// send sends a body, and returns the status, or 0 when the caller left or the answer was cut.
func (h *history) send(b *running, path, body string, number int) int {
	patience := 6 * time.Second
	if h.draw(4) == 0 {
		patience = time.Duration(100+h.draw(2000)) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(h.fleet.t.Context(), patience)
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
