package server

import (
	"context"
	"io"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/socket"
)

// usualHops is how many hops the packets of most systems may take.
const usualHops = 64

// startConnect begins to open a connection and doesn't wait for it.
func startConnect(t *testing.T, address net.Addr, hops int) (fd int) {
	t.Helper()
	tcp, ok := address.(*net.TCPAddr)
	require.True(t, ok)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, unix.Close(fd)) })
	require.NoError(t, unix.SetsockoptInt(fd, unix.IPPROTO_IP, unix.IP_TTL, hops))
	require.ErrorIs(t, unix.Connect(fd, &unix.SockaddrInet4{Port: tcp.Port, Addr: [4]byte(tcp.IP.To4())}), unix.EINPROGRESS)
	return fd
}

// isOpen reports whether a connection is open for its caller.
func isOpen(t *testing.T, fd int) bool {
	t.Helper()
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	require.NoError(t, err)
	return info.State != unix.BPF_TCP_SYN_SENT
}

// TestAwaitAcceptedBesideNewConnections guards against connections that are reset since a box that stops accepts more
// slowly than new ones arrive.
func TestAwaitAcceptedBesideNewConnections(t *testing.T) {
	const manyPolls, manyOpen = openAcceptPolls + lastAcceptPolls, 1 + 2*openAcceptPolls + 2*lastAcceptPolls
	for _, c := range []struct {
		name   string
		pollMs clock.Millis
		hops   int
		// polls is how often it checks, and open how many connections the kernel takes, at most.
		polls, open int
	}{
		{"a process that runs", acceptPollMs, usualHops, 1, 1},
		{"a process with little processor time", openAcceptMs, usualHops, 1, 1},
		{"callers on the same link", acceptPollMs, nearHops, manyPolls, manyOpen},
		{
			"callers on the same link, little processor time", openAcceptMs, nearHops, 1 + lastAcceptPolls,
			3 + 2*lastAcceptPolls,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			inner, err := ListenTCP("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { assert.NoError(t, inner.Close()) })
			callers := []int{}
			connect := func() { callers = append(callers, startConnect(t, inner.Addr(), c.hops)) }
			accept := func() {
				conn, err := inner.Accept()
				require.NoError(t, err)
				require.NoError(t, conn.Close())
			}
			connect()
			polls, now := 0, clock.Millis(1)
			fake := clock.New(clock.WithMonotonic(func() clock.Millis { return now }),
				clock.WithSleep(func(context.Context, clock.Millis) error {
					polls, now = polls+1, now+c.pollMs
					accept()
					connect()
					connect()
					return nil
				}))
			NewListener(inner, fake, nil, nil).AwaitAccepted(t.Context())
			left := 0
			for waiting := true; waiting; {
				if waiting, _ = socket.System().HasWaiting(inner); waiting {
					accept()
					left++
				}
			}
			open := 0
			for _, fd := range callers {
				if isOpen(t, fd) {
					open++
				}
			}
			assert.LessOrEqual(t, left, 2, "connections that wait to be accepted")
			assert.LessOrEqual(t, open, c.open, "connections that the kernel took")
			assert.LessOrEqual(t, polls, c.polls)
		})
	}
}

// TestConnectionThatOpensLate guards against requests that never arrive on connections which have begun to open when a
// listener takes no new ones.
func TestConnectionThatOpensLate(t *testing.T) {
	inner, err := ListenTCP("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	control(inner, func(fd int) {
		// The kernel holds connections until their callers have sent something.
		assert.NoError(t, unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_DEFER_ACCEPT, 1))
	})
	l := NewListener(inner, clock.New(), nil, nil)
	t.Cleanup(func() { assert.NoError(t, l.Close()) })
	caller, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, caller.Close()) })
	l.AwaitAccepted(t.Context())
	send := func() {
		_, err := caller.Write([]byte("sent"))
		require.NoError(t, err)
	}
	send()
	conn, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, conn.Close()) })
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	for range 2 {
		_, err = io.ReadFull(conn, make([]byte, len("sent")))
		require.NoError(t, err)
		send()
	}
}

// TestAwaitAcceptedWaitsForCallersAnswers guards against connections that are open for their callers and reset, since
// what opens them was on its way when the listener was closed.
func TestAwaitAcceptedWaitsForCallersAnswers(t *testing.T) {
	inner, err := ListenTCP("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	control(inner, func(fd int) {
		assert.NoError(t, unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_DEFER_ACCEPT, 1))
	})
	caller, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, caller.Close()) })
	accepted, once := make(chan error, 1), sync.Once{}
	l := NewListener(inner, clock.New(clock.WithSleep(func(_ context.Context, span clock.Millis) error {
		once.Do(func() {
			assert.Equal(t, openingMs, span)
			_, err := caller.Write([]byte("sent"))
			require.NoError(t, err)
			accepted <- <-accepted
		})
		return nil
	})), nil, nil)
	go func() {
		conn, err := l.Accept()
		if err == nil {
			err = conn.Close()
		}
		accepted <- err
	}()
	l.AwaitAccepted(t.Context())
	require.NoError(t, l.Close())
	require.NoError(t, <-accepted)
}

