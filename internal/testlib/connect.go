package testlib

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Connect returns both ends of a connection on real sockets.
func Connect(t *testing.T) (caller, conn net.Conn) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	caller, err = (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	conn, err = listener.Accept()
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	t.Cleanup(func() {
		_ = caller.Close()
		_ = conn.Close()
	})
	return caller, conn
}
