package gateway

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/server"
)

// TestCallerConn guards against a broken response whose connection is closed in order on a real socket, where the
// connection is wrapped.
func TestCallerConn(t *testing.T) {
	for _, c := range []struct {
		name   string
		broken bool
		want   error
	}{{"is closed in order", false, nil}, {"is reset after a broken response", true, syscall.ECONNRESET}} {
		t.Run(c.name, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			listener := newCallerListener(inner, 1, exchange.NewMemory(1<<20), clock.New())
			caller, err := net.Dial("tcp", inner.Addr().String())
			require.NoError(t, err)
			conn, err := listener.Accept()
			require.NoError(t, err)
			if c.broken {
				resetCallerConn(withCallerConn(t.Context(), conn))
			}
			require.NoError(t, conn.Close())
			_, err = io.ReadAll(caller)
			require.ErrorIs(t, err, c.want)
			require.NoError(t, caller.Close())
			assert.Empty(t, listener.slots, "a closed connection takes no slot")
			require.NoError(t, listener.Close())
			_, err = listener.Accept()
			assert.ErrorIs(t, err, net.ErrClosed)
		})
	}
}

// TestDrainAcceptsConnectionsThatWait guards against callers whose new connections are reset when a box stops.
func TestDrainAcceptsConnectionsThatWait(t *testing.T) {
	const connections = 50
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := newCallerListener(
		server.NewListener(inner, clock.New(), nil, nil), connections, exchange.NewMemory(1<<20), clock.New())
	for range connections {
		caller, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = caller.Close() })
	}
	accepted := 0
	accepting := sync.WaitGroup{}
	accepting.Go(func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			accepted++
			assert.NoError(t, conn.Close())
		}
	})
	require.NoError(t, listener.drain(t.Context()))
	accepting.Wait()
	assert.Equal(t, connections, accepted)
}

// TestEvictedConnectionPassesNothingOn guards against a request that is sent to an upstream although its connection was
// closed in favour of another one.
func TestEvictedConnectionPassesNothingOn(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t := f.t
		served := atomic.Int64{}
		f.upstream("u1", func(w http.ResponseWriter, _ *http.Request) {
			served.Add(1)
			advance(t, time.Second)
			_, _ = io.WriteString(w, "done")
		})
		b := f.box(1, withConnectionLimit(1))
		kept := b.connect(b.settings.CallersAddress)
		text := requestText("/unsafe/", "Content-Length: 0\r\n")
		kept.write(text + text)
		waiting := b.connect(b.settings.CallersAddress)
		kept.assertServed()
		_, err := kept.reader.ReadByte()
		require.Error(t, err, "the connection is closed in favour of the waiting one")
		waiting.write(text)
		waiting.assertServed()
		assert.EqualValues(t, 2, served.Load(), "requests that reached the upstream")
	})
}
