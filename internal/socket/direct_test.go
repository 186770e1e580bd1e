package socket

import (
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"dooryard.example/dooryard/internal/osthread"
)

// slowPair returns connected sockets of which reads and writes wait for 20 ms if they can't be done at once.
func slowPair(t *testing.T) [2]int {
	t.Helper()
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() {
		assert.NoError(t, unix.Close(pair[0]))
		assert.NoError(t, unix.Close(pair[1]))
	})
	for _, option := range []int{unix.SO_RCVTIMEO, unix.SO_SNDTIMEO} {
		require.NoError(t, unix.SetsockoptTimeval(pair[0], unix.SOL_SOCKET, option, &unix.Timeval{Usec: 20_000}))
	}
	return pair
}

// TestSlowCallsOfSocketsTakeNoMoreThreads guards against a box that ends under a limit of threads, because other
// processes kept its threads from running within calls, and each was replaced by another one.
func TestSlowCallsOfSocketsTakeNoMoreThreads(t *testing.T) {
	const calls, others = 24, 8
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	before := osthread.Count()
	for name, call := range map[string]func(fd int, data []byte) (int, error){
		"read": Read, "write": Write,
		"read of a connection":  callOfConn(func(c *Conn) (*transferState, func(fd uintptr) bool) { return &c.reads, c.readOnce }),
		"write of a connection": callOfConn(func(c *Conn) (*transferState, func(fd uintptr) bool) { return &c.written, c.writeOnce }),
	} {
		t.Run(name, func(t *testing.T) {
			pair := slowPair(t)
			if strings.HasPrefix(name, "write") {
				for err := error(nil); err == nil; {
					_, err = unix.Write(pair[0], make([]byte, 1<<16))
				}
			}
			running := sync.WaitGroup{}
			for range calls {
				running.Go(func() {
					_, err := call(pair[0], make([]byte, 1))
					// The scheduler may interrupt the call.
					assert.Error(t, err)
				})
			}
			running.Wait()
			assert.Less(t, osthread.Count(), before+others)
		})
	}
}

// callOfConn returns a call that a connection makes once its socket is ready.
func callOfConn(
	choose func(c *Conn) (*transferState, func(fd uintptr) bool),
) func(fd int, data []byte) (int, error) {
	return func(fd int, data []byte) (int, error) {
		s, try := choose(&Conn{})
		s.data = data
		if !try(uintptr(fd)) {
			return 0, unix.EAGAIN
		}
		return s.n, s.err
	}
}

func TestReadAndWrite(t *testing.T) {
	pair := slowPair(t)
	n, err := Write(pair[0], []byte("ab"))
	require.NoError(t, err)
	assert.Equal(t, 2, n)
	data := make([]byte, 4)
	n, err = Read(pair[1], data)
	require.NoError(t, err)
	assert.Equal(t, "ab", string(data[:n]))
	n, err = Write(pair[0], nil)
	require.NoError(t, err)
	assert.Zero(t, n)
	_, err = Read(-1, data)
	require.ErrorIs(t, err, unix.EBADF)
}
