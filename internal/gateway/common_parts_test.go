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
		// crashMs is when the upstreams crash, and newMs when the first requests with a new part are sent.
		crashMs = 7 * clock.Second
		newMs   = crashMs - 1500
		// Boxes may notice the crashes when the upstreams are back. Then comes a hold of holdMs, and a trial request, to which
		// an upstream responds after slowMs.
		slowMs = 2 * clock.Second
		holdMs = 2 * clock.Second
		backMs = crashMs + upstreamRestartMs + holdMs + slowMs + clock.Second
	)
	for _, c := range []struct {
		name       string
		count      int
		newMs      clock.Millis
		intervalMs clock.Millis
		takesMs    clock.Millis
		streamMs   clock.Millis
	}{
		{"all upstreams crash at once", partUpstreams, clock.FromDuration(time.Hour), 25, 0, 0},
		{"all upstreams crash at once before any responds to the part", partUpstreams, newMs, 25, slowMs, 0},
		{
			"half of the upstreams crash at once while they stream the first responses to the part",
			partUpstreams / 2, newMs, 100, 0, 15 * clock.Second,
		},
		{
			"nearly all upstreams crash at once while they stream the first responses to the part",
			partUpstreams - 1, newMs, 100, 0, 15 * clock.Second,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			runBesideOthers(t, func(f *fleet) {
				d := newPartDay(onPath("/stream/"), func(d *partDay) {
					const startMs = 3 * clock.Second
					d.fatal, d.sound, d.span = nil, commonPart(int((c.newMs-startMs)/c.intervalMs)), 18*time.Second
					d.crashEvery, d.crashCount = time.Minute, c.count
					d.soundInterval, d.takesMs = c.intervalMs.Duration(), c.takesMs
					if c.streamMs > 0 {
						d.soundResponse = streamFor(f.clock, c.streamMs)
					}
				})
				d.run(f)
				d.mu.Lock()
				defer d.mu.Unlock()
				before, after := d.soundShare(0, crashMs-clock.Second), d.soundShare(backMs, f.clock.Monotonic()-clock.Second)
				f.t.Logf("%d crashes; sound requests begin %.3f before, %.3f after, %d of %d held back",
					len(d.othersMs), before, after, d.heldBack, len(d.calls))
				assert.GreaterOrEqual(f.t, after, 0.9*before)
			})
		})
	}
}
