package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/mesh"
	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/routing"
	"dooryard.example/dooryard/internal/why"
	"dooryard.example/dooryard/pkg/config"
)

// lastBeforePause is the event after which the streams of streamOf pause.
const lastBeforePause = 3

// streamOf returns a handler that writes five events, each with the software version, from the one after
// Last-Event-Id on. After the third event it calls then.
func streamOf(version string, then http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for i := after + 1; i <= 5; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, version)
			if i == lastBeforePause {
				_ = http.NewResponseController(w).Flush()
				then(w, r)
				return
			}
		}
	}
}

// pause waits until the caller disconnects.
func pause(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// versionsIn returns the software versions that wrote the events of a body.
func versionsIn(body string) []string {
	versions := []string{}
	for line := range strings.Lines(body) {
		if version, found := strings.CutPrefix(line, "data: "); found {
			versions = append(versions, strings.TrimSpace(version))
		}
	}
	return versions
}

// upstreamVersion starts an upstream that runs a software version, and registers it. The returned function replaces
// its handler, as a restart does.
func (f *fleet) upstreamVersion(id, domain, version string, handler http.HandlerFunc) (restart func(http.HandlerFunc)) {
	f.t.Helper()
	var current atomic.Pointer[http.HandlerFunc]
	current.Store(&handler)
	address := f.server(id, func(w http.ResponseWriter, r *http.Request) {
		w.Header()["X-Id"] = r.Header["X-Id"]
		(*current.Load())(w, r)
	})
	f.store.put(registry.Upstream{
		ID: id, Pool: "p", Address: address, FailureDomain: domain, SoftwareVersion: version, Slots: 64,
	})
	return func(next http.HandlerFunc) { current.Store(&next) }
}

// pausingUpstreams starts upstreams whose streams pause after the third event. The names tell the versions: "ua-v1"
// runs v1.
func (f *fleet) pausingUpstreams(ids ...string) {
	f.t.Helper()
	for _, id := range ids {
		_, version, _ := strings.Cut(id, "-")
		f.upstreamVersion(id, "d", version, streamOf(version, pause))
	}
}

// begun is a stream that a caller has begun to receive.
type begun struct{ id, version string }

// begin begins a stream, receives its first three events and disconnects.
func (r *running) begin(id string) begun {
	t := r.fleet.t
	t.Helper()
	response, err := r.send(context.Background(), call{method: http.MethodGet, path: "/resumable/", id: id, key: key})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	events := make([]byte, lastBeforePause*len("id: 1\ndata: v1\n\n"))
	_, err = io.ReadFull(response.Body, events)
	require.NoError(t, err)
	_ = response.Body.Close()
	versions := slices.Compact(versionsIn(string(events)))
	require.Len(t, versions, 1)
	return begun{id: id, version: versions[0]}
}

// beginWhole begins a stream and receives it until it ends, and reports whether it was whole.
func (r *running) beginWhole(id string) (s begun, whole bool) {
	t := r.fleet.t
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	response, err := r.send(ctx, call{method: http.MethodGet, path: "/resumable/", id: id, key: key})
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return begun{id: id, version: versionsIn(string(body))[0]}, err == nil
}

// beginEach begins several streams.
func (r *running) beginEach(name string, count int) []begun {
	all := []begun{}
	for i := range count {
		all = append(all, r.begin(name+strconv.Itoa(i)))
	}
	return all
}

// takeUp takes up a stream with a further request and returns the status and the versions of the events.
func (r *running) takeUp(s begun) (status int, versions []string) {
	status, versions, err := r.takeUpAfter(s, lastBeforePause)
	require.NoError(r.fleet.t, err)
	return status, versions
}

func (r *running) takeUpAfter(s begun, last int) (status int, versions []string, err error) {
	response, err := r.send(context.Background(), call{
		method: http.MethodGet, path: "/resumable/", id: s.id + "-again", key: key,
		header: http.Header{"Last-Event-Id": {strconv.Itoa(last)}, "X-Resumes": {s.id}},
	})
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, versionsIn(string(body)), err
}

// assertGoOn checks that each stream goes on at its version when it is taken up at a box.
func assertGoOn(t *testing.T, b *running, streams []begun) {
	t.Helper()
	for _, s := range streams {
		status, versions := b.takeUp(s)
		assert.Equal(t, http.StatusOK, status, "%s of %s", s.id, s.version)
		assert.Equal(t, []string{s.version, s.version}, versions, "%s of %s", s.id, s.version)
	}
}

// assertStreamsRefused checks that each stream is refused at once when it is taken up at a box.
func assertStreamsRefused(t *testing.T, b *running, streams []begun) {
	t.Helper()
	for _, s := range streams {
		start := time.Now()
		status, versions := b.takeUp(s)
		assert.Equal(t, http.StatusServiceUnavailable, status, "%s of %s", s.id, s.version)
		assert.Empty(t, versions)
		assert.LessOrEqual(t, time.Since(start), 50*time.Millisecond, "%s of %s", s.id, s.version)
	}
}

// ofVersion returns the streams that a version began.
func ofVersion(version string, streams []begun) []begun {
	return slices.DeleteFunc(slices.Clone(streams), func(s begun) bool { return s.version != version })
}

// withManyRetries gives a box a budget for each stream that breaks.
func withManyRetries(g *config.Gateway) { g.Budget.Slack = 100 * sampleStreams }

// sampleStreams is enough for streams of both versions, whichever upstreams are picked at random.
const sampleStreams = 12

// TestStreamVersionWithinResponse guards against a response with events of two software versions.
func TestStreamVersionWithinResponse(t *testing.T) {
	breaking := func(version string) http.HandlerFunc { return streamOf(version, abortMidEvent) }
	t.Run("goes on at an upstream of the version that began it", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			for _, id := range []string{"ua-v1", "ub-v2", "uc-v1", "ud-v2"} {
				f.upstreamVersion(id, "d", id[3:], breaking(id[3:]))
			}
			b := f.box(1, withManyRetries)
			for range sampleStreams {
				_, body, err := b.get("/resumable/")
				require.NoError(f.t, err)
				versions := versionsIn(body)
				assert.Len(f.t, versions, 5)
				assert.Len(f.t, slices.Compact(versions), 1)
			}
		})
	})
	t.Run("breaks at once if no other upstream runs the version", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			for _, id := range []string{"ua-v1", "ub-v2"} {
				f.upstreamVersion(id, "d", id[3:], breaking(id[3:]))
			}
			b := f.box(1, withManyRetries)
			for range sampleStreams {
				start := time.Now()
				_, body, err := b.get("/resumable/")
				require.Error(f.t, err)
				assert.Len(f.t, versionsIn(body), lastBeforePause)
				assert.LessOrEqual(f.t, time.Since(start), 50*time.Millisecond)
			}
		})
	})
	t.Run("may change the version before the first event", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			f.upstreamVersion("ua-v1", "d", "v1", writeEvents(1, 0, abortMidEvent))
			f.upstreamVersion("ub-v2", "d", "v2", streamOf("v2", func(w http.ResponseWriter, r *http.Request) {
				writeEvents(4, 5, endStream)(w, r)
			}))
			b := f.box(1, withManyRetries)
			for range sampleStreams {
				_, _, err := b.get("/resumable/")
				require.NoError(f.t, err)
			}
		})
	})
}

