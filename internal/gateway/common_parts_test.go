package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
)

// commonPart returns the prompt of a request whose first part is a new one from a request on.
func commonPart(from int) func(i int) string {
	return func(i int) string {
		head := "head"
		if i >= from {
			head = "new"
		}
		return fmt.Sprintf("%s:100,own%d:10", head, i)
	}
}

// streamFor writes an event every 100 ms for a time.
func streamFor(c clock.Clock, span clock.Millis) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for at := clock.Millis(0); at < span; at += 100 {
			_, _ = io.WriteString(w, "data: piece\n\n")
			_ = http.NewResponseController(w).Flush()
			if c.Sleep(r.Context(), 100) != nil {
				return
			}
		}
	}
}

// TestPartOfAllRequests guards against a part that all requests share and that is held back since upstreams crashed by
// themselves.
func TestPartOfAllRequests(t *testing.T) {
	const (
		// crashMs is when the upstreams crash, and backMs when requests must begin again.
		crashMs = 6 * clock.Second
		backMs  = crashMs + upstreamRestartMs + 3*clock.Second
		// newFrom is a request that is sent 1.5 s before the crash.
		newFrom = 25
	)
	for _, c := range []struct {
		name   string
		count  int
		from   int
		takes  clock.Millis
		stream clock.Millis
	}{
		{"all upstreams crash at once", partUpstreams, 1 << 30, 0, 0},
		{"half of the upstreams crash at once while they stream the first responses to the part", partUpstreams / 2, newFrom, 0, 15 * clock.Second},
		{"nearly all upstreams crash at once while they stream the first responses to the part", partUpstreams - 1, newFrom, 0, 15 * clock.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			runBesideOthers(t, func(f *fleet) {
				d := newPartDay(onPath("/stream/"), func(d *partDay) {
					d.fatal, d.sound, d.span = nil, commonPart(c.from), 18*time.Second
					d.crashEvery, d.crashCount, d.takesMs, d.soundInterval = time.Minute, c.count, c.takes, 100*time.Millisecond
					if c.stream > 0 {
						d.soundResponse = streamFor(f.clock, c.stream)
					}
				})
				d.run(f)
				d.mu.Lock()
				defer d.mu.Unlock()
				before, after := d.soundShare(0, crashMs-clock.Second), d.soundShare(backMs, f.clock.Monotonic()-2*clock.Second)
				f.t.Logf("%d crashes; sound requests begin %.3f before, %.3f after, %d of %d held back",
					len(d.othersMs), before, after, d.heldBack, len(d.calls))
				assert.GreaterOrEqual(f.t, after, 0.9*before)
			})
		})
	}
}
