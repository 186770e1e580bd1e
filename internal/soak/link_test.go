package soak

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// echo starts a TCP echo server.
func echo(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return listener
}

func assertEchoes(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := io.WriteString(conn, "hello")
	require.NoError(t, err)
	got := make([]byte, len("hello"))
	_, err = io.ReadFull(conn, got)
	require.NoError(t, err)
	assert.Equal(t, "hello", string(got))
}

func TestStaleLink(t *testing.T) {
	target := echo(t)
	l, err := newLink("127.0.0.1", func() string { return target.Addr().String() })
	require.NoError(t, err)
	defer l.close()
	open := func() net.Conn {
		conn, err := net.Dial("tcp", l.address())
		require.NoError(t, err)
		return conn
	}
	old := open()
	assertEchoes(t, old)
	l.set(linkStale)
	_, err = io.WriteString(old, "lost")
	require.NoError(t, err)
	assertEchoes(t, open())
	l.set(linkHealthy)
	assertEchoes(t, open())
	// The bytes sent over the stale connection never arrive, nor does an end in order, which would vouch for them.
	require.NoError(t, old.(*net.TCPConn).CloseWrite()) //nolint:forcetypeassert // Dialled as TCP.
	rest, err := io.ReadAll(old)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	assert.Empty(t, rest)
}

// TestCrashedLinkBesideAStartOfAProcess guards against a link that accepts connections after its crash: a process that is
// being started shares the link's sockets until it executes its program.
func TestCrashedLinkBesideAStartOfAProcess(t *testing.T) {
	type shared interface{ File() (*os.File, error) }
	share := func(t *testing.T, socket any) {
		t.Helper()
		file, err := socket.(shared).File() //nolint:forcetypeassert // Each is a TCP socket.
		require.NoError(t, err)
		t.Cleanup(func() { _ = file.Close() })
	}
	for _, fault := range []linkFault{linkRefused, linkClosed} {
		t.Run(string(fault), func(t *testing.T) {
			target := echo(t)
			l, err := newLink("127.0.0.1", func() string { return target.Addr().String() })
			require.NoError(t, err)
			defer l.close()
			conn, err := net.Dial("tcp", l.address())
			require.NoError(t, err)
			assertEchoes(t, conn)
			share(t, l.listener)
			if fault == linkClosed {
				for c := range l.conns {
					share(t, c)
				}
			}
			l.set(fault)
			_, err = net.Dial("tcp", l.address())
			require.ErrorIs(t, err, syscall.ECONNREFUSED)
			_, err = io.ReadAll(conn)
			assert.Equal(t, fault == linkClosed, err == nil, "%v", err)
			l.set(linkHealthy)
			conn, err = net.Dial("tcp", l.address())
			require.NoError(t, err)
			assertEchoes(t, conn)
		})
	}
}

func TestLinkTellsWhenItWasDisturbed(t *testing.T) {
	l, err := newLink("127.0.0.1", func() string { return "" })
	require.NoError(t, err)
	defer l.close()
	start := time.Now()
	l.set(linkDelayed)
	later := time.Now()
	assert.True(t, l.disturbed(later, time.Now()), "a fault that lasts")
	l.set(linkReset)
	inside := time.Now()
	l.set(linkHealthy)
	end := time.Now()
	assert.True(t, l.disturbed(later, inside), "a fault that began before and ended after it")
	assert.True(t, l.disturbed(start, end), "a fault in the interval")
	assert.False(t, l.disturbed(start.Add(-time.Second), start), "a fault after it")
	assert.False(t, l.disturbed(end, time.Now()), "a fault before it")
}

func TestLinkTellsWhenAHeldBackRequestCanHaveBeenSent(t *testing.T) {
	accepted := time.Now()
	forwarding := accepted.Add(time.Second)
	l := &link{origins: map[string]origin{
		"held": {box: "b", accepted: accepted, forwarding: forwarding},
		"idle": {box: "b", accepted: accepted, forwarding: forwarding},
	}}
	assertSent := func(address string, arrived, want time.Time) {
		t.Helper()
		box, sent := l.nextRequest(address, arrived)
		assert.Equal(t, "b", box)
		assert.Equal(t, want, sent)
	}
	assertSent("held", forwarding, accepted)
	assertSent("held", forwarding, forwarding)
	assertSent("idle", forwarding.Add(time.Second), forwarding.Add(time.Second))
}

// TestLinkKnowsWhenABoxLeft guards against refusals that count as received although the box had closed its connection, and
// against ends by the link that count as the box's.
func TestLinkKnowsWhenABoxLeft(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(l *link, box net.Conn) error
		left bool
	}{
		{"closed by the box", func(_ *link, box net.Conn) error { return box.Close() }, true},
		{"reset by the box", func(_ *link, box net.Conn) error { reset(box); return nil }, true},
		{"reset by the link", func(l *link, _ net.Conn) error { l.set(linkReset); return nil }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			target, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = target.Close() }()
			l, err := newLink("127.0.0.1", func() string { return target.Addr().String() })
			require.NoError(t, err)
			defer l.close()
			box, err := net.Dial("tcp", l.address())
			require.NoError(t, err)
			defer func() { _ = box.Close() }()
			server, err := target.Accept()
			require.NoError(t, err)
			defer func() { _ = server.Close() }()
			address, before := server.RemoteAddr().String(), time.Now()
			require.Eventually(t, func() bool {
				l.mu.Lock()
				defer l.mu.Unlock()
				return l.origins[address] != origin{}
			}, time.Minute, time.Millisecond)
			assert.False(t, l.leftBefore(address, time.Now()), "while it is open")
			require.NoError(t, c.end(l, box))
			_, _ = io.ReadAll(server)
			assert.Equal(t, c.left, l.leftBefore(address, time.Now()))
			assert.False(t, l.leftBefore(address, before))
		})
	}
}
