package inbound

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/guard"
)

// panickingConn is a connection whose reads panic.
type panickingConn struct{ net.Conn }

func (panickingConn) Read([]byte) (int, error) { panic("broken") }

// TestPanicInReadEndsOnlyTheConnection guards against a process that ends because the server reads ahead of a request in
// its own goroutine, which recovers no panics.
func TestPanicInReadEndsOnlyTheConnection(t *testing.T) {
	panics := 0
	defer guard.Handle(func(guard.Panic) { panics++ })()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, inner.Close()) }()
	caller, box := net.Pipe()
	defer func() { require.NoError(t, caller.Close()) }()
	conn := NewListener(inner, 1, exchange.NewMemory(1<<20), clock.New()).add(panickingConn{box}, false)
	_, err = conn.Read(make([]byte, readAheadBytes))
	require.ErrorIs(t, err, errReadPanicked)
	assert.Equal(t, 1, panics)
	require.NoError(t, conn.Close())
}
