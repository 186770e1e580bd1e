package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/registry"
)

// lateConn is a connection whose reader gets data some time after it was read, as on a machine without a free processor.
type lateConn struct {
	net.Conn
	wait func()
}

func (c lateConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.wait()
	}
	return n, err
}

// TestCanceledAttemptIsNotRelayed guards against a stream that is cut off because its first event was read when the
// attempt had just timed out.
func TestCanceledAttemptIsNotRelayed(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		b := f.box(1, withManyRetries)
		dial := b.dial
		b.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			return lateConn{conn, func() { _ = f.clock.Sleep(context.Background(), 200) }}, err
		}
		var arrivals atomic.Int32
		for _, id := range []string{"ua", "ub"} {
			address := f.server(id, func(w http.ResponseWriter, r *http.Request) {
				w.Header()["X-Id"] = r.Header["X-Id"]
				if arrivals.Add(1) == 1 {
					// The first byte is due within twice the route's objective of 500 ms.
					_ = f.clock.Sleep(r.Context(), 900)
				}
				streamOf("v1", func(w http.ResponseWriter, _ *http.Request) {
					_, _ = w.Write([]byte("id: 4\ndata: v1\n\nid: 5\ndata: v1\n\n"))
				})(w, r)
			})
			// With a start time, a box that has just started doubts the version, so that no other upstream may continue.
			f.store.put(registry.Upstream{
				ID: id, Pool: "p", Address: address, FailureDomain: "d", SoftwareVersion: "v1", StartedMs: 1, Slots: 64,
			})
		}
		advance(f.t, time.Second)
		status, body, err := b.get("/resumable/")
		require.NoError(f.t, err)
		assert.Equal(f.t, http.StatusOK, status)
		assert.Len(f.t, versionsIn(body), 5)
	})
}