// TestAwaitAcceptedWhereNothingTells guards against a stop that lasts for its whole grace period because the kernel
// doesn't tell whether connections wait.
func TestAwaitAcceptedWhereNothingTells(t *testing.T) {
	inner, err := ListenTCP("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, inner.Close()) })
	polls := 0
	l := NewListener(inner, clock.New(clock.WithSleep(func(context.Context, clock.Millis) error {
		polls++
		return nil
	})), nil, nil)
	l.kernel = &socket.Kernel{Ready: func(int, int16) (int16, error) { return 0, unix.EPERM }}
	l.AwaitAccepted(t.Context())
	assert.LessOrEqual(t, polls, openAcceptPolls+lastAcceptPolls)
	assert.GreaterOrEqual(t, polls, lastAcceptPolls)
}

// TestAwaitAcceptedWhileExhausted guards against connections that are reset since a box that stops has no descriptors to
// accept them with.
func TestAwaitAcceptedWhileExhausted(t *testing.T) {
	inner, err := ListenTCP("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, inner.Close()) })
	startConnect(t, inner.Addr(), usualHops)
	const freeAfter = 10 * lastAcceptPolls
	polls := 0
	l := NewListener(inner, clock.New(clock.WithSleep(func(context.Context, clock.Millis) error {
		if polls++; polls == freeAfter {
			conn, err := inner.Accept()
			require.NoError(t, err)
			return conn.Close()
		}
		return nil
	})), nil, nil)
	l.failing.Store(true)
	l.AwaitAccepted(t.Context())
	assert.Equal(t, freeAfter, polls)
}

// failingListener is a socket whose accepts fail, as the process has no descriptors left.
type failingListener struct{ *net.TCPListener }

func (failingListener) Accept() (net.Conn, error) { return nil, unix.EMFILE }

// TestAwaitAcceptedWithoutDescriptors guards against a stop that keeps its listener for its whole grace period because
// a connection waits that can't be accepted.
func TestAwaitAcceptedWithoutDescriptors(t *testing.T) {
	inner, err := ListenTCP("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	startConnect(t, inner.Addr(), usualHops)
	tcp, ok := inner.(*net.TCPListener)
	require.True(t, ok)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	failed, polls := make(chan struct{}), 0
	fake := clock.New(clock.WithSleep(func(slept context.Context, span clock.Millis) error {
		if span == minAcceptBackoffMs && slept != ctx {
			close(failed)
			<-slept.Done()
			return slept.Err()
		}
		if polls++; polls == 10*int(stuckMs) {
			cancel()
		}
		return ctx.Err()
	}))
	l := NewListener(failingListener{tcp}, fake, nil, func(error) {})
	accepting := sync.WaitGroup{}
	accepting.Go(func() {
		_, err := l.Accept()
		assert.ErrorIs(t, err, net.ErrClosed)
	})
	<-failed
	l.AwaitAccepted(ctx)
	require.NoError(t, l.Close())
	accepting.Wait()
	assert.NoError(t, ctx.Err(), "it waits until the context ends")
}

// TestExhaustedWithoutWaitingConnections guards against idle connections that are closed because a box has used its last
// descriptor, though no other connection waits.
func TestExhaustedWithoutWaitingConnections(t *testing.T) {
	inner, err := ListenTCP("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	tcp, ok := inner.(*net.TCPListener)
	require.True(t, ok)
	const sleeps = 10
	slept, roomMade, roomMadeBefore := 0, 0, 0
	var l *Listener
	l = NewListener(failingListener{tcp}, clock.New(clock.WithSleep(func(context.Context, clock.Millis) error {
		switch slept++; slept {
		case sleeps:
			roomMadeBefore = roomMade
			startConnect(t, inner.Addr(), usualHops)
			for waiting := false; !waiting; runtime.Gosched() {
				waiting, _ = l.kernel.HasWaiting(inner)
			}
		case 2 * sleeps:
			return l.Close()
		}
		return nil
	})), nil, func(error) {})
	l.OnExhausted(func() { roomMade++ })
	_, err = l.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
	assert.Zero(t, roomMadeBefore)
	assert.Equal(t, sleeps, roomMade)
}
