package box

import (
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/server"
	"dooryard.example/dooryard/internal/testlib"
)

// brokenOnce is a listener whose first accept fails.
type brokenOnce struct {
	net.Listener
	accepts int
}

func (*brokenOnce) Addr() net.Addr { return &net.TCPAddr{} }

func (l *brokenOnce) Accept() (net.Conn, error) {
	l.accepts++
	if l.accepts == 1 {
		return nil, syscall.ENOBUFS
	}
	return &net.TCPConn{}, nil
}

func TestListenersSurviveTakenPortsAndAcceptErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tries, socket := 0, &brokenOnce{}
		b := &Box{clock: clock.New(), logger: zap.NewNop(), listen: func(string, string) (net.Listener, error) {
			tries++
			if tries <= 2 {
				return nil, syscall.EADDRINUSE
			}
			return socket, nil
		}, packets: testlib.NewNetwork().Host("box").ListenPackets}
		require.NoError(t, b.bindSockets(t.Context()))
		assert.Equal(t, 2+3, tries)
		l, err := b.survivingListener(callersSocket)("tcp", "127.0.0.1:1")
		require.NoError(t, err)
		_, err = l.Accept()
		require.NoError(t, err)
		assert.Equal(t, 2, socket.accepts)
	})
}

// TestCallersAreServedWithoutOtherPorts guards against a box that serves no callers because another process has a port
// that they don't need, and against a process that takes ports while another one of the box serves.
func TestCallersAreServedWithoutOtherPorts(t *testing.T) {
	const callers, gossip, peers, operators = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"
	bind := func(t *testing.T, h testlib.Host) *Box {
		t.Helper()
		b := &Box{clock: clock.New(), logger: zap.NewNop(), listen: h.Listen, packets: h.ListenPackets}
		b.settings.Callers.Address, b.settings.Operators.Address = callers, operators
		b.settings.Peers.GossipAddress, b.settings.Peers.Address = gossip, peers
		return b
	}
	t.Run("gossip, peers and operators are held", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			h := testlib.NewNetwork().Host("box")
			_, err := h.ListenPackets("udp", gossip)
			require.NoError(t, err)
			_, err = h.Listen("tcp", peers)
			require.NoError(t, err)
			held, err := h.Listen("tcp", operators)
			require.NoError(t, err)
			b, start := bind(t, h), clock.New().Now()
			require.NoError(t, b.bindSockets(t.Context()))
			assert.LessOrEqual(t, clock.New().Now()-start, 2*peersPortWaitMs+2*clock.Millis(50))
			assert.Contains(t, b.sockets.gossip.LocalAddr().String(), "127.0.0.1:")
			assert.NotEqual(t, gossip, b.sockets.gossip.LocalAddr().String())
			assert.NotEqual(t, peers, b.sockets.listeners[peersSocket].Addr().String())
			l, err := b.survivingListener(operatorsSocket)("tcp", operators)
			require.NoError(t, err)
			accepted := make(chan error, 1)
			go func() {
				_, err := l.Accept()
				accepted <- err
			}()
			<-time.After(time.Hour)
			require.NoError(t, held.Close())
			<-time.After(time.Second)
			_, err = h.Dial(t.Context(), "tcp", operators)
			require.NoError(t, err)
			require.NoError(t, <-accepted)
		})
	})
	t.Run("callers are held", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			h := testlib.NewNetwork().Host("box")
			held, err := h.Listen("tcp", callers)
			require.NoError(t, err)
			b, bound := bind(t, h), make(chan error, 1)
			go func() { bound <- b.bindSockets(t.Context()) }()
			<-time.After(time.Hour)
			for _, address := range []string{peers, operators} {
				_, err := h.Dial(t.Context(), "tcp", address)
				require.ErrorIs(t, err, syscall.ECONNREFUSED, address)
			}
			other, err := h.ListenPackets("udp", gossip)
			require.NoError(t, err)
			require.NoError(t, other.Close())
			require.NoError(t, held.Close())
			require.NoError(t, <-bound)
			assert.Equal(t, gossip, b.sockets.gossip.LocalAddr().String())
		})
	})
	t.Run("no address for other boxes yet", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			h, configured := testlib.NewNetwork().Host("box"), atomic.Bool{}
			b := bind(t, h)
			b.packets = func(network, address string) (net.PacketConn, error) {
				if !configured.Load() {
					return nil, syscall.EADDRNOTAVAIL
				}
				return h.ListenPackets(network, address)
			}
			require.NoError(t, b.bindSockets(t.Context()))
			received := make(chan error, 1)
			go func() {
				_, _, err := b.sockets.gossip.ReadFrom(make([]byte, 1))
				received <- err
			}()
			<-time.After(time.Hour)
			configured.Store(true)
			<-time.After(time.Second)
			other, err := h.ListenPackets("udp", "127.0.0.1:5")
			require.NoError(t, err)
			_, err = other.WriteTo([]byte("x"), net.UDPAddrFromAddrPort(netip.MustParseAddrPort(gossip)))
			require.NoError(t, err)
			require.NoError(t, <-received)
			require.NoError(t, b.sockets.gossip.Close())
		})
	})
}

