package gateway

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/routing"
	"dooryard.example/dooryard/internal/streams"
	"dooryard.example/dooryard/internal/why"
	"dooryard.example/dooryard/pkg/config"
)

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
			assertStreamsRefused(f.t, b, []begun{unnamed})
			advance(f.t, streams.WindowMs.Duration())
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
				"complete": "false",
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
