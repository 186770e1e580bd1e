package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/pkg/config"
)

// withPorts gives a box this number of ports for peers.
func withPorts(count int) func(g *config.Gateway) {
	return func(g *config.Gateway) { g.PeersLastPort = 1020 + count - 1 }
}

// hold makes another process hold a port of box 1, which sends back what it gets there, until the test ends.
func (f *fleet) hold(network, address string) io.Closer {
	f.t.Helper()
	h := f.network.Host("box-1")
	if network == "tcp" {
		held, err := h.Listen(network, address)
		require.NoError(f.t, err)
		f.t.Cleanup(func() { _ = held.Close() })
		return held
	}
	held, err := h.ListenPackets(network, address)
	require.NoError(f.t, err)
	go func() {
		buffer := make([]byte, 8<<10)
		for {
			n, from, err := held.ReadFrom(buffer)
			if err != nil {
				return
			}
			_, _ = held.WriteTo(buffer[:n], from)
		}
	}()
	f.t.Cleanup(func() { _ = held.Close() })
	return held
}

// assertKnowEachOther checks that each box knows all others and no more.
func assertKnowEachOther(t *testing.T, boxes ...*running) {
	t.Helper()
	for _, b := range boxes {
		assert.Equal(t, len(boxes), b.peering.mesh.Boxes(), b.settings.Box)
		assert.Equal(t, len(boxes), b.peering.fleetSizeBound(), b.settings.Box)
	}
}

// TestBoxServesWithoutItsPeersPort guards against a box that serves no callers, and that others don't find, because
// another process has its port for other boxes.
func TestBoxServesWithoutItsPeersPort(t *testing.T) {
	const ports = 4
	for _, network := range []string{"udp", "tcp"} {
		for _, held := range []int{1, ports - 1, ports} {
			t.Run(fmt.Sprintf("%s, %d of %d ports held", network, held, ports), func(t *testing.T) {
				runWithFleet(t, func(f *fleet) {
					t, out := f.t, &logBuffer{}
					f.out = out
					f.upstream("u", respondLate(t, time.Second))
					for i := range held {
						f.hold(network, fmt.Sprint("127.0.0.1:", 1020+i))
					}
					contact := func(g *config.Gateway) { g.Contacts = []string{"127.0.0.1:9"} }
					if held == ports {
						// It has to find the others.
						contact = func(g *config.Gateway) { g.Contacts = []string{"127.0.0.1:9", "127.0.0.2:9"} }
					}
					moved := f.box(1, withPorts(ports), contact)
					advance(t, 600*time.Millisecond)
					assertStatus(t, moved, "/safe/", http.StatusOK)
					assert.Len(t, out.with("peers port replaced"), 1)
					second, third := f.box(2, withPorts(ports), contact), f.box(3, withPorts(ports), contact)
					advance(t, 6*time.Second)
					assertKnowEachOther(t, moved, second, third)
					caller := moved.connect(moved.settings.CallersAddress)
					caller.write(requestText("/unsafe/", "Content-Length: 0\r\n"))
					advance(t, 500*time.Millisecond)
					for _, other := range []*running{second, third} {
						assert.Equal(t, 1, other.peering.mesh.OthersInFlight()[namekey.Of("u")], "a request of the box that moved")
					}
					caller.assertServed()
				})
			})
		}
	}
	t.Run("a fleet of one knows that it is alone", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			f.hold("udp", "127.0.0.1:1020")
			b := f.box(1, withPorts(ports), func(g *config.Gateway) { g.Contacts, g.FirstStart = []string{"127.0.0.1:9"}, true })
			advance(f.t, time.Second)
			assert.NotZero(f.t, f.store.readCount([]*running{b}), "the contact reads the store at once")
			advance(f.t, fleetSettleMs.Duration())
			assertKnowEachOther(f.t, b)
		})
	})
	t.Run("boxes of one host find each other", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			f.hold("tcp", "127.0.0.1:1020")
			boxes := []*running{}
			for i := range ports - 1 {
				boxes = append(boxes, f.box(i+1, withPorts(ports), func(g *config.Gateway) {
					g.PeersAddress, g.Contacts = "127.0.0.1:1020", []string{"127.0.0.1:9"}
				}))
			}
			advance(f.t, 6*time.Second)
			assertKnowEachOther(f.t, boxes...)
		})
	})
}