// TestStreamVersionOverTries guards against a caller that gets events of two software versions over its tries.
func TestStreamVersionOverTries(t *testing.T) {
	t.Run("at the same box", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			f.pausingUpstreams("ua-v1", "ub-v2", "uc-v1", "ud-v2")
			b := f.box(1)
			assertGoOn(f.t, b, b.beginEach("s", sampleStreams))
		})
	})
	t.Run("at another box, at once and later", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			f.pausingUpstreams("ua-v1", "ub-v2", "uc-v1", "ud-v2")
			boxes := f.boxes(3)
			advance(f.t, time.Second)
			streams := boxes[0].beginEach("s", sampleStreams)
			assertGoOn(f.t, boxes[1], streams)
			advance(f.t, time.Second)
			assertGoOn(f.t, boxes[2], streams)
		})
	})
	t.Run("in another failure domain", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			f.pausingUpstreams("ua-v1", "ub-v2", "uc-v1", "ud-v2")
			first := f.box(1)
			other := f.box(2, withContact(first), func(g *config.Gateway) { g.FailureDomain = "e" })
			advance(f.t, time.Second)
			assertGoOn(f.t, other, first.beginEach("s", sampleStreams))
		})
	})
	t.Run("in a chain of tries", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			f.pausingUpstreams("ua-v1", "ub-v2", "uc-v1", "ud-v2")
			boxes := f.boxes(3)
			advance(f.t, time.Second)
			for _, s := range boxes[0].beginEach("s", sampleStreams) {
				for i, last := range []int{3, 4} {
					_, versions, err := boxes[1+i].takeUpAfter(s, last)
					require.NoError(f.t, err)
					assert.Equal(f.t, []string{s.version}, slices.Compact(versions))
				}
			}
		})
	})
	for name, partitioned := range map[string]bool{"after its box was cut off": true, "while the store is unavailable": false} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				f.pausingUpstreams("ua-v1", "ub-v2", "uc-v1", "ud-v2")
				boxes := f.boxes(4)
				advance(f.t, time.Second)
				streams := boxes[0].beginEach("s", sampleStreams)
				if partitioned {
					f.network.SetPartition(func(from, to string) bool { return from == "box-1" || to == "box-1" })
				} else {
					for _, b := range boxes {
						f.store.setUnavailable(b.settings.Box, true)
					}
				}
				assertGoOn(f.t, boxes[1], streams)
				advance(f.t, 4*time.Second)
				assertGoOn(f.t, boxes[2], streams)
			})
		})
	}
	t.Run("with two upstreams of the version left", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			f.pausingUpstreams("ua-v1", "ub-v1", "uc-v2", "ud-v2", "ue-v2", "uf-v2")
			boxes := f.boxes(3)
			advance(f.t, time.Second)
			streams := ofVersion("v1", boxes[0].beginEach("s", 4*sampleStreams))
			require.NotEmpty(f.t, streams)
			assertGoOn(f.t, boxes[1], streams)
		})
	})
}

