package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestSurvivesClose guards against taking the kernel of a process that is gone for the process, since the kernel accepts
// connections until it has closed the listening socket.
func TestSurvivesClose(t *testing.T) {
	const never = time.Hour
	for _, c := range []struct {
		name                      string
		listens, confirms, cancel time.Duration
		want                      Survival
		took                      time.Duration
	}{
		{"a process that responds", never, time.Millisecond, never, Responding, time.Millisecond},
		{"a process that accepts connections and never responds", never, never, never, Accepting, closeSettleMs.Duration()},
		{"a process whose listener goes first", 0, never, never, Gone, 0},
		{"a process whose listener goes last", closeSettleMs.Duration() - 1, never, never, Gone, closeSettleMs.Duration()},
		{"a request that is given up", never, never, time.Millisecond, Gone, time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), c.cancel)
				defer cancel()
				start := time.Now()
				accepts := func() Liveness {
					if time.Since(start) < c.listens {
						return Alive
					}
					return Dead
				}
				responds := func(ctx context.Context) bool {
					select {
					case <-ctx.Done():
						return false
					case <-time.After(c.confirms):
						return true
					}
				}
				assert.Equal(t, c.want, SurvivesClose(ctx, accepts, responds))
				assert.Equal(t, c.took, time.Since(start))
			})
		})
	}
}

// TestRespondsTo guards against a connection for each health check, and against one that is used after its process.
func TestRespondsTo(t *testing.T) {
	t.Run("any response counts, and its connection is used again", func(t *testing.T) {
		s := startUpstream(t, func(conn net.Conn, reader *bufio.Reader) {
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				assert.Equal(t, "/health", r.URL.Path)
				_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 3\r\n\r\nno\n")
			}
		})
		c := s.client()
		require.True(t, c.RespondsTo(t.Context(), "/health"))
		require.Len(t, c.idle, 1)
		assert.True(t, c.RespondsTo(t.Context(), "/health"))
	})
	t.Run("a connection that is reset is no response", func(t *testing.T) {
		c := startUpstream(t, func(conn net.Conn, _ *bufio.Reader) { closeWithReset(conn) }).client()
		assert.False(t, c.RespondsTo(t.Context(), "/health"))
		assert.Empty(t, c.idle)
	})
}
