package upstream

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"dooryard.example/dooryard/internal/clock"
)

// TestAnsweredDialOutlastsTimeout guards against upstreams that count as unreachable because this process got no
// processor time to learn of their answer.
func TestAnsweredDialOutlastsTimeout(t *testing.T) {
	const takes = 10 * connectTimeoutMs
	for _, c := range []struct {
		name       string
		answered   bool
		ends       clock.Millis
		unanswered bool
	}{
		{"a peer that has answered", true, takes, false},
		{"a peer that has not answered", true, connectTimeoutMs, true},
		{"a dial that tells nothing", false, connectTimeoutMs, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
					d, ok := ctx.Value(dialingKey{}).(*dialing)
					require.True(t, ok)
					if c.answered {
						unanswered := func() bool { return c.unanswered }
						d.unanswered.Store(&unanswered)
					}
					if err := clock.New().Sleep(ctx, takes); err != nil {
						return nil, err
					}
					conn, _ := net.Pipe()
					return conn, nil
				}
				client := New("127.0.0.1:1", clock.New().Monotonic, WithDial(dial))
				_, err := client.dialUpstream(t.Context())
				assert.Equal(t, c.ends.Duration(), time.Since(start))
				assert.Equal(t, c.unanswered, err != nil)
				assert.Equal(t, c.unanswered, client.Dials().Failing())
				assert.Equal(t, c.unanswered, client.Dials().Unresponsive)
			})
		})
	}
	t.Run("a caller that leaves", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		client := New("127.0.0.1:1", clock.New().Monotonic)
		_, err := client.dialUpstream(ctx)
		require.ErrorIs(t, err, context.Canceled)
		assert.False(t, client.Dials().Failing())
	})
}

// TestIsUnanswered guards against a peer that drops connections and counts as having answered, and the reverse.
func TestIsUnanswered(t *testing.T) {
	open := func() *os.File {
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
		require.NoError(t, err)
		file := os.NewFile(uintptr(fd), "socket")
		t.Cleanup(func() { _ = file.Close() })
		return file
	}
	listener := open()
	require.NoError(t, unix.Bind(int(listener.Fd()), &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, unix.Listen(int(listener.Fd()), 0))
	address, err := unix.Getsockname(int(listener.Fd()))
	require.NoError(t, err)
	rawOf := func(file *os.File) syscall.RawConn {
		raw, err := file.SyscallConn()
		require.NoError(t, err)
		return raw
	}
	answered, dropped := open(), open()
	require.NoError(t, unix.Connect(int(answered.Fd()), address))
	assert.False(t, isUnanswered(rawOf(answered)))
	// The queue of the listener is full.
	require.NoError(t, unix.SetNonblock(int(dropped.Fd()), true))
	require.ErrorIs(t, unix.Connect(int(dropped.Fd()), address), unix.EINPROGRESS)
	raw := rawOf(dropped)
	assert.True(t, isUnanswered(raw))
	require.NoError(t, dropped.Close())
	assert.False(t, isUnanswered(raw), "a closed socket")
}
