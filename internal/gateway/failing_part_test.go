package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
)

// TestRequestsThatAlwaysFail guards against upstreams that are judged by requests which fail wherever they go: those of
// one caller must not take the upstreams, or the retries, from others.
func TestRequestsThatAlwaysFail(t *testing.T) {
	for name, fail := range map[string]http.HandlerFunc{
		"with an error":            func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"with a broken connection": abortConnection,
		"with silence":             func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	} {
		for _, path := range []string{"/safe/", "/sticky/", "/unsafe/"} {
			t.Run(name+" on "+path, func(t *testing.T) {
				runWithFleet(t, func(f *fleet) { playFailures(f, fail, path) })
			})
		}
	}
}

// playFailures sends sound requests, a third as many of which fail at each upstream, and checks how many are served.
func playFailures(f *fleet, fail http.HandlerFunc, path string) {
	const (
		perSecond = 90
		span      = 10 * time.Second
		// failing is the number of requests of which one fails.
		failing = 4
		// minServed is the share of sound requests that must be served at the first try.
		minServed = 0.95
	)
	for i := range 6 {
		f.upstream(fmt.Sprint("u", i), func(w http.ResponseWriter, r *http.Request) {
			// The server notices a closed connection once the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			_ = f.clock.Sleep(r.Context(), 30*clock.Millis(1))
			if strings.HasPrefix(r.Header.Get("X-Id"), "failing") {
				fail(w, r)
				return
			}
			_, _ = io.WriteString(w, "done")
		})
	}
	boxes := f.boxes(3)
	advance(f.t, 2*time.Second)
	var (
		sending      sync.WaitGroup
		mu           sync.Mutex
		sent, served int
	)
	interval := time.Second / perSecond
	for i := range int(span / interval) {
		sending.Go(func() {
			id := fmt.Sprint("sound", i)
			if i%failing == 0 {
				id = fmt.Sprint("failing", i)
			}
			ctx, cancel := context.WithTimeout(f.t.Context(), 2*time.Second)
			defer cancel()
			status := 0
			response, err := boxes[i%len(boxes)].send(ctx, call{
				method: http.MethodPost, path: path, id: id, key: key, body: id,
				header: http.Header{"X-Prompt": {fmt.Sprintf("head:100,s%d:50,own%d:10", i%9, i)}},
			})
			if err == nil {
				status = response.StatusCode
				_ = response.Body.Close()
			}
			mu.Lock()
			defer mu.Unlock()
			if i%failing != 0 {
				sent++
				if status == http.StatusOK {
					served++
				}
			}
		})
		advance(f.t, interval)
	}
	sending.Wait()
	require.NotZero(f.t, sent)
	f.t.Logf("%d of %d sound requests served", served, sent)
	assert.GreaterOrEqual(f.t, float64(served), minServed*float64(sent))
}
