package gateway

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/mesh"
)

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
	t.Run("is not taken up at an upstream whose process is not the one of its entry", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			runs := func(version, startedMs string) http.HandlerFunc {
				stream := streamOf(version, pause)
				return func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == reportPath {
						_, _ = io.WriteString(w, startedMs)
						return
					}
					stream(w, r)
				}
			}
			restart := f.upstreamVersion("ua", "d", "v1", runs("v1", "1"))
			f.tellRestart("ua", "v1")
			f.pausingUpstreams("uc-v2")
			boxes := f.boxes(2)
			advance(f.t, 10*time.Second)
			streams := ofVersion("v1", boxes[0].beginEach("s", 2*sampleStreams))
			require.NotEmpty(f.t, streams)
			assertGoOn(f.t, boxes[1], streams)
			restart(runs("v2", "2"))
			assertStreamsRefused(f.t, boxes[1], streams)
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
	for name, takesUp := range map[string]int{"the same box": 0, "another box": 1} {
		t.Run("its version is doubtful after it crashed, until the entry is confirmed: "+name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				crash := func(w http.ResponseWriter, r *http.Request) {
					f.network.SetRefusal(func(_, to string) bool { return to == "ua" })
					abortMidEvent(w, r)
				}
				restart := f.upstreamVersion("ua", "d", "v1", streamOf("v1", crash))
				f.pausingUpstreams("uc-v2")
				boxes := f.boxes(2)
				advance(f.t, time.Second)
				for _, b := range boxes {
					f.store.setUnavailable(b.settings.Box, true)
				}
				broken := begun{version: "v2"}
				for i := 0; broken.version != "v1"; i++ {
					broken, _ = boxes[0].beginWhole(strconv.Itoa(i))
				}
				advance(f.t, 20*time.Millisecond)
				restart(streamOf("v2", pause))
				f.network.SetRefusal(func(string, string) bool { return false })
				assertStreamsRefused(f.t, boxes[takesUp], []begun{broken})
			})
		})
	}
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
