package dispatch

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/upstream"
)

// newLoop returns a loop that reads responses, and the memory that they take.
func newLoop(tb testing.TB) (*retryLoop, *exchange.Memory) {
	tb.Helper()
	memory := exchange.NewMemory(64 << 20)
	return &retryLoop{
		pipe: New(Dependencies{Memory: memory, Clock: clock.New()}), ctx: tb.Context(),
		request: &opaque.Request{
			HTTP:   httptest.NewRequestWithContext(tb.Context(), http.MethodGet, "/", nil),
			Writer: exchange.NewWriter(httptest.NewRecorder()),
		},
	}, memory
}

func responseOf(body io.Reader, length int64) *upstream.Response {
	return &upstream.Response{Response: &http.Response{Body: io.NopCloser(body), ContentLength: length}}
}

// TestReadBody guards against bodies that are read wrongly at the limits of their buffers, or are not counted.
func TestReadBody(t *testing.T) {
	for _, size := range []int{
		0, 1, firstPartBytes - 1, firstPartBytes, firstPartBytes + 1, maxPartBytes, 5*maxPartBytes + 7, maxResponseBytes,
		maxResponseBytes + 1,
	} {
		for name, length := range map[string]int64{"declared": int64(size), "unknown": -1} {
			t.Run(fmt.Sprint(size, " bytes, ", name), func(t *testing.T) {
				s, memory := newLoop(t)
				data := bytes.Repeat([]byte("0123456"), size/7+1)[:size]
				body, got, err := s.readBody(responseOf(bytes.NewReader(data), length), func() {})
				if size > maxResponseBytes {
					require.ErrorIs(t, err, errTooLarge)
				} else {
					require.NoError(t, err)
					assert.True(t, bytes.Equal(data, bytes.Join(body, nil)))
					assert.Equal(t, size, got)
				}
				assert.GreaterOrEqual(t, memory.Sizes().UsedBytes, int64(got))
				s.releaseBody()
				assert.Zero(t, memory.Sizes().UsedBytes)
			})
		}
	}
}

// BenchmarkReadBody measures the reading of a body into counted parts, and into one buffer that grows.
func BenchmarkReadBody(b *testing.B) {
	for _, size := range []int{500, 20_000, 2 << 20} {
		data := make([]byte, size)
		b.Run(fmt.Sprint("parts/", size), func(b *testing.B) {
			s, _ := newLoop(b)
			b.ReportAllocs()
			for b.Loop() {
				_, _, err := s.readBody(responseOf(bytes.NewReader(data), int64(size)), func() {})
				require.NoError(b, err)
				s.releaseBody()
			}
		})
		b.Run(fmt.Sprint("growing/", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, err := io.ReadAll(responseOf(bytes.NewReader(data), int64(size)))
				require.NoError(b, err)
			}
		})
	}
}