// TestContactThatMovesIsFound guards against boxes that look for a contact only at the port that it had.
func TestContactThatMovesIsFound(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t := f.t
		f.upstream("u", respondWith("done"))
		contact := func(g *config.Gateway) { g.Contacts = []string{"127.0.0.1:9"} }
		first, second := f.box(1, withPorts(3), contact), f.box(2, withPorts(3), contact)
		advance(t, 6*time.Second)
		assertKnowEachOther(t, first, second)
		first.stop()
		advance(t, 5*time.Second)
		first.assertStopped()
		f.hold("tcp", "127.0.0.1:1020")
		moved, third := f.box(1, withPorts(3), contact), f.box(3, withPorts(3), contact)
		advance(t, 6*time.Second)
		assertKnowEachOther(t, moved, second, third)
		assertStatus(t, third, "/safe/", http.StatusOK)
	})
}

// TestOnlyContactReturnsToLargerFleet guards against a box that stays alone, as a fleet of its own, if it knows no other
// contact than itself and the others know enough boxes without it.
func TestOnlyContactReturnsToLargerFleet(t *testing.T) {
	const boxes = 9
	for _, c := range []struct {
		name string
		away time.Duration
		held bool
	}{{"at another port", 0, true}, {"long after it left", 2 * time.Minute, false}} {
		t.Run(c.name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				f.upstream("u", respondWith("done"))
				all := []*running{}
				for i := range boxes {
					all = append(all, f.box(i+1, withPorts(4)))
				}
				advance(f.t, 6*time.Second)
				assertKnowEachOther(f.t, all...)
				all[0].stop()
				advance(f.t, 5*time.Second+c.away)
				all[0].assertStopped()
				if c.held {
					f.hold("udp", "127.0.0.1:1020")
				}
				all[0] = f.box(1, withPorts(4))
				advance(f.t, 6*time.Second)
				assertKnowEachOther(f.t, all...)
			})
		})
	}
}

// TestNextProcessOfMovedBox guards against a process that takes a port for other boxes, and the name of its box, while
// the process before serves, and against requests that nobody counts once it follows.
func TestNextProcessOfMovedBox(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t := f.t
		f.upstream("u", respondLate(t, 3500*time.Millisecond))
		f.hold("udp", "127.0.0.1:1020")
		contact := func(g *config.Gateway) { g.Contacts = []string{"127.0.0.1:9", "127.0.0.2:9"} }
		drains, other := f.box(1, withPorts(4), contact), f.box(2, withPorts(4), contact)
		advance(t, 3*time.Second)
		next := f.box(1, withPorts(4), contact)
		advance(t, 3*time.Second)
		assertKnowEachOther(t, drains, other)
		assert.Nil(t, next.peering, "a process that waits joins no mesh")
		drains.stop()
		advance(t, maxAnnounceMs.Duration()-200*time.Millisecond)
		caller := drains.connect(drains.settings.CallersAddress)
		caller.write(requestText("/unsafe/", "Content-Length: 0\r\n"))
		advance(t, 500*time.Millisecond)
		later := next.connect(next.settings.CallersAddress)
		later.write(requestText("/unsafe/", "Content-Length: 0\r\n"))
		advance(t, time.Second)
		assert.Equal(t, "127.0.0.1:1021", next.peering.address, "it takes the port that the process before has given up")
		assert.Equal(t, 2, other.peering.mesh.OthersInFlight()[namekey.Of("u")], "another box knows the requests of both")
		caller.assertServed()
		later.assertServed()
		drains.assertStopped()
	})
}

// TestBoxServesWithoutReadinessPort guards against a box that serves no callers because another process has the port of
// its readiness check.
func TestBoxServesWithoutReadinessPort(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t := f.t
		f.upstream("u", respondWith("done"))
		held := f.hold("tcp", "127.0.0.1:1010")
		b := f.box(1)
		assertStatus(t, b, "/safe/", http.StatusOK)
		advance(t, time.Minute)
		assertStatus(t, b, "/safe/", http.StatusOK)
		require.NoError(t, held.Close())
		advance(t, 100*time.Millisecond)
		probe := b.connect(b.settings.ReadinessAddress)
		probe.write("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
		assert.Equal(t, http.StatusOK, probe.response().StatusCode)
	})
	t.Run("and stops without it", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			f.hold("tcp", "127.0.0.1:1010")
			b := f.box(1)
			b.stop()
			advance(f.t, maxAnnounceMs.Duration()+time.Second)
			b.assertStopped()
		})
	})
}

