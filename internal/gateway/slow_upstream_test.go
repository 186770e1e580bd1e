package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestSlowUpstreamWithoutOthers guards against a request that is broken off since its upstream takes long, although no
// other upstream may receive it.
func TestSlowUpstreamWithoutOthers(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		f.upstreamVersion("ua", "d", "v1", func(w http.ResponseWriter, r *http.Request) {
			_ = f.clock.Sleep(r.Context(), 2000)
			_, _ = w.Write([]byte("late"))
		})
		b := f.box(1, withManyRetries)
		advance(f.t, time.Second)
		done := make(chan struct{})
		go func() {
			defer close(done)
			status, body, err := b.get("/safe/")
			assert.NoError(f.t, err)
			assert.Equal(f.t, http.StatusOK, status)
			assert.Equal(f.t, "late", body)
		}()
		advance(f.t, 5*time.Second)
		require.True(f.t, isClosed(done))
	})
}
