package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestIdleStreamIsNotCutOff guards against a stream that is broken off because it pauses, although no other upstream may
// continue it.
func TestIdleStreamIsNotCutOff(t *testing.T) {
	for name, others := range map[string][]string{
		"the others run another version": {"ub-v2", "uc-v2"},
		"there are no others":            nil,
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				f.upstreamVersion("ua", "d", "v1", func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set("Content-Type", "text/event-stream")
					_, _ = w.Write([]byte("id: 1\ndata: v1\n\n"))
					_ = http.NewResponseController(w).Flush()
					_ = f.clock.Sleep(r.Context(), 3000)
					_, _ = w.Write([]byte("id: 2\ndata: v1\n\n"))
				})
				b := f.box(1, withManyRetries)
				advance(f.t, time.Second)
				done := make(chan struct{})
				go func() {
					defer close(done)
					status, body, err := b.get("/resumable/")
					assert.NoError(f.t, err)
					assert.Equal(f.t, http.StatusOK, status)
					assert.Equal(f.t, []string{"v1", "v1"}, versionsIn(body))
				}()
				advance(f.t, 100*time.Millisecond)
				for _, id := range others {
					f.upstreamVersion(id, "d", "v2", streamOf("v2", pause))
				}
				advance(f.t, 5*time.Second)
				require.True(f.t, isClosed(done))
			})
		})
	}
}