// TestStreamVersionOfOldStreams guards against streams that began before a second version appeared and are refused.
func TestStreamVersionOfOldStreams(t *testing.T) {
	t.Run("go on at their version once a second one serves", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			f.pausingUpstreams("ua-v1", "ub-v1")
			boxes := f.boxes(3)
			advance(f.t, time.Minute)
			streams := boxes[0].beginEach("s", sampleStreams)
			f.pausingUpstreams("uc-v2", "ud-v2")
			advance(f.t, 2*time.Second)
			assertGoOn(f.t, boxes[1], streams)
		})
	})
	t.Run("go on while one version serves, though their box is gone", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			f.pausingUpstreams("ua-v1", "ub-v1")
			boxes := f.boxes(3)
			advance(f.t, time.Minute)
			streams := boxes[0].beginEach("s", sampleStreams)
			f.network.SetPartition(func(from, to string) bool { return from == "box-1" || to == "box-1" })
			assertGoOn(f.t, boxes[1], streams)
		})
	})
}

// TestStreamVersionGone guards against a stream that goes on at another version, or waits, when its own is gone.
func TestStreamVersionGone(t *testing.T) {
	leave := map[string]func(f *fleet, id string){
		"draining": func(f *fleet, id string) {
			u := f.store.entry(id)
			u.Draining = true
			f.store.put(u)
		},
		"gone": func(f *fleet, id string) { f.store.remove(id) },
		"back at a newer version": func(f *fleet, id string) {
			f.upstreamVersion(id, "d", "v2", streamOf("v2", pause))
		},
	}
	for name, leaves := range leave {
		t.Run("all upstreams "+name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				f.pausingUpstreams("ua-v1", "ub-v2", "uc-v1", "ud-v2")
				boxes := f.boxes(2)
				advance(f.t, time.Second)
				streams := boxes[0].beginEach("s", sampleStreams)
				for _, id := range []string{"ua-v1", "uc-v1"} {
					leaves(f, id)
				}
				advance(f.t, 2*time.Second)
				assertStreamsRefused(f.t, boxes[1], ofVersion("v1", streams))
				assertStreamsRefused(f.t, boxes[0], ofVersion("v1", streams))
				assertGoOn(f.t, boxes[1], ofVersion("v2", streams))
			})
		})
	}
	t.Run("a caller that names no stream goes on while one version serves", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			f.pausingUpstreams("ua-v1", "ub-v1")
			b := f.box(1)
			unnamed := begun{version: "v1"}
			assertGoOn(f.t, b, []begun{unnamed})
			f.pausingUpstreams("uc-v2")
			advance(f.t, 2*time.Second)
			assertStreamsRefused(f.t, b, []begun{unnamed})
		})
	})
	t.Run("an unknown stream is refused while two versions serve, and lines tell why", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			log := &logBuffer{}
			f.out = log
			f.pausingUpstreams("ua-v1", "ub-v2")
			boxes := f.boxes(2)
			advance(f.t, time.Minute)
			assertStreamsRefused(f.t, boxes[1], []begun{{id: "never-begun"}})
			advance(f.t, time.Second)
			story := why.RequestLines(log.read(f.t), "never-begun-again", 0)
			require.Len(f.t, withMessage(story, "stream taken up"), 1)
			fields := withMessage(story, "stream taken up")[0].Fields
			for name, want := range map[string]string{
				"resumes": `"never-begun"`, "unknown": "true", "answers": "1", "one_version": "false", "own_record": "false",
			} {
				assert.Equal(f.t, want, string(fields[name]), name)
			}
			assert.Equal(f.t, `"stream_unknown"`, string(withMessage(story, "request ended")[0].Fields["cause"]))
			assert.Equal(f.t, "1", boxes[1].metrics.all.Get("requests_stream_stream_unknown").String())
		})
	})
	t.Run("a stream whose version all upstreams have left is refused", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			f.pausingUpstreams("ua-v1", "ub-v2")
			boxes := f.boxes(2)
			advance(f.t, time.Second)
			streams := boxes[0].beginEach("s", sampleStreams)
			f.store.remove("ua-v1")
			advance(f.t, 5*time.Second)
			f.network.SetPartition(func(from, to string) bool { return from == "box-1" || to == "box-1" })
			assertStreamsRefused(f.t, boxes[1], ofVersion("v1", streams))
			assertStreamsRefused(f.t, boxes[1], []begun{{id: "never-begun"}})
		})
	})
}

