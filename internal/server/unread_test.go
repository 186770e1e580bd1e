package server

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/testlib"
)

// TestUnreadBytesAreBounded guards against processes that are killed for what the kernel holds of many uploads which
// they have not read.
func TestUnreadBytesAreBounded(t *testing.T) {
	const unreadBytes = 32 << 10
	l, err := ListenBuffered(unreadBytes)("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	caller, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	accepted, err := l.Accept()
	require.NoError(t, err)
	defer func() { _ = accepted.Close() }()
	// Linux doubles the size, for what it needs itself.
	assert.LessOrEqual(t, testlib.ReceiveBuffer(t, accepted), 2*unreadBytes)
	assert.GreaterOrEqual(t, testlib.ReceiveBuffer(t, accepted), unreadBytes)
}
