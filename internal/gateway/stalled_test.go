package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/pkg/config"
)

const (
	stalledBoxes     = 6
	stalledUpstreams = 12
	// minStalledShare is how often boxes whose paths stall must serve first tries, relative to other boxes.
	minStalledShare = 2.0 / 3
	// minSettledShare is the share that they must serve from stallSettleMs after the stall began.
	minSettledShare               = 0.9
	stallSettleMs    clock.Millis = 4000
	stallRequestStep              = 12 * time.Millisecond
)

// stallDay is a run in which the data between some boxes and some upstreams gets lost for a while, although connections
// open. All boxes get requests of each kind.
type stallDay struct {
	fleet *fleet
	boxes []*running

	mu     sync.Mutex
	random *rand.Rand
	calls  []stallCall
}

// stallCall is a caller's first try.
type stallCall struct {
	box     int
	sentMs  clock.Millis
	status  int
	tookMs  clock.Millis
	hasBody bool
}

func (c stallCall) served() bool { return c.status == http.StatusOK && c.hasBody }

func newStallDay(f *fleet, handler http.HandlerFunc) *stallDay {
	d := &stallDay{fleet: f, random: rand.New(rand.NewPCG(53, 1))}
	for i := range stalledUpstreams {
		f.upstreamIn(fmt.Sprint("u", i), fmt.Sprint("d", i%restartDomains), handler)
	}
	for i := range stalledBoxes {
		change := []func(g *config.Gateway){withDomain(fmt.Sprint("d", i%restartDomains))}
		if i > 0 {
			change = append(change, withContact(d.boxes[0]))
		}
		d.boxes = append(d.boxes, f.box(i+1, change...))
	}
	advance(f.t, 2*time.Second)
	return d
}

// sendFor sends requests to all boxes for some time and returns when it began.
func (d *stallDay) sendFor(span time.Duration) (startMs clock.Millis) {
	startMs = d.fleet.clock.Monotonic()
	var sending sync.WaitGroup
	defer sending.Wait()
	for i := range int(span / stallRequestStep) {
		sending.Go(func() { d.send(i) })
		advance(d.fleet.t, stallRequestStep)
	}
	return startMs
}

func (d *stallDay) send(number int) {
	d.mu.Lock()
	c := stallCall{box: d.random.IntN(len(d.boxes)), sentMs: d.fleet.clock.Monotonic()}
	path := routes()[d.random.IntN(len(routes()))]
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(d.fleet.t.Context(), 4*time.Second)
	defer cancel()
	response, err := d.boxes[c.box].send(ctx, call{
		method: http.MethodPost, path: path, id: fmt.Sprint(c.sentMs, "-", number), key: key, body: "x",
		header: http.Header{"X-Prompt": {fmt.Sprint("s", number%20, ":100,own:10")}},
	})
	if err == nil {
		c.status = response.StatusCode
		_, err = io.ReadAll(response.Body)
		c.hasBody = err == nil
		_ = response.Body.Close()
	}
	c.tookMs = d.fleet.clock.Monotonic() - c.sentMs
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = append(d.calls, c)
}

// share returns the share of first tries that some boxes served among those sent in a span.
func (d *stallDay) share(boxes func(box int) bool, from, to clock.Millis) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	sent, served := 0, 0
	for _, c := range d.calls {
		if !boxes(c.box) || c.sentMs < from || c.sentMs >= to {
			continue
		}
		sent++
		if c.served() {
			served++
		}
	}
	return float64(served) / float64(max(1, sent))
}

// TestStalledPaths guards against callers that wait at a box whose connections to upstreams open, but pass nothing on.
func TestStalledPaths(t *testing.T) {
	for _, c := range []struct {
		name  string
		boxes int
		span  time.Duration
	}{
		{"of one box", 1, 12 * time.Second},
		{"of two boxes", 2, 12 * time.Second},
		{"of most boxes", 4, 12 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				d := newStallDay(f, respondAfter(30))
				stalled := func(box int) bool { return box < c.boxes }
				d.sendFor(4 * time.Second)
				names := []string{}
				for i := range c.boxes {
					names = append(names, d.boxes[i].settings.Box)
				}
				f.network.SetStall(fromUpstreams(names...))
				start := d.sendFor(c.span)
				f.network.SetStall(func(string, string) bool { return false })
				end := d.sendFor(4 * time.Second)
				others := d.share(func(box int) bool { return !stalled(box) }, start, end)
				all := d.share(stalled, start, end)
				settled := d.share(stalled, start+stallSettleMs, end)
				after := d.share(stalled, end+clock.Second, end+4*clock.Second)
				t.Logf("served meanwhile: %.3f at stalled boxes, %.3f from 4 s on, %.3f at others; %.3f after", all, settled, others, after)
				assert.GreaterOrEqual(t, all, minStalledShare*others)
				assert.GreaterOrEqual(t, settled, minSettledShare)
				assert.GreaterOrEqual(t, others, 0.95)
				assert.GreaterOrEqual(t, after, 0.99)
				for i := range c.boxes {
					assert.Empty(t, d.boxes[i].balance.Unreachable(), "box %d serves by itself again", i+1)
				}
			})
		})
	}
}

// respondAfter responds after some milliseconds.
func respondAfter(ms clock.Millis) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		if clock.New().Sleep(r.Context(), ms) == nil {
			respondInKind(w, r)
		}
	}
}