// TestStreamVersionOfMovedRoute guards against a stream that goes on at another service.
func TestStreamVersionOfMovedRoute(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		f.pausingUpstreams("ua-v1", "ub-v1")
		address := f.server("uc", func(w http.ResponseWriter, r *http.Request) {
			w.Header()["X-Id"] = r.Header["X-Id"]
			streamOf("q1", pause)(w, r)
		})
		f.store.put(registry.Upstream{ID: "uc", Pool: "q", Address: address, FailureDomain: "d", SoftwareVersion: "v1", Slots: 8})
		boxes := f.boxes(2)
		advance(f.t, time.Second)
		streams := boxes[0].beginEach("s", sampleStreams)
		f.store.setState(f.t, movedTo(2, routing.Split{Pool: "p", Weight: 1}, routing.Split{Pool: "q", Weight: 9}))
		advance(f.t, 2*time.Second)
		assertGoOn(f.t, boxes[1], streams)
		f.store.setState(f.t, movedTo(3, routing.Split{Pool: "q", Weight: 1}))
		advance(f.t, 2*time.Second)
		assertStreamsRefused(f.t, boxes[1], streams)
	})
}

// movedTo returns a routing state whose routes lead to other pools.
func movedTo(version int64, splits ...routing.Split) routing.Content {
	c := content(version)
	c.Pools = append(c.Pools, routing.Pool{Name: "q"})
	for i := range c.Routes {
		c.Routes[i].Splits = splits
	}
	return c
}

// TestStreamVersionOfForwardedRequests guards against a second version that comes in through another box.
func TestStreamVersionOfForwardedRequests(t *testing.T) {
	t.Run("taken up at a box that can't reach the upstreams", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			f.pausingUpstreams("ua-v1", "ub-v2", "uc-v1", "ud-v2")
			boxes := f.boxes(3)
			advance(f.t, time.Second)
			streams := boxes[1].beginEach("s", sampleStreams)
			f.network.SetPartition(fromUpstreams("box-1"))
			boxes[0].sendEach("separate")
			advance(f.t, detectionTime)
			require.NotEmpty(f.t, boxes[0].balance.Unreachable())
			assertGoOn(f.t, boxes[0], streams)
			assertGoOn(f.t, boxes[2], boxes[0].beginEach("f", sampleStreams))
		})
	})
	t.Run("cut within a response", func(t *testing.T) {
		for range sampleStreams {
			runWithFleet(t, func(f *fleet) {
				cut := func(http.ResponseWriter, *http.Request) { f.network.SetPartition(fromUpstreams("box-1")) }
				for _, id := range []string{"ua-v1", "ub-v2", "uc-v1", "ud-v2"} {
					f.upstreamVersion(id, "d", id[3:], streamOf(id[3:], cut))
				}
				boxes := f.boxes(2)
				advance(f.t, time.Second)
				_, body, err := boxes[0].get("/resumable/")
				require.NoError(f.t, err)
				assert.Len(f.t, versionsIn(body), 5)
				assert.Len(f.t, slices.Compact(versionsIn(body)), 1)
			})
		}
	})
}

// tellRestart writes the entry of an upstream that has restarted under its ID at a newer version.
func (f *fleet) tellRestart(id, version string) {
	f.t.Helper()
	u := f.store.entry(id)
	u.SoftwareVersion, u.StartedMs = version, 1+u.StartedMs
	f.store.put(u)
}