// TestRunningBoxOutlivesItsSockets guards against a box that ends by itself because a socket dies and stays taken, and
// against one that hears nothing from others any more.
func TestRunningBoxOutlivesItsSockets(t *testing.T) {
	const callers, gossip, peers, operators = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"
	run := func(t *testing.T, test func(t *testing.T, h testlib.Host, b *Box, taken *atomic.Bool)) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			h, taken := testlib.NewNetwork().Host("box"), &atomic.Bool{}
			b := &Box{clock: clock.New(), logger: zap.NewNop(), listen: func(network, address string) (net.Listener, error) {
				if taken.Load() {
					return nil, syscall.EACCES
				}
				return h.Listen(network, address)
			}, packets: func(network, address string) (net.PacketConn, error) {
				if taken.Load() {
					return nil, syscall.EADDRINUSE
				}
				return h.ListenPackets(network, address)
			}}
			b.settings.Callers.Address, b.settings.Operators.Address = callers, operators
			b.settings.Peers.GossipAddress, b.settings.Peers.Address = gossip, peers
			require.NoError(t, b.bindSockets(t.Context()))
			test(t, h, b, taken)
		})
	}
	for name, address := range map[string]string{callersSocket: callers, peersSocket: peers, operatorsSocket: operators} {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, h testlib.Host, b *Box, taken *atomic.Bool) {
				t.Helper()
				l, err := b.survivingListener(name)("tcp", address)
				require.NoError(t, err)
				accepted := make(chan error, 1)
				go func() {
					_, err := l.Accept()
					accepted <- err
				}()
				synctest.Wait()
				taken.Store(true)
				require.NoError(t, b.sockets.listeners[name].Close())
				<-time.After(time.Hour)
				assert.Empty(t, accepted)
				if name == callersSocket {
					assert.False(t, b.callersListener.IsOpen(), "the box is not ready")
				}
				taken.Store(false)
				<-time.After(time.Second)
				_, err = h.Dial(t.Context(), "tcp", address)
				require.NoError(t, err)
				require.NoError(t, <-accepted)
			})
		})
	}
	t.Run(gossipSocket, func(t *testing.T) {
		run(t, func(t *testing.T, h testlib.Host, b *Box, taken *atomic.Bool) {
			t.Helper()
			received := make(chan error, 1)
			go func() {
				_, _, err := b.sockets.gossip.ReadFrom(make([]byte, 1))
				received <- err
			}()
			synctest.Wait()
			conn, ok := b.sockets.gossip.(*server.PacketConn)
			require.True(t, ok)
			taken.Store(true)
			former, err := conn.Switch(server.NewUnopened(gossip, syscall.ENETDOWN))
			require.NoError(t, err)
			require.NoError(t, former.Close())
			<-time.After(time.Hour)
			assert.Empty(t, received)
			taken.Store(false)
			<-time.After(time.Second)
			other, err := h.ListenPackets("udp", "127.0.0.1:5")
			require.NoError(t, err)
			_, err = other.WriteTo([]byte("x"), net.UDPAddrFromAddrPort(netip.MustParseAddrPort(gossip)))
			require.NoError(t, err)
			require.NoError(t, <-received)
			require.NoError(t, conn.Close())
		})
	})
}
