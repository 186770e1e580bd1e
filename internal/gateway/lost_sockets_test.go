package gateway

import (
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/testlib"
	"dooryard.example/dooryard/pkg/config"
)

// losable opens the sockets of a box. They die when another process gets their addresses.
type losable struct {
	host testlib.Host
	err  error

	mu     sync.Mutex
	opened map[string]io.Closer
	taken  map[string]bool
}

func openLosable[T io.Closer](l *losable, open func(network, address string) (T, error)) func(network, address string) (T, error) {
	return func(network, address string) (T, error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.taken[network+address] {
			var none T
			return none, l.err
		}
		socket, err := open(network, address)
		if err == nil {
			l.opened[network+address] = socket
		}
		return socket, err
	}
}

func (l *losable) options() []Option {
	return []Option{
		WithListen(openLosable(l, l.host.Listen)),
		WithListenPackets(openLosable(l, l.host.ListenPackets)),
	}
}

// take gives addresses to another process.
func (l *losable) take(t *testing.T, network string, addresses ...string) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, address := range addresses {
		l.taken[network+address] = true
		if socket := l.opened[network+address]; socket != nil {
			require.NoError(t, socket.Close())
		}
	}
}

func (l *losable) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.taken)
}

// runLosable runs a box with losable sockets beside one that may find it again, and a caller that keeps a connection.
func runLosable(
	t *testing.T, err error, test func(f *fleet, l *losable, b, other *running, kept *rawCaller), change ...func(g *config.Gateway),
) {
	t.Helper()
	runWithFleet(t, func(f *fleet) {
		f.upstream("u", respondWith("done"))
		f.out = &logBuffer{}
		l := &losable{host: f.network.Host("box-1"), err: err, opened: map[string]io.Closer{}, taken: map[string]bool{}}
		f.options = l.options()
		b := f.box(1, change...)
		f.options = nil
		other := f.box(2, change...)
		advance(f.t, 6*time.Second)
		assertKnowEachOther(f.t, b, other)
		test(f, l, b, other, b.connect(b.settings.CallersAddress))
	})
}

// assertKeeps checks that a box serves a request on an open connection.
func (r *rawCaller) assertKeeps() {
	r.t.Helper()
	r.write(requestText("/safe/", "Content-Length: 0\r\n"))
	r.assertServed()
}

// TestBoxOutlivesItsSockets guards against a box that ends by itself, with the requests of its callers, because a socket
// dies and stays taken.
func TestBoxOutlivesItsSockets(t *testing.T) {
	const callers, readiness, peers = "127.0.0.1:1000", "127.0.0.1:1010", "127.0.0.1:1020"
	for _, err := range []error{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EACCES} {
		for _, lost := range []struct{ name, network, address string }{
			{"callers", "tcp", callers}, {"readiness", "tcp", readiness}, {"peers", "tcp", peers}, {"peers UDP", "udp", peers},
		} {
			t.Run(lost.name+": "+err.Error(), func(t *testing.T) {
				runLosable(t, err, func(f *fleet, l *losable, b, other *running, kept *rawCaller) {
					l.take(f.t, lost.network, lost.address)
					for range 6 {
						advance(f.t, 10*time.Second)
						kept.assertKeeps()
						assert.Equal(f.t, lost.address != callers, b.Ready())
					}
					if lost.address != callers {
						assertStatus(f.t, b, "/safe/", http.StatusOK)
					}
					out, ok := f.out.(*logBuffer)
					require.True(f.t, ok)
					assert.Len(f.t, out.with("listener failed"), 1)
					assert.LessOrEqual(f.t, len(out.with("listener retried")), 3)
					assert.Empty(f.t, b.done)
					l.release()
					advance(f.t, 3*time.Second)
					assert.True(f.t, b.Ready())
					assert.Equal(f.t, http.StatusOK, b.probeReadiness())
					assertStatus(f.t, b, "/safe/", http.StatusOK)
					assertKnowEachOther(f.t, b, other)
				})
			})
		}
	}
}

// TestRunningBoxMovesFromItsPeersPort guards against a box that is alone because another process has got its port for
// other boxes.
func TestRunningBoxMovesFromItsPeersPort(t *testing.T) {
	const peers = "127.0.0.1:1020"
	for _, c := range []struct {
		name     string
		networks []string
		// next is the address to which the box moves, empty if the kernel chooses the port.
		next  string
		taken []string
	}{
		{"TCP", []string{"tcp"}, "127.0.0.1:1021", []string{peers}},
		{"UDP", []string{"udp"}, "127.0.0.1:1021", []string{peers}},
		{"both", []string{"tcp", "udp"}, "127.0.0.1:1021", []string{peers}},
		{"the whole range", []string{"udp"}, "", []string{peers, "127.0.0.1:1021", "127.0.0.1:1022"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runLosable(t, syscall.EADDRINUSE, func(f *fleet, l *losable, b, other *running, _ *rawCaller) {
				third := f.box(3, withPorts(3))
				advance(f.t, 6*time.Second)
				for _, network := range c.networks {
					l.take(f.t, network, c.taken...)
				}
				advance(f.t, 3*time.Second)
				assertKnowEachOther(f.t, b, other, third)
				out, ok := f.out.(*logBuffer)
				require.True(f.t, ok)
				require.Len(f.t, out.with("peers port replaced"), 1)
				if c.next != "" {
					assert.Contains(f.t, out.with("peers port replaced")[0], c.next)
					conn, err := f.network.Host("box-2").Dial(f.t.Context(), "tcp", c.next)
					require.NoError(f.t, err)
					require.NoError(f.t, conn.Close())
				}
				b.stop()
				advance(f.t, 5*time.Second)
				b.assertStopped()
				l.release()
				back := f.box(1, withPorts(3))
				advance(f.t, 6*time.Second)
				assertKnowEachOther(f.t, back, other, third)
				assert.Equal(f.t, peers, back.peering.address)
			}, withPorts(3))
		})
	}
	t.Run("a stop ends the search", func(t *testing.T) {
		runLosable(t, syscall.EMFILE, func(f *fleet, l *losable, b, _ *running, _ *rawCaller) {
			l.take(f.t, "udp", peers, "127.0.0.1:0")
			l.take(f.t, "tcp", peers, "127.0.0.1:0")
			advance(f.t, 5*time.Second)
			b.stop()
			advance(f.t, 5*time.Second)
			b.assertStopped()
		})
	})
}
