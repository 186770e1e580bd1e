package gateway

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/upstream"
)

// replaceBy makes another process respond at the address of an upstream.
func (u *unframedServer) replaceBy(f *fleet, id string, respond http.HandlerFunc) {
	address := u.listener.Addr().String()
	// It is replaced, whatever the error.
	_ = u.listener.Close()
	listener, err := f.network.Host(id).Listen("tcp", address)
	if err != nil {
		assert.Fail(f.t, "listen", err)
		return
	}
	other := &http.Server{Handler: respond} //nolint:gosec // No network that could stall it.
	f.t.Cleanup(func() { _ = other.Close() })
	go func() { _ = other.Serve(listener) }()
}

// Responses of a process that has replaced an upstream.
func rejectOther(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Expect") != "new" {
		w.WriteHeader(http.StatusMisdirectedRequest)
	}
}

func tellID(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Upstream", "new") }

func resetAll(w http.ResponseWriter, _ *http.Request) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		upstream.ResetOnClose(conn)
		_ = conn.Close()
	}
}

func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// TestUnframedResponseOfReplacedUpstream guards against half a response that passes for whole because another process
// answers at the address, of which the store does not tell yet.
func TestUnframedResponseOfReplacedUpstream(t *testing.T) {
	for _, c := range []struct {
		name    string
		path    string
		respond http.HandlerFunc
	}{
		{"which rejects other requests", "/health", rejectOther},
		{"which tells its own ID", "/health", tellID},
		{"which rejects other requests, without health checks", "", rejectOther},
		{"which tells its own ID, without health checks", "", tellID},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				state := content(2)
				state.Pools[0].HealthPath = c.path
				f.store.setState(f.t, state)
				var answered atomic.Bool
				u := f.unframed("u1", &answered, "text/plain", "do", "done", closed)
				u.beforeEnd = func() { u.replaceBy(f, "u1", c.respond) }
				status, _, err := f.box(1).get("/unsafe2/")
				require.NoError(f.t, err)
				assert.Equal(f.t, http.StatusBadGateway, status)
			})
		})
	}
}

// TestUnframedStreamOfReplacedUpstream guards against a part of a stream that passes for whole because another process
// accepts connections at the address of an upstream that is gone, of which the store does not tell yet.
func TestUnframedStreamOfReplacedUpstream(t *testing.T) {
	const threeEvents = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"
	for _, c := range []struct {
		name, healthPath string
		respond          http.HandlerFunc
	}{
		{"no health checks", "", rejectOther},
		{"no health checks, and reports tell nothing", "", func(http.ResponseWriter, *http.Request) {}},
		{"no health checks, and reports are not answered", "", hang},
		{"health checks are rejected", "/health", rejectOther},
		{"health checks tell another ID", "/health", tellID},
		{"health checks are reset", "/health", resetAll},
		{"health checks are not answered", "/health", hang},
		{"health checks tell no ID", "/health", func(http.ResponseWriter, *http.Request) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				state := content(2)
				state.Pools[0].HealthPath = c.healthPath
				f.store.setState(f.t, state)
				var answered atomic.Bool
				for _, id := range []string{"u1", "u2"} {
					u := f.unframed(id, &answered, "text/event-stream", threeEvents, fiveEvents, closed)
					u.beforeEnd = func() { u.replaceBy(f, id, c.respond) }
				}
				status, body, err := f.box(1).get("/resumable/")
				require.NoError(f.t, err)
				assert.Equal(f.t, http.StatusOK, status)
				assert.Equal(f.t, fiveEvents, body)
			})
		})
	}
}

// TestUnconfirmedResponsesWithoutSubstitute guards against a part of a stream that passes for whole because no other
// upstream continues it, and against whole responses that are withheld although nothing could ever confirm them.
func TestUnconfirmedResponsesWithoutSubstitute(t *testing.T) {
	for _, c := range []struct {
		path, healthPath string
		complete         bool
	}{
		{"/resumable/", "/hang", false},
		{"/resumable/", "", true},
		{"/stream/", "/hang", true},
		{"/stream/", "", true},
		{"/safe/", "/hang", true},
		{"/safe/", "", true},
	} {
		t.Run(c.path+c.healthPath, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				state := content(2)
				state.Pools[0].HealthPath = c.healthPath
				f.store.setState(f.t, state)
				contentType := "text/event-stream"
				if c.path == "/safe/" {
					contentType = "text/plain"
				}
				u := f.unframed("u1", &atomic.Bool{}, contentType, fiveEvents, "", closed)
				_, body, err := f.box(1).get(c.path)
				assert.Equal(f.t, c.complete, err == nil, "%v", err)
				assert.Equal(f.t, fiveEvents, body)
				assert.EqualValues(f.t, 1, u.arrivals.Load())
			})
		})
	}
}

