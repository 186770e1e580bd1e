package gateway

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/pkg/config"
)

// respondLate returns a handler that takes some time.
func respondLate(t *testing.T, span time.Duration) http.HandlerFunc {
	t.Helper()
	return func(w http.ResponseWriter, _ *http.Request) {
		advance(t, span)
		_, _ = io.WriteString(w, "done")
	}
}

// TestNextProcessServesBesideDrain guards against a box that nobody serves between the close of the listeners of a
// process and its end, because that process keeps an address that the next one needs.
func TestNextProcessServesBesideDrain(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t := f.t
		out := &logBuffer{}
		f.out = out
		f.upstream("u", respondLate(t, 3500*time.Millisecond))
		other := f.box(2)
		drains := f.box(1, withContact(other))
		drains.stop()
		next := f.box(1, withContact(other))
		advance(t, maxAnnounceMs.Duration()-200*time.Millisecond)
		caller := drains.connect(drains.settings.CallersAddress)
		caller.write(requestText("/unsafe/", "Content-Length: 0\r\n"))
		advance(t, 500*time.Millisecond)
		later := next.connect(next.settings.CallersAddress)
		later.write(requestText("/unsafe/", "Content-Length: 0\r\n"))
		synctest.Wait()
		assert.Equal(t, http.StatusOK, next.probeReadiness())
		assert.EqualValues(t, 1, next.requests.Load(), "the next process serves new callers")
		assert.EqualValues(t, 1, drains.requests.Load(), "the other one still runs a request")
		advance(t, time.Second)
		key := namekey.Of("u")
		assert.Equal(t, 2, other.peering.mesh.OthersInFlight()[key], "another box knows the requests of both")
		assert.Equal(t, 1, next.peering.mesh.OthersInFlight()[key], "the next process knows the other one's")
		assert.Equal(t, 2, other.peering.mesh.KnownBoxes())
		assert.Equal(t, 2, other.peering.mesh.Boxes(), "the next process doesn't count as draining")
		caller.assertServed()
		advance(t, time.Second)
		drains.assertStopped()
		later.assertServed()
		assert.Empty(t, out.with("process paused"), "a wait for an address is no pause")
		assert.Empty(t, out.with("input ignored"))
	})
}

// TestProcessesWaitForTheirTurn guards against processes of a box that end by themselves while another one serves, and
// against callers without a box once that one stops.
func TestProcessesWaitForTheirTurn(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t := f.t
		f.upstream("u", respondWith("done"))
		serves, stopped, waits := f.box(1), f.box(1), f.box(1)
		advance(t, time.Minute)
		assertStatus(t, serves, "/safe/", http.StatusOK)
		stopped.stop()
		synctest.Wait()
		stopped.assertStopped()
		serves.stop()
		advance(t, maxAnnounceMs.Duration()+300*time.Millisecond)
		assertStatus(t, waits, "/safe/", http.StatusOK)
		advance(t, 2*time.Second)
		serves.assertStopped()
		assert.True(t, waits.Ready())
	})
}

// TestScrapeInHandover guards against a scrape of the metrics that is cut because the next process gets their address.
func TestScrapeInHandover(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t := f.t
		f.upstream("u", respondWith("done"))
		b := f.box(1, func(g *config.Gateway) { g.MetricsAddress = "127.0.0.1:1030" })
		synctest.Wait()
		scraper := b.connect(b.settings.MetricsAddress)
		scraper.write("GET /metrics HTTP/1.1\r\nHost: box\r\n\r\n")
		synctest.Wait()
		b.stop()
		advance(t, maxAnnounceMs.Duration()+200*time.Millisecond)
		status, body := scraper.read()
		assert.Equal(t, http.StatusOK, status)
		assert.Contains(t, body, "routing_state")
		advance(t, time.Minute)
		b.assertStopped()
	})
}
