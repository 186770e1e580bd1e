package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/pkg/config"
)

// TestIdleStreamsKeepTheirUpstreamWithoutRetries guards against streams that are given up at the same time for fewer
// retries than there are streams, so that the rest of them is broken off.
func TestIdleStreamsKeepTheirUpstreamWithoutRetries(t *testing.T) {
	const streams, slack = 8, 3
	for name, cause := range map[string]func(f *fleet, b *running){
		"all pause": func(*fleet, *running) {},
		"their path is down": func(f *fleet, b *running) {
			_, changed := b.balance.RecordProbe("d", false)
			assert.True(f.t, changed)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				f.upstreamIn("ua", "d", streamOf("ua", func(w http.ResponseWriter, r *http.Request) {
					_ = f.clock.Sleep(r.Context(), 2000)
					_, _ = w.Write([]byte("id: 4\ndata: ua\n\nid: 5\ndata: ua\n\n"))
				}))
				b := f.box(1, func(g *config.Gateway) { g.Budget.Slack = slack })
				advance(f.t, time.Second)
				callers := sync.WaitGroup{}
				for range streams {
					callers.Go(func() {
						_, body, err := b.get("/resumable/")
						assert.Len(f.t, versionsIn(body), 5)
						assert.NoError(f.t, err)
					})
				}
				advance(f.t, 100*time.Millisecond)
				f.upstreamIn("ub", "e", streamOf("ub", func(w http.ResponseWriter, _ *http.Request) {
					_, _ = w.Write([]byte("id: 4\ndata: ub\n\nid: 5\ndata: ub\n\n"))
				}))
				advance(f.t, 200*time.Millisecond)
				cause(f, b)
				callers.Wait()
			})
		})
	}
}

// TestIdleStreamKeepsItsUpstreamWhileKeysAreStale guards against a stream that is given up although nothing may be sent
// for it, as the box can't know whether its key is still valid.
func TestIdleStreamKeepsItsUpstreamWhileKeysAreStale(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		for _, id := range []string{"ua", "ub"} {
			f.upstreamIn(id, "d", streamOf(id, func(w http.ResponseWriter, r *http.Request) {
				_ = f.clock.Sleep(r.Context(), 2000)
				_, _ = w.Write([]byte("id: 4\ndata: end\n\nid: 5\ndata: end\n\n"))
			}))
		}
		b := f.box(1, withManyRetries)
		advance(f.t, time.Second)
		f.store.setUnavailable("box-1", true)
		advance(f.t, maxAgeMs*time.Millisecond-500*time.Millisecond)
		_, body, err := b.get("/resumable/")
		require.NoError(f.t, err)
		assert.Len(f.t, versionsIn(body), 5)
	})
}