// TestUnframedResponseBesideBrokenOne guards against half a response that passes for whole where no health check tells,
// though the process has cut off another response as well, and against a whole one that is withheld for an earlier cut.
func TestUnframedResponseBesideBrokenOne(t *testing.T) {
	for pause, want := range map[time.Duration]int{
		0: http.StatusBadGateway, 200 * time.Millisecond: http.StatusOK, time.Second: http.StatusOK,
	} {
		t.Run(pause.String(), func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				state := content(2)
				state.Pools[0].HealthPath = ""
				f.store.setState(f.t, state)
				begun, end, status := make(chan struct{}), make(chan struct{}), make(chan int)
				f.upstream("u1", func(w http.ResponseWriter, r *http.Request) {
					conn, _, err := http.NewResponseController(w).Hijack()
					assert.NoError(f.t, err)
					head := "HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\n"
					if r.URL.Path == "/unsafe2/" {
						_, _ = io.WriteString(conn, head+"Content-Type: text/plain\r\n\r\ndo")
						close(begun)
						<-end
					} else {
						_, _ = io.WriteString(conn, head+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n99\r\nda")
					}
					_ = conn.Close()
				})
				b := f.box(1)
				go func() {
					got, _, err := b.get("/unsafe2/")
					assert.NoError(f.t, err)
					status <- got
				}()
				<-begun
				advance(f.t, 50*time.Millisecond)
				_, _, err := b.get("/stream/")
				require.Error(f.t, err)
				advance(f.t, pause)
				close(end)
				assert.Equal(f.t, want, <-status)
			})
		})
	}
}

// TestUnframedResponseOfFullUpstream guards against a whole response that is withheld since its upstream has no room for
// new connections and resets them.
func TestUnframedResponseOfFullUpstream(t *testing.T) {
	const conns = 6
	runWithFleet(t, func(f *fleet) {
		var arrivals sync.WaitGroup
		arrivals.Add(conns)
		f.upstream("u1", func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/health":
				time.Sleep(10 * time.Millisecond)
				resetAll(w, r)
			case "/safe/":
				arrivals.Done()
				arrivals.Wait()
				w.Header().Set("X-Id", r.Header.Get("X-Id"))
			default:
				if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\n\r\ndone")
					_ = conn.Close()
				}
			}
		})
		b := f.box(1)
		var kept sync.WaitGroup
		for range conns {
			kept.Go(func() {
				status, _, _ := b.get("/safe/")
				assert.Equal(f.t, http.StatusOK, status)
			})
		}
		kept.Wait()
		advance(f.t, 10*time.Millisecond)
		status, body, err := b.get("/unsafe2/")
		require.NoError(f.t, err)
		assert.Equal(f.t, http.StatusOK, status)
		assert.Equal(f.t, "done", body)
	})
}

// TestUnframedResponseOfRestartedUpstream guards against half a response that passes for whole because a process that was
// restarted under the same ID responds, of which the store does not tell yet.
func TestUnframedResponseOfRestartedUpstream(t *testing.T) {
	const startedMs = 5
	for name, c := range map[string]struct{ startedMs, want int }{
		"restarted": {startedMs + 1, http.StatusBadGateway},
		"running":   {startedMs, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				var answered atomic.Bool
				u := f.unframed("u1", &answered, "text/plain", "do", "done", closed)
				entry := f.store.entry("u1")
				entry.StartedMs = startedMs
				f.store.put(entry)
				u.beforeEnd = func() {
					u.replaceBy(f, "u1", func(w http.ResponseWriter, r *http.Request) {
						w.Header().Set("X-Upstream", "u1")
						if r.URL.Path == reportPath {
							_, _ = io.WriteString(w, strconv.Itoa(c.startedMs))
						}
					})
				}
				status, _, err := f.box(1).get("/unsafe2/")
				require.NoError(f.t, err)
				assert.Equal(f.t, c.want, status)
			})
		})
	}
}
