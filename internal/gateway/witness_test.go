package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/registry"
)

// process is an upstream that tells nothing of itself. It responds to /unsafe2/ without a length, some time later.
type process struct {
	f        *fleet
	listener net.Listener
	// thinks is how long the head of a response takes.
	thinks time.Duration

	mu    sync.Mutex
	conns []net.Conn
	ended bool
}

// process starts a process at an address, which responds after beforeEnd.
func (f *fleet) process(address string, beforeEnd func(p *process, carrying net.Conn)) *process {
	f.t.Helper()
	listener, err := f.network.Host("u1").Listen("tcp", address)
	require.NoError(f.t, err)
	p := &process{f: f, listener: listener}
	f.t.Cleanup(func() { p.end() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if p.add(conn) {
				go p.serve(conn, beforeEnd)
			}
		}
	}()
	return p
}

// add reports whether the process still runs. Otherwise it closes the connection, as the kernel does.
func (p *process) add(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		_ = conn.Close()
		return false
	}
	p.conns = append(p.conns, conn)
	return true
}

func (p *process) serve(conn net.Conn, beforeEnd func(p *process, carrying net.Conn)) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path != "/unsafe2/" {
			_, _ = io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		time.Sleep(p.thinks)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nContent-Type: text/plain\r\n\r\ndone")
		beforeEnd(p, conn)
		return
	}
}

// end closes all connections in order, as the kernel does for a process that is gone.
func (p *process) end() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	p.closeUnused(nil)
}

// closeUnused closes all connections but the one that carries the response.
func (p *process) closeUnused(carrying net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range slices.DeleteFunc(p.conns, func(c net.Conn) bool { return c == carrying }) {
		_ = c.Close()
	}
	p.conns = nil
}

// TestUnframedResponseWhoseProcessEnds guards against a part of a response that passes for whole because the next process
// accepts connections where no process tells anything of itself, and against whole responses of sound processes that are
// withheld since these close connections on which nothing is sent.
func TestUnframedResponseWhoseProcessEnds(t *testing.T) {
	const responds = 300 * time.Millisecond
	for _, c := range []struct {
		name      string
		beforeEnd func(p *process, carrying net.Conn)
		want      int
	}{
		{"and is replaced", func(p *process, _ net.Conn) {
			time.Sleep(responds)
			p.end()
			p.f.process(p.listener.Addr().String(), nil)
		}, http.StatusBadGateway},
		{"and runs on", func(*process, net.Conn) { time.Sleep(responds) }, http.StatusOK},
		{"and has closed unused connections before", func(p *process, carrying net.Conn) {
			time.Sleep(responds / 2)
			p.closeUnused(carrying)
			time.Sleep(responds / 2)
		}, http.StatusOK},
		{"and closes unused connections later", func(p *process, carrying net.Conn) {
			time.Sleep(responds)
			time.AfterFunc(responds/2, func() { p.closeUnused(carrying) })
		}, http.StatusOK},
		{"and closes connections as soon as they are open", func(p *process, carrying net.Conn) {
			time.Sleep(time.Millisecond)
			p.closeUnused(carrying)
			time.Sleep(10 * time.Millisecond)
		}, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				state := content(2)
				state.Pools[0].HealthPath = ""
				f.store.setState(f.t, state)
				p := f.process("127.0.0.1:0", c.beforeEnd)
				f.store.put(registry.Upstream{
					ID: "u1", Pool: "p", Address: p.listener.Addr().String(), FailureDomain: "d", Slots: 8,
				})
				status, body, err := f.box(1).get("/unsafe2/")
				require.NoError(f.t, err)
				assert.Equal(f.t, c.want, status)
				assert.Equal(f.t, c.want == http.StatusOK, body == "done")
			})
		})
	}
}

// TestUnframedResponseWhoseProcessEndsAtOnce guards against the head of a response that passes for the whole since its
// process ends before a connection can show that, in a pool whose responses end with their connections.
func TestUnframedResponseWhoseProcessEndsAtOnce(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		state := content(2)
		state.Pools[0].HealthPath = ""
		f.store.setState(f.t, state)
		put := func(id, address string) {
			f.store.put(registry.Upstream{ID: id, Pool: "p", Address: address, FailureDomain: "d", Slots: 8})
			advance(f.t, time.Second)
		}
		first := f.process("127.0.0.1:0", func(*process, net.Conn) {})
		put("u1", first.listener.Addr().String())
		b := f.box(1)
		status, _, err := b.get("/unsafe2/")
		require.NoError(f.t, err)
		require.Equal(f.t, http.StatusOK, status)
		f.store.remove("u1")
		second := f.process("127.0.0.1:0", func(p *process, _ net.Conn) {
			p.end()
			p.f.process(p.listener.Addr().String(), nil)
		})
		second.thinks = 100 * time.Millisecond
		put("u2", second.listener.Addr().String())
		status, _, err = b.get("/unsafe2/")
		require.NoError(f.t, err)
		assert.Equal(f.t, http.StatusBadGateway, status)
	})
}
