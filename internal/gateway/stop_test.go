package gateway

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// lines collects log lines.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lines) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(data)
}

// with returns the lines that contain a text.
func (l *lines) with(text string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := []string{}
	for line := range strings.Lines(l.text.String()) {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

// TestStopReportsCutRequests guards against a stop that counts as failed because requests outlast the grace period.
func TestStopReportsCutRequests(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t := f.t
		out := &lines{}
		f.out = out
		f.upstream("u1", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		b := f.box(1, withGrace(3))
		go func() { _, _, _ = b.get("/unsafe/") }()
		synctest.Wait()
		b.stop()
		advance(t, 4*time.Second)
		require.NoError(t, <-b.done)
		b.done <- nil
		for _, stage := range []string{"stopping", "listeners close", "requests cut"} {
			found := out.with(stage)
			require.Len(t, found, 1, stage)
			assert.Contains(t, found[0], `"in_flight":1`)
		}
	})
}
