package socket

import (
	"io"
	"net"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"dooryard.example/dooryard/internal/testlib"
)

// kernels returns kernels each of which tells enough to answer for a connection.
func kernels() map[string]*Kernel {
	noTCPInfo, noFields, noUnread := *System(), *System(), *System()
	noTCPInfo.TCPInfo = func(int) (*unix.TCPInfo, error) { return &unix.TCPInfo{}, unix.ENOPROTOOPT }
	noFields.TCPInfo = func(int) (*unix.TCPInfo, error) { return &unix.TCPInfo{}, nil }
	noUnread.Unread = func(int) (int, error) { return 0, unix.EPERM }
	return map[string]*Kernel{
		"one that tells all": System(), "without TCP_INFO": &noTCPInfo, "with an empty TCP_INFO": &noFields,
		"without SIOCINQ": &noUnread,
	}
}

// silent returns a kernel that tells nothing.
func silent() *Kernel {
	return &Kernel{
		TCPInfo: func(int) (*unix.TCPInfo, error) { return nil, unix.EPERM },
		Queued:  func(int) (int, error) { return 0, unix.EPERM },
		Ready:   func(int, int16) (int16, error) { return 0, unix.ENOSYS },
		Unread:  func(int) (int, error) { return 0, unix.EPERM },
	}
}

// TestState guards against a reset that is overlooked, and against data that counts as acknowledged before it is, where
// a kernel tells less.
func TestState(t *testing.T) {
	for name, kernel := range kernels() {
		t.Run(name, func(t *testing.T) {
			caller, conn := testlib.Connect(t)
			assert.Equal(t, State{Open: true}, kernel.State(conn))
			_, err := conn.Write([]byte("response"))
			require.NoError(t, err)
			for kernel.State(conn).Outstanding {
				runtime.Gosched()
			}
			require.NoError(t, caller.(*net.TCPConn).SetLinger(0)) //nolint:forcetypeassert // It is one.
			require.NoError(t, caller.Close())
			_, err = io.ReadAll(conn)
			require.ErrorIs(t, err, syscall.ECONNRESET)
			assert.False(t, kernel.State(conn).Open, "reset")
			require.NoError(t, conn.Close())
			assert.False(t, kernel.State(conn).Open, "closed")
		})
	}
	_, conn := testlib.Connect(t)
	assert.Equal(t, State{Open: true}, silent().State(conn), "a kernel that tells nothing")
}

// TestStateOfEndedSide guards against a caller that has closed its connection and counts as one that may still send.
func TestStateOfEndedSide(t *testing.T) {
	for name, kernel := range kernels() {
		t.Run(name, func(t *testing.T) {
			caller, conn := testlib.Connect(t)
			assert.False(t, kernel.State(conn).Ended)
			require.NoError(t, caller.(*net.TCPConn).CloseWrite()) //nolint:forcetypeassert // It is one.
			_, err := io.ReadAll(conn)
			require.NoError(t, err)
			assert.Equal(t, State{Open: true, Ended: true}, kernel.State(conn))
		})
	}
}

// TestHasUnreadWhereRefused guards against a connection that is closed with an unread request, where a kernel tells less.
func TestHasUnreadWhereRefused(t *testing.T) {
	for name, kernel := range kernels() {
		t.Run(name, func(t *testing.T) {
			caller, conn := testlib.Connect(t)
			assert.False(t, kernel.HasUnread(conn))
			_, err := caller.Write([]byte("request"))
			require.NoError(t, err)
			assert.True(t, kernel.HasUnread(conn))
		})
	}
}

// TestHasUnreadLeavesReset guards against a reset that a reader takes for an orderly end, since the kernel tells it once.
func TestHasUnreadLeavesReset(t *testing.T) {
	for name, kernel := range kernels() {
		t.Run(name, func(t *testing.T) {
			caller, conn := testlib.Connect(t)
			require.NoError(t, caller.(*net.TCPConn).SetLinger(0)) //nolint:forcetypeassert // It is one.
			require.NoError(t, caller.Close())
			for kernel.State(conn).Open {
				runtime.Gosched()
			}
			kernel.HasUnread(conn)
			_, err := io.ReadAll(conn)
			assert.ErrorIs(t, err, syscall.ECONNRESET)
		})
	}
}

// TestHasWaiting guards against a listener that is closed with connections that wait, where the kernel tells nothing.
func TestHasWaiting(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	assertWaiting := func(k *Kernel, wantWaiting, wantKnown bool) {
		t.Helper()
		waiting, known := k.HasWaiting(listener)
		assert.Equal(t, [2]bool{wantWaiting, wantKnown}, [2]bool{waiting, known})
	}
	assertWaiting(System(), false, true)
	assertWaiting(silent(), false, false)
	caller, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	assertWaiting(System(), true, true)
	require.NoError(t, listener.Close())
	assertWaiting(silent(), false, true)
}

// TestIsConnecting guards against a peer that drops connections and counts as having answered, and the reverse.
func TestIsConnecting(t *testing.T) {
	for name, kernel := range kernels() {
		t.Run(name, func(t *testing.T) { testIsConnecting(t, kernel) })
	}
}

func testIsConnecting(t *testing.T, kernel *Kernel) {
	t.Helper()
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
	assert.False(t, kernel.IsConnecting(rawOf(answered)))
	// The queue of the listener is full.
	require.NoError(t, unix.SetNonblock(int(dropped.Fd()), true))
	require.ErrorIs(t, unix.Connect(int(dropped.Fd()), address), unix.EINPROGRESS)
	raw := rawOf(dropped)
	assert.True(t, kernel.IsConnecting(raw))
	require.NoError(t, dropped.Close())
	assert.False(t, kernel.IsConnecting(raw), "a closed socket")
}

func TestRoundTrip(t *testing.T) {
	kernel := func(info unix.TCPInfo) *Kernel {
		return &Kernel{TCPInfo: func(int) (*unix.TCPInfo, error) { return &info, nil }}
	}
	_, conn := testlib.Connect(t)
	for _, c := range []struct {
		name   string
		kernel *Kernel
		want   time.Duration
	}{
		{"the shortest one", kernel(unix.TCPInfo{State: unix.BPF_TCP_ESTABLISHED, Min_rtt: 9000, Rtt: 40_000}), 9 * time.Millisecond},
		{"only the usual one", kernel(unix.TCPInfo{State: unix.BPF_TCP_ESTABLISHED, Rtt: 9000}), 9 * time.Millisecond},
		{"none yet", kernel(unix.TCPInfo{State: unix.BPF_TCP_ESTABLISHED, Min_rtt: unknownRoundTrip}), 0},
		{"a kernel that tells nothing", silent(), 0},
		{"without fields", kernel(unix.TCPInfo{}), 0},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.want, c.kernel.RoundTrip(conn)) })
	}
}
