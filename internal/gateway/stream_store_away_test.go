package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/pkg/config"
)

// servesWithoutStore lets a box serve however long it can't read the store.
func servesWithoutStore(g *config.Gateway) { g.Freshness.MaxAgeMs = 0 }

// TestStreamNotContinuedWhileBoxesConfirmEachOther guards against boxes without the store that take each other's lists
// for a confirmation that an upstream which has restarted still runs its older version.
func TestStreamNotContinuedWhileBoxesConfirmEachOther(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		crash := func(w http.ResponseWriter, r *http.Request) {
			f.network.SetRefusal(func(_, to string) bool { return to == "ua" })
			abortMidEvent(w, r)
		}
		restart := f.upstreamVersion("ua", "d", "v1", streamOf("v1", crash))
		f.pausingUpstreams("uc-v2")
		first := f.box(1, servesWithoutStore)
		boxes := []*running{first, f.box(2, servesWithoutStore, withContact(first))}
		advance(f.t, time.Second)
		broken := begun{version: "v2"}
		for i := 0; broken.version != "v1"; i++ {
			broken, _ = boxes[0].beginWhole(strconv.Itoa(i))
		}
		for _, b := range boxes {
			f.store.setUnavailable(b.settings.Box, true)
		}
		advance(f.t, 20*time.Millisecond)
		restart(streamOf("v2", pause))
		f.network.SetRefusal(func(string, string) bool { return false })
		for range 3 {
			advance(f.t, 2*time.Second)
			for _, b := range boxes {
				for range sampleStreams {
					// It makes the box talk to the upstream that has restarted.
					_, _, _ = b.get("/resumable/")
				}
				assertStreamsRefused(f.t, b, []begun{broken})
			}
		}
	})
}

// TestStreamNotContinuedAtStaleEntryAfterStart guards against a box that has just started and continues a stream at an
// upstream whose entry still tells the version that it ran before it restarted.
func TestStreamNotContinuedAtStaleEntryAfterStart(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		f.upstreamVersion("ua", "d", "v1", streamOf("v2", pause))
		f.upstreamVersion("ub", "d", "v1", streamOf("v1", pause))
		for _, id := range []string{"ua", "ub"} {
			f.tellRestart(id, "v1")
		}
		boxes := f.boxes(2)
		streams := boxes[0].beginEach("s", sampleStreams)
		for i, s := range streams {
			_, versions := boxes[i%2].takeUp(s)
			assert.NotContains(f.t, versions, map[string]string{"v1": "v2", "v2": "v1"}[s.version])
		}
		f.tellRestart("ua", "v2")
		advance(f.t, 10*time.Second)
		assertGoOn(f.t, boxes[1], boxes[0].beginEach("later", sampleStreams))
	})
}
