package inbound

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/socket"
	"dooryard.example/dooryard/internal/testlib"
)

const (
	firstPart = "POST / HTTP/1.1\r\nHost: h\r\n"
	lastPart  = "Content-Length: 3\r\n\r\nred"
)

// pass waits in simulated time.
func pass(span time.Duration) { _ = clock.New().Sleep(context.Background(), clock.FromDuration(span)) }

// TestRequestsCountFromTheirFirstByte guards against deadlines that count from the end of a head that takes long to
// arrive.
func TestRequestsCountFromTheirFirstByte(t *testing.T) {
	play := func(t *testing.T, handlerTakes time.Duration, send func(conn net.Conn)) (startsMs, openingsMs []clock.Millis, areNew []bool) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			c := clock.New()
			begin := c.Monotonic()
			inner := closableListener{pipeListener{conns: make(chan net.Conn, 1)}, make(chan struct{})}
			l := NewListener(inner, 1, exchange.NewMemory(1<<20), c)
			server := &http.Server{
				ReadHeaderTimeout: time.Minute,
				Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					arrival := ConnOf(r.Context()).Arrival()
					startsMs, areNew = append(startsMs, arrival.StartMs-begin), append(areNew, arrival.New)
					openingsMs = append(openingsMs, arrival.OpeningMs)
					_, err := io.Copy(io.Discard, r.Body)
					assert.NoError(t, err)
					pass(handlerTakes)
				}),
			}
			Attach(server, c.Monotonic)
			go func() { _ = server.Serve(l) }()
			here, there := net.Pipe()
			inner.conns <- there
			go func() {
				for in := bufio.NewReader(here); ; {
					if _, err := http.ReadResponse(in, nil); err != nil {
						return
					}
				}
			}()
			send(here)
			pass(5 * time.Second)
			require.NoError(t, here.Close())
			require.NoError(t, server.Close())
		})
		return startsMs, openingsMs, areNew
	}
	write := func(t *testing.T, conn net.Conn, data string) {
		t.Helper()
		_, err := io.WriteString(conn, data)
		require.NoError(t, err)
	}
	t.Run("a head that takes long", func(t *testing.T) {
		startsMs, openingsMs, areNew := play(t, 0, func(conn net.Conn) {
			pass(20 * time.Millisecond)
			write(t, conn, firstPart)
			pass(800 * time.Millisecond)
			write(t, conn, lastPart)
		})
		assert.Equal(t, []clock.Millis{20}, startsMs)
		assert.Equal(t, []clock.Millis{20}, openingsMs)
		assert.Equal(t, []bool{true}, areNew)
	})
	t.Run("a connection that was opened in advance", func(t *testing.T) {
		startsMs, _, areNew := play(t, 0, func(conn net.Conn) {
			pass(500 * time.Millisecond)
			write(t, conn, firstPart)
			pass(800 * time.Millisecond)
			write(t, conn, lastPart)
		})
		assert.Equal(t, []clock.Millis{500}, startsMs)
		assert.Equal(t, []bool{false}, areNew)
	})
	t.Run("the next request on a connection", func(t *testing.T) {
		startsMs, _, areNew := play(t, 0, func(conn net.Conn) {
			write(t, conn, firstPart+lastPart)
			pass(time.Second)
			write(t, conn, firstPart)
			pass(800 * time.Millisecond)
			write(t, conn, lastPart)
		})
		assert.Equal(t, []clock.Millis{0, 1000}, startsMs)
		assert.Equal(t, []bool{true, false}, areNew)
	})
	t.Run("one that is sent while another is handled", func(t *testing.T) {
		startsMs, _, areNew := play(t, 400*time.Millisecond, func(conn net.Conn) {
			write(t, conn, firstPart+lastPart)
			pass(100 * time.Millisecond)
			write(t, conn, firstPart)
			pass(100 * time.Millisecond)
			write(t, conn, lastPart)
		})
		assert.Equal(t, []clock.Millis{0, 100}, startsMs)
		assert.Equal(t, []bool{true, false}, areNew)
	})
	t.Run("one behind a line after a body", func(t *testing.T) {
		startsMs, _, _ := play(t, 0, func(conn net.Conn) {
			write(t, conn, firstPart+lastPart+"\r\n")
			time.Sleep(time.Second)
			write(t, conn, firstPart+lastPart)
		})
		assert.Equal(t, []clock.Millis{0, 1000}, startsMs)
	})
	t.Run("one behind a line that is sent while another is handled", func(t *testing.T) {
		startsMs, _, _ := play(t, 400*time.Millisecond, func(conn net.Conn) {
			write(t, conn, firstPart+lastPart)
			time.Sleep(100 * time.Millisecond)
			write(t, conn, "\r\n")
			time.Sleep(time.Second)
			write(t, conn, firstPart+lastPart)
		})
		assert.Equal(t, []clock.Millis{0, 1400}, startsMs, "the pipe takes the whole line after 0.4 s")
	})
	t.Run("three at once", func(t *testing.T) {
		startsMs, _, areNew := play(t, 400*time.Millisecond, func(conn net.Conn) {
			write(t, conn, firstPart+lastPart+firstPart+lastPart+firstPart+lastPart)
		})
		assert.Equal(t, []clock.Millis{0, 0, 0}, startsMs)
		assert.Equal(t, []bool{true, false, false}, areNew)
	})
}

// TestRequestsCountWhileTheyWaitToBeRead guards against deadlines that begin when a process that had no processor time
// reads the request.
func TestRequestsCountWhileTheyWaitToBeRead(t *testing.T) {
	const nowMs = 100 * clock.Second
	for _, c := range []struct {
		name   string
		unread uint32
		want   clock.Millis
	}{
		{"a request that was read at once", 0, nowMs - 2},
		{"one that may have waited for a tick", 12, nowMs - 2},
		{"one that waited", 800, nowMs - 800 + kernelTickMs},
		{"a kernel that tells no such time", 4_000_000_000, nowMs - 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, conn := testlib.Connect(t)
			kernel := &socket.Kernel{TCPInfo: func(int) (*unix.TCPInfo, error) {
				return &unix.TCPInfo{State: unix.BPF_TCP_ESTABLISHED, Last_data_recv: c.unread}, nil
			}}
			l := &Listener{kernel: kernel, clock: clock.New(clock.WithMonotonic(func() clock.Millis { return nowMs }))}
			request := &Conn{Conn: conn, listener: l}
			request.arrivals.recordRead(nowMs-2, 0, false, false)
			assert.Equal(t, c.want, request.Arrival().StartMs)
		})
	}
}
