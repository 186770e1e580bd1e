package relay

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/position"
)

// silentConn drops what is written once it is silent.
type silentConn struct {
	net.Conn
	silent atomic.Bool
}

func (c *silentConn) Write(data []byte) (int, error) {
	if c.silent.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// TestFetchAfterSilence guards against news that wait for a connection between two boxes that has gone silent for good.
func TestFetchAfterSilence(t *testing.T) {
	tracker, r, evacuations := newState(t, 3)
	server := httptest.NewServer(Handler(tracker, r, evacuations))
	defer server.Close()
	conns, mu := []*silentConn{}, sync.Mutex{}
	c := NewClient(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		mu.Lock()
		defer mu.Unlock()
		conns = append(conns, &silentConn{Conn: conn})
		return conns[len(conns)-1], nil
	})
	for range 2 {
		reply, err := c.Fetch(t.Context(), strings.TrimPrefix(server.URL, "http://"), 0, position.At(0, 1))
		require.NoError(t, err)
		assert.Len(t, reply.Upstreams.Changes, 2)
		for _, conn := range conns {
			conn.silent.Store(true)
		}
	}
}