// TestPeersAddressConfiguredBetweenTries guards against a box that takes another port, at which nobody looks for it,
// because its address for other boxes was configured after a try of the usual port.
func TestPeersAddressConfiguredBetweenTries(t *testing.T) {
	const tries = 40
	for failing := range tries {
		t.Run(strconv.Itoa(failing), func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				h, tried := f.network.Host("box-1"), atomic.Int64{}
				configured := func() bool { return tried.Add(1) > int64(failing) }
				b, cancel, done := f.runWithSockets(io.Discard, WithListen(func(network, address string) (net.Listener, error) {
					if address != "127.0.0.1:1000" && address != "127.0.0.1:1010" && !configured() {
						return nil, syscall.EADDRNOTAVAIL
					}
					return h.Listen(network, address)
				}), WithListenPackets(func(network, address string) (net.PacketConn, error) {
					if !configured() {
						return nil, syscall.EADDRNOTAVAIL
					}
					return h.ListenPackets(network, address)
				}))
				other := f.box(2, func(g *config.Gateway) { g.Contacts = []string{"127.0.0.1:9"} })
				advance(f.t, time.Minute)
				assert.Equal(f.t, 2, other.peering.mesh.Boxes())
				assert.Equal(f.t, 2, b.peering.mesh.Boxes())
				cancel()
				require.NoError(f.t, <-done)
			})
		})
	}
}

// TestBoxServesBeforeItsPeersAddress guards against a box that serves no callers, or never joins the others, because its
// address for other boxes is configured late.
func TestBoxServesBeforeItsPeersAddress(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t, out := f.t, &logBuffer{}
		f.upstream("u", respondWith("done"))
		h, configured := f.network.Host("box-1"), atomic.Bool{}
		b, cancel, done := f.runWithSockets(out, WithListen(func(network, address string) (net.Listener, error) {
			if address == "127.0.0.1:1020" && !configured.Load() {
				return nil, syscall.EADDRNOTAVAIL
			}
			return h.Listen(network, address)
		}), WithListenPackets(func(network, address string) (net.PacketConn, error) {
			if !configured.Load() {
				return nil, syscall.EADDRNOTAVAIL
			}
			return h.ListenPackets(network, address)
		}))
		other := f.box(2, func(g *config.Gateway) { g.Contacts = []string{"127.0.0.1:9"} })
		advance(t, time.Minute)
		assert.True(t, b.Ready())
		assert.Len(t, out.with("peers port missing"), 1)
		assert.Equal(t, 1, other.peering.mesh.Boxes())
		configured.Store(true)
		advance(t, 2*time.Second)
		assert.Equal(t, 2, other.peering.mesh.Boxes())
		assert.Equal(t, 2, b.peering.mesh.Boxes())
		cancel()
		require.NoError(t, <-done)
	})
}

// TestBoxStopsWithoutPeersAddress guards against a stop that waits for sockets that were never open.
func TestBoxStopsWithoutPeersAddress(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		f.upstream("u", respondWith("done"))
		h := f.network.Host("box-1")
		b, cancel, done := f.runWithSockets(&logBuffer{}, WithListen(func(network, address string) (net.Listener, error) {
			if address != "127.0.0.1:1000" {
				return nil, syscall.EMFILE
			}
			return h.Listen(network, address)
		}), WithListenPackets(func(string, string) (net.PacketConn, error) { return nil, syscall.EMFILE }))
		advance(f.t, time.Second)
		assert.True(f.t, b.Ready())
		stopped := clock.New().Now()
		cancel()
		require.NoError(f.t, <-done)
		assert.LessOrEqual(f.t, clock.New().Now()-stopped, clock.Second, "the grace period")
	})
}

// TestStopDuringWaitForPeersPort guards against callers whose connections are open, and closed unserved by a box that
// stops while it waits for its port for other boxes.
func TestStopDuringWaitForPeersPort(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t := f.t
		f.upstream("u", respondWith("done"))
		f.hold("tcp", "127.0.0.1:1020")
		b := f.box(1, withPorts(2))
		advance(t, 100*time.Millisecond)
		b.stop()
		start := clock.New().Now()
		caller := b.connect(b.settings.CallersAddress)
		caller.write(requestText("/unsafe/", "Content-Length: 0\r\n"))
		caller.assertServed()
		assert.Less(t, clock.New().Now()-start, peersPortWaitMs/2)
	})
}
