package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/testlib"
	"dooryard.example/dooryard/pkg/config"
)

// partition separates boxes from upstreams in one way.
type partition struct {
	name  string
	apply func(n *testlib.Network, separated func(from, to string) bool)
}

// partitions are the ways in which boxes lose their upstreams: connections hang, are reset, or live on while new ones
// are refused.
func partitions() []partition {
	return []partition{
		{"hang", (*testlib.Network).SetBlackhole},
		{"are reset", (*testlib.Network).SetPartition},
		{"are reset once they are open", (*testlib.Network).SetReset},
		{"live on while new ones are refused", (*testlib.Network).SetRefusal},
	}
}

// fromUpstreams returns a function that separates some boxes from all upstreams, whose names begin with "u".
func fromUpstreams(boxes ...string) func(from, to string) bool {
	separated := map[string]bool{}
	for _, b := range boxes {
		separated[b] = true
	}
	return func(from, to string) bool {
		return separated[from] && strings.HasPrefix(to, "u") || separated[to] && strings.HasPrefix(from, "u")
	}
}

// runCounter counts the runs of each request, by its ID.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *runCounter) handler(then http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		c.runs[r.Header.Get("X-Id")]++
		c.mu.Unlock()
		then(w, r)
	}
}

func (c *runCounter) of(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// withDomain puts a box into a failure domain.
func withDomain(domain string) func(g *config.Gateway) {
	return func(g *config.Gateway) { g.FailureDomain = domain }
}

// partitionable starts two boxes in domain d and one in domain e, and two upstreams in each.
func (f *fleet) partitionable(handler http.HandlerFunc) (boxes []*running, runs *runCounter) {
	f.t.Helper()
	runs = &runCounter{runs: map[string]int{}}
	for _, u := range []struct{ id, domain string }{{"u1", "d"}, {"u2", "d"}, {"u3", "e"}, {"u4", "e"}} {
		f.upstreamIn(u.id, u.domain, runs.handler(handler))
	}
	first := f.box(1)
	boxes = []*running{first, f.box(2, withContact(first)), f.box(3, withContact(first), withDomain("e"))}
	advance(f.t, 2*time.Second)
	return boxes, runs
}

// respondInKind responds with a stream on the routes of streams, and with a short body on the others.
func respondInKind(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/stream/") || strings.HasPrefix(r.URL.Path, "/resumable/") {
		writeEvents(1, 5, endStream)(w, r)
		return
	}
	_, _ = io.WriteString(w, "done")
}

// routes are the paths of one route of each kind.
func routes() []string { return []string{"/safe/", "/unsafe/", "/stream/", "/resumable/", "/sticky/"} }

// sendEach sends a request of each kind, one after another, and returns how many got status 200, and the longest time
// that a request took.
func (r *running) sendEach(name string) (served int, longest time.Duration) {
	for i, path := range routes() {
		start := time.Now()
		response, err := r.send(context.Background(), call{
			method: http.MethodPost, path: path, id: fmt.Sprint(name, i), key: key, body: "x",
			header: http.Header{"X-Prompt": {fmt.Sprint("s", i, ":100,own:10")}},
		})
		require.NoError(r.fleet.t, err)
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK && err == nil {
			served++
		}
		longest = max(longest, time.Since(start))
	}
	return served, longest
}

// detectionTime is how long after a partition began boxes must serve as well as others.
const detectionTime = 2 * time.Second

// routeObjective is the latency objective of the routes in content.
const routeObjective = 500 * time.Millisecond

// TestPartitionedBoxes guards against callers that are refused by a box without upstreams while other boxes could serve
// them.
func TestPartitionedBoxes(t *testing.T) {
	for _, p := range partitions() {
		for _, c := range []struct {
			name  string
			boxes []string
		}{
			{"one box", []string{"box-1"}},
			{"all boxes of a failure domain", []string{"box-1", "box-2"}},
			{"most boxes, of two failure domains", []string{"box-1", "box-3"}},
		} {
			t.Run(c.name+" whose connections to upstreams "+p.name, func(t *testing.T) {
				runWithFleet(t, func(f *fleet) {
					t := f.t
					boxes, runs := f.partitionable(respondInKind)
					for i, b := range boxes {
						served, _ := b.sendEach(fmt.Sprint("before", i))
						require.Equal(t, len(routes()), served)
					}
					p.apply(f.network, fromUpstreams(c.boxes...))
					for round := range int(detectionTime / routeObjective) {
						for i, b := range boxes {
							b.sendEach(fmt.Sprint("detection", round, i))
						}
						advance(t, routeObjective)
					}
					for round := range 5 {
						for i, b := range boxes {
							name := fmt.Sprint("partitioned", round, i)
							served, longest := b.sendEach(name)
							assert.Equal(t, len(routes()), served, "requests that box %d served in round %d", i+1, round)
							assert.Less(t, longest, routeObjective)
							for kind := range routes() {
								assert.Equal(t, 1, runs.of(fmt.Sprint(name, kind)))
							}
						}
						advance(t, clock.Second.Duration())
					}
				})
			})
		}
	}
}

// TestAllBoxesPartitioned guards against requests that wait, or go from box to box, when no box can serve them.
func TestAllBoxesPartitioned(t *testing.T) {
	for _, p := range partitions() {
		t.Run("connections to upstreams "+p.name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				t := f.t
				boxes, runs := f.partitionable(respondInKind)
				p.apply(f.network, fromUpstreams("box-1", "box-2", "box-3"))
				for round := range int(detectionTime / routeObjective) {
					for i, b := range boxes {
						b.sendEach(fmt.Sprint("detection", round, i))
					}
					advance(t, routeObjective)
				}
				for i, b := range boxes {
					served, longest := b.sendEach(fmt.Sprint("partitioned", i))
					assert.Zero(t, served)
					assert.Less(t, longest, 50*time.Millisecond, "a request that can't be served is refused at once")
					for kind := range routes() {
						assert.Zero(t, runs.of(fmt.Sprint("partitioned", i, kind)))
					}
				}
				p.apply(f.network, func(string, string) bool { return false })
				advance(t, clock.Second.Duration())
				for i, b := range boxes {
					served, _ := b.sendEach(fmt.Sprint("after", i))
					assert.Equal(t, len(routes()), served, "requests that box %d served after the partition", i+1)
				}
			})
		})
	}
}

// TestRefusalsAtPartitionedBox guards against a request that is quarantined on all boxes because the connections of a
// partitioned box broke and its upstreams refuse new ones, which looks like crashes.
func TestRefusalsAtPartitionedBox(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t := f.t
		var partitioning atomic.Bool
		handler := func(w http.ResponseWriter, r *http.Request) {
			if partitioning.Load() {
				f.network.SetRefusal(fromUpstreams("box-1"))
				abortConnection(w, r)
			}
			respondWith("done")(w, r)
		}
		for i := range 6 {
			f.upstream(fmt.Sprint("u", i), handler)
		}
		boxes := f.boxes(2)
		advance(t, time.Second)
		for range 2 * defaultMinCrashes {
			partitioning.Store(true)
			_, _, _ = boxes[0].get("/unsafe/")
			partitioning.Store(false)
			advance(t, time.Second)
			f.network.SetRefusal(func(string, string) bool { return false })
			advance(t, time.Second)
		}
		for i, b := range boxes {
			status, _, err := b.get("/unsafe/")
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, status, "box %d", i+1)
		}
	})
}
