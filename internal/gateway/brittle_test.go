package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/registry"
)

const (
	// brittleRoom is how many requests a brittle upstream of these tests has room for: fewer than its slots.
	brittleRoom = 4
	// brittleRejections is how many requests it may reject in a second without falling over.
	brittleRejections = 5
	// brittleDownMs is for how long it is down after that.
	brittleDownMs = 3 * clock.Second
	brittleWorkMs = 150 * clock.Millis(1)
)

// brittleUpstream says that it is brittle and falls over if it has to reject too many requests.
type brittleUpstream struct {
	fleet *fleet
	id    string

	mu         sync.Mutex
	running    int
	rejectedMs []clock.Millis
	falls      int
	served     int
	downUntil  clock.Millis
}

func (f *fleet) brittle(id, domain string) *brittleUpstream {
	u := &brittleUpstream{fleet: f, id: id}
	address := f.server(id, u.ServeHTTP)
	f.store.put(registry.Upstream{ID: id, Pool: "p", Address: address, FailureDomain: domain, Slots: 2 * brittleRoom})
	return u
}

// enter reports whether the upstream has room for a request, and whether it is up at all.
func (u *brittleUpstream) enter() (room, up bool) {
	now := u.fleet.clock.Monotonic()
	u.mu.Lock()
	defer u.mu.Unlock()
	if now < u.downUntil {
		return false, false
	}
	if u.running < brittleRoom {
		u.running++
		return true, true
	}
	u.rejectedMs = append(u.rejectedMs, now)
	recent := 0
	for _, at := range u.rejectedMs {
		if now-at < clock.Second {
			recent++
		}
	}
	if recent > brittleRejections {
		u.falls++
		u.rejectedMs, u.downUntil = nil, now+brittleDownMs
		return false, false
	}
	return false, true
}

func (u *brittleUpstream) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
	u.served++
}

// ServeHTTP implements http.Handler.
func (u *brittleUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header()["X-Id"] = r.Header["X-Id"]
	w.Header().Set(headerBrittle, strconv.Itoa(brittleRejections))
	room, up := u.enter()
	switch {
	case !up:
		panic(http.ErrAbortHandler)
	case !room:
		respondNotRun(w, r)
		return
	}
	defer u.leave()
	_ = u.fleet.clock.Sleep(r.Context(), brittleWorkMs)
	_, _ = io.WriteString(w, "done")
}

// TestBrittleUpstreams guards against boxes that together make a brittle upstream reject so many requests that it falls
// over, although each of them sends it little.
func TestBrittleUpstreams(t *testing.T) {
	const (
		upstreams = 6
		// capacity is how many requests all upstreams can run in a second.
		capacity = upstreams * brittleRoom * int(clock.Second/brittleWorkMs)
	)
	for _, c := range []struct {
		name      string
		boxes     int
		perSecond int
	}{
		{"six boxes with twice the load that the upstreams bear", 6, 2 * capacity},
		{"twelve boxes with three times the load", 12, 3 * capacity},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				list := []*brittleUpstream{}
				for i := range upstreams {
					list = append(list, f.brittle(fmt.Sprint("u", i), "d"))
				}
				boxes := f.boxes(c.boxes)
				advance(f.t, 2*time.Second)
				f.load(boxes, 10*time.Second, capacity/4)
				f.load(boxes, 10*time.Second, c.perSecond)
				falls, served := 0, 0
				for _, u := range list {
					falls += u.falls
					served += u.served
				}
				f.t.Logf("%d falls, %d requests served", falls, served)
				assert.LessOrEqual(f.t, falls, 2+upstreams/10)
				const loadSeconds, share = 10, 2
				assert.Greater(f.t, served, loadSeconds*capacity/share, "the upstreams are used")
			})
		})
	}
}

// load sends requests of all kinds to the boxes at an even rate, without waiting for responses.
func (f *fleet) load(boxes []*running, span time.Duration, perSecond int) {
	f.t.Helper()
	var sending sync.WaitGroup
	interval := time.Second / time.Duration(perSecond)
	for i := range int(span / interval) {
		sending.Go(func() {
			response, err := boxes[i%len(boxes)].send(context.Background(), call{
				method: http.MethodGet, path: []string{"/safe/", "/unsafe2/", "/sticky/"}[i%3], id: fmt.Sprint(perSecond, "-", i), key: key,
				header: http.Header{"X-Prompt": {fmt.Sprint("s", i%40, ":100,own:10")}},
			})
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
		advance(f.t, interval)
	}
	sending.Wait()
	require.NoError(f.t, f.t.Context().Err())
}
