package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/pkg/config"
)

// TestAnnouncedLengthPanicsNoHandler guards against callers whose connections end since an upstream announces a length
// that can't be counted.
func TestAnnouncedLengthPanicsNoHandler(t *testing.T) {
	for _, length := range []int{1<<63 - 1, 1<<63 - 2, 1 << 40} {
		t.Run(strconv.Itoa(length), func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				f.upstream("u1", func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Content-Length", strconv.Itoa(length))
					_, _ = w.Write([]byte("begun"))
				})
				b := f.box(1)
				advance(f.t, time.Second)
				assertStatus(f.t, b, "/unsafe/", http.StatusBadGateway)
				advance(f.t, time.Second)
				assert.Zero(f.t, b.count("handler_panics"))
			})
		})
	}
}

// TestHandlerPanicLeavesNothingBehind guards against a box that counts requests for ever after their handlers panicked,
// and against callers that send the next request on a connection that is then closed.
func TestHandlerPanicLeavesNothingBehind(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		f.upstream("u1", respondWith("done"))
		b := f.box(1, func(g *config.Gateway) { g.Capacity.MemoryMb = 16 })
		advance(f.t, time.Second)
		large := call{method: http.MethodPost, path: "/unsafe/", id: "1", key: key, body: strings.Repeat("b", 1<<20)}
		decode := b.dialect.DecodeSignals
		b.dialect.DecodeSignals = func(int, http.Header) opaque.Signals { panic("broken") }
		for range 32 {
			response, err := b.send(f.t.Context(), large)
			require.NoError(f.t, err)
			require.NoError(f.t, response.Body.Close())
			assert.Equal(f.t, http.StatusBadGateway, response.StatusCode)
			assert.True(f.t, response.Close, "the caller is told that the connection ends")
		}
		advance(f.t, time.Second)
		assert.EqualValues(f.t, 32, b.count("handler_panics"))
		assert.Zero(f.t, f.inFlightAt(b))
		b.dialect.DecodeSignals = decode
		response, err := b.send(f.t.Context(), large)
		require.NoError(f.t, err)
		require.NoError(f.t, response.Body.Close())
		assert.Equal(f.t, http.StatusOK, response.StatusCode)
	})
}
