package server

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/socket"
)

// startConnect begins to open a connection and doesn't wait for it.
func startConnect(t *testing.T, address net.Addr) {
	t.Helper()
	tcp, ok := address.(*net.TCPAddr)
	require.True(t, ok)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, unix.Close(fd)) })
	require.ErrorIs(t, unix.Connect(fd, &unix.SockaddrInet4{Port: tcp.Port, Addr: [4]byte(tcp.IP.To4())}), unix.EINPROGRESS)
}

// TestAwaitAcceptedBesideNewConnections guards against connections that are reset since a box that stops accepts more
// slowly than new ones arrive.
func TestAwaitAcceptedBesideNewConnections(t *testing.T) {
	for _, c := range []struct {
		name     string
		pollMs   clock.Millis
		maxPolls int
	}{
		{"a process that runs", acceptPollMs, openAcceptPolls + lastAcceptPolls},
		{"a process with little processor time", openAcceptMs, 1 + lastAcceptPolls},
	} {
		t.Run(c.name, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { assert.NoError(t, inner.Close()) })
			accept := func() {
				conn, err := inner.Accept()
				require.NoError(t, err)
				require.NoError(t, conn.Close())
			}
			startConnect(t, inner.Addr())
			polls, now := 0, clock.Millis(1)
			fake := clock.New(clock.WithMonotonic(func() clock.Millis { return now }),
				clock.WithSleep(func(context.Context, clock.Millis) error {
					polls, now = polls+1, now+c.pollMs
					accept()
					startConnect(t, inner.Addr())
					startConnect(t, inner.Addr())
					return nil
				}))
			NewListener(inner, fake, nil, nil).AwaitAccepted(t.Context())
			left := 0
			for ; socket.System().MayHaveWaiting(inner); left++ {
				accept()
			}
			assert.LessOrEqual(t, left, 2, "connections that wait to be accepted")
			assert.LessOrEqual(t, polls, c.maxPolls)
		})
	}
}
