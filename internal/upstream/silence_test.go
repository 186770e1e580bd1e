package upstream

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/socket"
)

const (
	// soundSilenceMs is for how long a sound upstream may be silent: about a second, and what a busy host adds.
	soundSilenceMs = 2 * clock.Second
	// deadSilenceMs is how long a connection to a host that is gone may be kept at most.
	deadSilenceMs = 6 * clock.Second
)

// socketTimers are the options that decide when the kernel gives up a connection.
type socketTimers struct {
	userTimeoutMs, idleMs, intervalMs clock.Millis
	count                             int
}

func readTimers(t *testing.T, conn net.Conn) socketTimers {
	t.Helper()
	direct, ok := conn.(*socket.Conn)
	require.True(t, ok)
	raw, err := direct.SyscallConn()
	require.NoError(t, err)
	option := func(name int) int {
		value := 0
		require.NoError(t, raw.Control(func(fd uintptr) {
			value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name)
		}))
		require.NoError(t, err)
		return value
	}
	return socketTimers{
		userTimeoutMs: clock.Millis(option(unix.TCP_USER_TIMEOUT)), idleMs: clock.Millis(option(unix.TCP_KEEPIDLE)) * clock.Second,
		intervalMs: clock.Millis(option(unix.TCP_KEEPINTVL)) * clock.Second, count: option(unix.TCP_KEEPCNT),
	}
}

// probesGiveUpMs returns how long after the last packet from the peer keep-alive probes end a connection on which
// nothing is unacknowledged. As on Linux, a user timeout decides whatever the count: the connection ends at the first
// probe time after it, once a probe is unanswered.
func (s socketTimers) probesGiveUpMs() clock.Millis {
	atMs := s.idleMs
	for sent := 0; ; sent++ {
		if s.userTimeoutMs > 0 && sent > 0 && atMs >= s.userTimeoutMs || s.userTimeoutMs == 0 && sent >= s.count {
			return atMs
		}
		atMs += s.intervalMs
	}
}

// TestSilentUpstream guards against a connection that is given up, with the request on it, while a sound upstream is
// silent for a second: the user timeout ends it when data is unacknowledged, and also when keep-alive probes are.
func TestSilentUpstream(t *testing.T) {
	s := startUpstream(t, respondEach())
	conn, err := systemDial(t.Context(), "tcp", s.listener.Addr().String())
	require.NoError(t, err)
	timers := readTimers(t, conn)
	require.NoError(t, conn.Close())
	t.Run("unacknowledged data outlasts it", func(t *testing.T) { assertGiveUp(t, timers.userTimeoutMs) })
	t.Run("keep-alive probes outlast it", func(t *testing.T) { assertGiveUp(t, timers.probesGiveUpMs()) })
}

// assertGiveUp checks that a connection outlasts a silence of a sound upstream, and not much more.
func assertGiveUp(t *testing.T, ms clock.Millis) {
	t.Helper()
	assert.GreaterOrEqual(t, ms, soundSilenceMs)
	assert.LessOrEqual(t, ms, deadSilenceMs)
}
