package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
)

const (
	skewedBoxes     = 12
	skewedUpstreams = 12
	skewedSlots     = 8
	// skewedQueue is how many requests an upstream queues. It rejects more.
	skewedQueue = 8
	// skewedPerSecond takes a quarter of the upstreams' slots.
	skewedPerSecond = 240
	// skewedShare is the share of the requests that one box gets, about eleven times its usual.
	skewedShare = 0.9
	// skewedPhase is how long requests go evenly to all boxes, then to one box, then to another.
	skewedPhase = 5 * time.Second
	// minSkewedShare is how often requests must be served at the first try, relative to the time before.
	minSkewedShare = 0.75
)

// skew is a run in which most connections go to one box.
type skew struct {
	fleet  *fleet
	boxes  []*running
	random *rand.Rand

	mu sync.Mutex
	// sent and served count first tries by the second of the run.
	sent, served map[int]int
	statuses     map[int]int
	running      map[string]int
}

// respond takes 50 ms to 150 ms for a request, and rejects what neither runs nor fits into the queue.
func (s *skew) respond(id string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.running[id]++
		running, work := s.running[id], clock.Millis(50+s.random.IntN(100))
		s.mu.Unlock()
		defer func() {
			s.mu.Lock()
			s.running[id]--
			s.mu.Unlock()
		}()
		if running > skewedSlots+skewedQueue {
			respondNotRun(w, r)
			return
		}
		_ = s.fleet.clock.Sleep(r.Context(), work)
		respondInKind(w, r)
	}
}

// pick returns the box of a request: the favourite one, if there is one, for skewedShare of the requests.
func (s *skew) pick(favourite int) *running {
	s.mu.Lock()
	defer s.mu.Unlock()
	if favourite >= 0 && s.random.Float64() < skewedShare {
		return s.boxes[favourite]
	}
	return s.boxes[s.random.IntN(len(s.boxes))]
}

// phase sends requests on new connections for skewedPhase.
func (s *skew) phase(number, favourite int) {
	var sending sync.WaitGroup
	interval := time.Second / skewedPerSecond
	for i := range int(skewedPhase / interval) {
		second := number*int(skewedPhase/time.Second) + int(time.Duration(i)*interval/time.Second)
		sending.Go(func() {
			status := s.send(s.pick(favourite), fmt.Sprint(number, "-", i), routes()[i%len(routes())])
			s.mu.Lock()
			defer s.mu.Unlock()
			s.sent[second]++
			s.statuses[status]++
			if status == http.StatusOK {
				s.served[second]++
			}
		})
		advance(s.fleet.t, interval)
	}
	sending.Wait()
}

func (s *skew) send(b *running, id, path string) int {
	ctx, cancel := context.WithTimeout(s.fleet.t.Context(), time.Second)
	defer cancel()
	response, err := b.send(ctx, call{
		method: http.MethodPost, path: path, id: id, key: key, body: id,
		header: http.Header{"X-Prompt": {fmt.Sprintf("head:100,s%d:100,own%s:10", len(id)%7, id)}},
	})
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// share returns the share of first tries that were served in a second of the run.
func (s *skew) share(second int) float64 {
	return float64(s.served[second]) / float64(max(1, s.sent[second]))
}

// TestSkewedConnections guards against a box that serves fewer requests while it gets most connections of the fleet.
func TestSkewedConnections(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		s := &skew{
			fleet: f, random: rand.New(rand.NewPCG(1, 58)), sent: map[int]int{}, served: map[int]int{},
			statuses: map[int]int{}, running: map[string]int{},
		}
		for i := range skewedUpstreams {
			id := fmt.Sprint("u", i)
			f.upstreamWithSlots(id, fmt.Sprint("d", i%restartDomains), skewedSlots, s.respond(id))
		}
		s.boxes = f.boxesInDomains(skewedBoxes)
		advance(f.t, 3*time.Second)
		for number, favourite := range []int{-1, 0, 1} {
			s.phase(number, favourite)
		}
		seconds := int(skewedPhase / time.Second)
		before := s.share(seconds - 1)
		require.Greater(f.t, before, minSkewedShare)
		f.t.Logf("statuses %v", s.statuses)
		for second := seconds; second < 3*seconds; second++ {
			f.t.Logf("second %d: %.3f of %d served at the first try", second, s.share(second), s.sent[second])
			assert.GreaterOrEqual(f.t, s.share(second), minSkewedShare*before, "second %d", second)
		}
	})
}

// TestIdleConnectionsMakeRoom guards against a box that reads no new connection while callers keep idle ones.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	const limit = 4
	// keep opens connections to a box, gets one response on each, and keeps them open.
	keep := func(f *fleet, b *running) []*http.Client {
		kept := []*http.Client{}
		for range limit {
			c := b.client()
			transport, ok := c.Transport.(*http.Transport)
			require.True(f.t, ok)
			transport.DisableKeepAlives = false
			kept = append(kept, c)
			assert.Equal(f.t, http.StatusOK, getWith(f, c))
		}
		return kept
	}
	start := func(f *fleet) *running {
		f.upstream("u1", respondInKind)
		b := f.box(1, withConnectionLimit(limit))
		advance(f.t, time.Second)
		return b
	}
	t.Run("a new connection is read at once", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			b := start(f)
			keep(f, b)
			started := f.clock.Monotonic()
			for range 2 * limit {
				status, _, err := b.get("/safe/")
				require.NoError(f.t, err)
				assert.Equal(f.t, http.StatusOK, status)
			}
			assert.Less(f.t, f.clock.Monotonic()-started, clock.Second)
		})
	})
	t.Run("no connection is closed with room for others", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			b := start(f)
			kept := keep(f, b)[:limit-1]
			kept[0].CloseIdleConnections()
			advance(f.t, time.Second)
			status, _, err := b.get("/safe/")
			require.NoError(f.t, err)
			assert.Equal(f.t, http.StatusOK, status)
			for _, c := range kept {
				assert.Equal(f.t, http.StatusOK, getWith(f, c))
			}
		})
	})
}

// getWith sends a request with a client of its own connections and returns the status, or 0 if there is no response.
func getWith(f *fleet, c *http.Client) int {
	ctx, cancel := context.WithTimeout(f.t.Context(), 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+"/safe/", nil)
	require.NoError(f.t, err)
	request.Header.Set("X-Id", "kept")
	request.Header.Set("Authorization", key)
	response, err := c.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}
