package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/pipe/match"
	"dooryard.example/dooryard/internal/routing"
	"dooryard.example/dooryard/pkg/config"
)

// breakableListener fails with an error once it is broken.
type breakableListener struct {
	net.Listener
	broken chan struct{}
}

func (l *breakableListener) Accept() (net.Conn, error) {
	type accepted struct {
		conn net.Conn
		err  error
	}
	result := make(chan accepted, 1)
	go func() {
		conn, err := l.Listener.Accept()
		result <- accepted{conn, err}
	}()
	select {
	case r := <-result:
		return r.conn, r.err
	case <-l.broken:
		return nil, syscall.EBADF
	}
}

// runWithSockets runs a box with sockets of the test.
func (f *fleet) runWithSockets(out io.Writer, sockets ...Option) (b *Box, stop func(), done <-chan error) {
	f.t.Helper()
	b, err := New(config.Gateway{
		Box: "box-1", FailureDomain: "d", CallersAddress: "127.0.0.1:1000", ReadinessAddress: "127.0.0.1:1010",
		PeersAddress: "127.0.0.1:1020", Shutdown: config.Shutdown{GraceS: 1},
	}, Adapter{ReadinessPath: "/ready", Dialect: dialect(), Source: func(c clock.Clock, _ func() config.Gateway) Source {
		return f.store.source("box-1", c)
	}}, out, append(sockets, WithClock(f.clock), WithDial(f.network.Host("box-1").Dial))...)
	require.NoError(f.t, err)
	ctx, cancel := context.WithCancel(f.t.Context())
	ended := make(chan error, 1)
	go func() { ended <- b.Run(ctx) }()
	synctest.Wait()
	return b, cancel, ended
}

// TestLostListenerEndsNoBox guards against a box that ends by itself, or says that it is ready, without its listener.
func TestLostListenerEndsNoBox(t *testing.T) {
	for _, reopens := range []bool{true, false} {
		t.Run("reopens: "+strconv.FormatBool(reopens), func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				f.upstream("u", respondWith("done"))
				out, h, broken := &logBuffer{}, f.network.Host("box-1"), make(chan struct{})
				opened := map[string]int{}
				listen := func(network, address string) (net.Listener, error) {
					opened[address]++
					if opened[address] > 1 && !reopens {
						return nil, syscall.EACCES
					}
					l, err := h.Listen(network, address)
					if err != nil || address != "127.0.0.1:1000" || opened[address] > 1 {
						return l, err
					}
					return &breakableListener{Listener: l, broken: broken}, nil
				}
				b, cancel, done := f.runWithSockets(out, WithListen(listen), WithListenPackets(h.ListenPackets))
				close(broken)
				advance(f.t, 100*time.Millisecond)
				assert.Contains(f.t, out.String(), "listener failed")
				assert.Equal(f.t, reopens, b.Ready())
				advance(f.t, time.Minute)
				assert.Equal(f.t, reopens, b.Ready())
				assert.Empty(f.t, done)
				cancel()
				require.NoError(f.t, <-done)
			})
		})
	}
}

// breakableConn fails with an error once it is broken.
type breakableConn struct {
	net.PacketConn
	broken chan struct{}
}

func (c *breakableConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	type received struct {
		n    int
		from net.Addr
		err  error
	}
	result := make(chan received, 1)
	go func() {
		n, from, err := c.PacketConn.ReadFrom(buffer)
		result <- received{n, from, err}
	}()
	select {
	case r := <-result:
		return r.n, r.from, r.err
	case <-c.broken:
		return 0, nil, syscall.EBADF
	}
}

// TestBoxWithDeadDatagramSocketIsNotDeaf guards against a box that receives nothing from others until it is restarted.
func TestBoxWithDeadDatagramSocketIsNotDeaf(t *testing.T) {
	for _, reopens := range []bool{true, false} {
		t.Run("reopens: "+strconv.FormatBool(reopens), func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				f.upstream("u", respondWith("done"))
				out, h, broken := &logBuffer{}, f.network.Host("box-1"), make(chan struct{})
				var opened atomic.Int64
				packets := func(network, address string) (net.PacketConn, error) {
					first := opened.Add(1) == 1
					if !first && !reopens {
						return nil, syscall.EACCES
					}
					conn, err := h.ListenPackets(network, address)
					if err != nil || !first {
						return conn, err
					}
					return &breakableConn{PacketConn: conn, broken: broken}, nil
				}
				b, cancel, done := f.runWithSockets(out, WithListen(h.Listen), WithListenPackets(packets))
				close(broken)
				advance(f.t, 100*time.Millisecond)
				assert.Contains(f.t, out.String(), "peers UDP: bad file descriptor")
				assert.True(f.t, b.Ready())
				if reopens {
					assert.EqualValues(f.t, 2, opened.Load())
					f.box(2)
					advance(f.t, time.Second)
					assert.Equal(f.t, 2, b.peering.mesh.Sizes().Boxes)
				}
				if !reopens {
					advance(f.t, time.Minute)
					assert.Greater(f.t, opened.Load(), int64(2), "it tries again")
					assert.Contains(f.t, out.String(), "peers port missing")
				}
				assert.Empty(f.t, done)
				cancel()
				require.NoError(f.t, <-done)
			})
		})
	}
}

func TestPanicOfAHandlerIsLogged(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		out := &logBuffer{}
		f.out = out
		b := f.box(1)
		s := b.newServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("broken handler") }))
		l, err := f.network.Host("box-1").Listen("tcp", "127.0.0.1:2000")
		require.NoError(f.t, err)
		go func() { _ = s.Serve(l) }()
		defer func() { _ = s.Close() }()
		b.settings.CallersAddress = "127.0.0.1:2000"
		_, _, err = b.get("/safe/")
		require.Error(f.t, err)
		synctest.Wait()
		assert.Contains(f.t, out.String(), "broken handler")
		assert.Contains(f.t, b.metrics.all.String(), `"handler_panics": 1`)
	})
}

// TestPanicIsAnswered guards against callers whose connections are closed without a response when the box panics.
func TestPanicIsAnswered(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		b := f.box(1)
		b.steps.match = match.New(match.Dependencies{State: func(context.Context) *routing.State { panic("broken step") }})
		assertStatus(f.t, b, "/safe/", http.StatusBadGateway)
		synctest.Wait()
		assert.Contains(f.t, b.metrics.all.String(), `"handler_panics": 1`)
	})
}
