package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
)

// TestSlowPoolKeepsRequests guards against canceling requests at slow upstreams, which then fail as the retry budget is
// used up, while all upstreams respond late.
func TestSlowPoolKeepsRequests(t *testing.T) {
	for _, c := range []struct {
		name   string
		takeMs clock.Millis
	}{
		{"all responses take 1.5 s", 1500},
		{"all responses take 3 s", 3000},
	} {
		t.Run(c.name, func(t *testing.T) {
			runBesideOthers(t, func(f *fleet) {
				arrivals := atomic.Int64{}
				respond := respondAfter(c.takeMs)
				d := newStallDay(f, func(w http.ResponseWriter, r *http.Request) {
					arrivals.Add(1)
					respond(w, r)
				})
				start := d.sendFor(8 * time.Second)
				share := d.share(func(int) bool { return true }, start, f.clock.Monotonic())
				sends := float64(arrivals.Load()) / float64(len(d.calls))
				t.Logf("%.3f served, %.3f sends a request", share, sends)
				assert.GreaterOrEqual(t, share, 0.99)
				assert.LessOrEqual(t, sends, 1.05)
			})
		})
	}
}