// TestStreamVersionOfRestartedUpstream guards against a stream that began at an upstream whose entry did not tell its
// newer version yet.
func TestStreamVersionOfRestartedUpstream(t *testing.T) {
	t.Run("is not taken up at the older version", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			restart := f.upstreamVersion("ua", "d", "v1", streamOf("v1", pause))
			f.pausingUpstreams("ub-v1", "uc-v2")
			restart(streamOf("v2", pause))
			boxes := f.boxes(3)
			advance(f.t, time.Second)
			streams := boxes[0].beginEach("s", 2*sampleStreams)
			f.tellRestart("ua", "v2")
			advance(f.t, time.Second)
			for _, s := range streams {
				_, versions := boxes[1].takeUp(s)
				assert.NotContains(f.t, versions, map[string]string{"v1": "v2", "v2": "v1"}[s.version])
			}
		})
	})
	t.Run("does not go on at the older version within its response", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			told := make(chan struct{})
			breakOnceTold := func(w http.ResponseWriter, r *http.Request) {
				<-told
				abortMidEvent(w, r)
			}
			f.upstreamVersion("ua", "d", "v1", streamOf("v2", breakOnceTold))
			b := f.box(1, withManyRetries)
			result := make(chan string, 1)
			go func() {
				_, body, err := b.get("/resumable/")
				assert.Error(f.t, err)
				result <- body
			}()
			synctest.Wait()
			f.upstreamVersion("ub", "d", "v1", streamOf("v1", endStream))
			f.tellRestart("ua", "v2")
			advance(f.t, 800*time.Millisecond)
			close(told)
			assert.Equal(f.t, []string{"v2"}, slices.Compact(versionsIn(<-result)))
		})
	})
	t.Run("its version is doubtful after its host refused connections, until the entry is confirmed", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			restart := f.upstreamVersion("ua", "d", "v1", streamOf("v1", pause))
			f.pausingUpstreams("ub-v1", "uc-v2")
			boxes := f.boxes(2)
			advance(f.t, time.Second)
			f.network.SetRefusal(func(_, to string) bool { return to == "ua" })
			before := boxes[0].beginEach("before", 2*sampleStreams)
			restart(streamOf("w2", pause))
			f.network.SetRefusal(func(string, string) bool { return false })
			advance(f.t, 1500*time.Millisecond)
			restarted := ofVersion("w2", boxes[0].beginEach("after", 4*sampleStreams))
			require.NotEmpty(f.t, restarted)
			assertStreamsRefused(f.t, boxes[0], restarted)
			assertStreamsRefused(f.t, boxes[1], restarted)
			assertGoOn(f.t, boxes[0], before)
			restart(streamOf("v1", pause))
			advance(f.t, 10*time.Second)
			assertGoOn(f.t, boxes[0], boxes[0].beginEach("much-later", 2*sampleStreams))
		})
	})
	t.Run("upstreams whose connections broke come last for streams of their version", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			restart := f.upstreamVersion("ua", "d", "v1", streamOf("v1", abortMidEvent))
			f.pausingUpstreams("ub-v1", "uc-v2")
			b := f.box(1, withManyRetries)
			streams := []begun{}
			for i := 0; len(streams) < sampleStreams; i++ {
				s, whole := b.beginWhole(strconv.Itoa(i))
				if whole {
					streams = append(streams, s)
				}
			}
			restart(streamOf("v2", pause))
			advance(f.t, time.Second)
			assertGoOn(f.t, b, ofVersion("v1", streams))
		})
	})
}

// TestUpstreamsWithoutVersions guards against upstreams whose versions a box of an earlier release did not tell.
func TestUpstreamsWithoutVersions(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		f.network.SetPacketLoss(func() bool { return true })
		f.store.setUnavailable("box-1", true)
		f.upstreamVersion("u1", "d", "v1", streamOf("v1", pause))
		b, other := f.box(1), f.box(2)
		advance(f.t, time.Second)
		report := mesh.PeerState{
			From:         mesh.Identity{Box: "box-2", FailureDomain: "d", Address: other.settings.PeersAddress, Incarnation: 1},
			StateSummary: other.stateSummary(),
		}
		b.peering.applyPeerState(f.t.Context(), report)
		assert.NotNil(f.t, b.routingState.State(), "the routing state is taken")
		assert.Empty(f.t, b.registry.All())
		report.TellsVersions = true
		b.peering.applyPeerState(f.t.Context(), report)
		require.Len(f.t, b.registry.All(), 1)
		assert.Equal(f.t, "v1", b.registry.All()[0].SoftwareVersion)
	})
}
