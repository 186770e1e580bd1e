package inbound

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
)

// slowReader is a connection whose reader does not run for some time after it has taken bytes from the socket.
type slowReader struct {
	*net.TCPConn
	meanwhile func()
}

func (c slowReader) Read(data []byte) (int, error) {
	defer c.meanwhile()
	return c.TCPConn.Read(data)
}

func (c slowReader) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return slowRaw{raw, c.meanwhile}, err
}

type slowRaw struct {
	syscall.RawConn
	meanwhile func()
}

func (r slowRaw) Read(read func(fd uintptr) bool) error {
	defer r.meanwhile()
	return r.RawConn.Read(read)
}

// TestEvictionBesideRead guards against a connection that is closed as idle while a goroutine that has read a request
// waits for a processor.
func TestEvictionBesideRead(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, inner.Close()) }()
	caller, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	defer func() { require.NoError(t, caller.Close()) }()
	socket, err := inner.Accept()
	require.NoError(t, err)
	tcp, ok := socket.(*net.TCPConn)
	require.True(t, ok)
	var conn *Conn
	reader := slowReader{tcp, func() { assert.False(t, conn.evict(connNew), "evicted") }}
	conn = NewListener(inner, 1, exchange.NewMemory(1<<20), clock.New()).add(reader, false)
	send(t, caller)
	assertReadable(t, conn)
	require.NoError(t, conn.Close())
}
