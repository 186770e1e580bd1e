package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/upstream"
)

// ending is how an upstream ends a response that has neither a length nor chunks.
type ending int

const (
	closed ending = iota
	reset
	// crashed closes the upstream's listener and then the connection, as the kernel does for a process that is gone.
	crashed
	// dying closes the connection, and the listener only after dyingMs, until which the kernel accepts connections. It
	// resets them then.
	dying
)

// dyingMs is how long the kernel takes to close the sockets of a process that is gone, on a busy host.
const dyingMs = 350

// unframedServer is an upstream whose responses have neither a length nor chunks.
type unframedServer struct {
	listener net.Listener
	arrivals atomic.Int32
	// gone is closed when the listener is, if the process dies.
	gone    chan struct{}
	isDying atomic.Bool
	// beforeEnd is called before the end of the first response of the fleet.
	beforeEnd func()
}

// unframed starts an upstream that answers the first request of the fleet with this body and ending, and all others
// with whole, closed in order.
func (f *fleet) unframed(id string, answered *atomic.Bool, contentType, body, whole string, end ending) *unframedServer {
	f.t.Helper()
	listener, err := f.network.Host(id).Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	u := &unframedServer{listener: listener, gone: make(chan struct{}), beforeEnd: func() {}}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { //nolint:gosec // No network that could stall it.
		if r.URL.Path == "/health" && !u.isDying.Load() {
			w.Header().Set("X-Upstream", f.store.idAt(listener.Addr().String()))
			return
		}
		if r.URL.Path == reportPath && !u.isDying.Load() {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if r.URL.Path == "/hang" {
			<-r.Context().Done()
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		assert.NoError(f.t, err)
		if u.isDying.Load() {
			<-u.gone
			upstream.ResetOnClose(conn)
			_ = conn.Close()
			return
		}
		u.arrivals.Add(1)
		part, how, beforeEnd := whole, closed, func() {}
		if !answered.Swap(true) {
			part, how, beforeEnd = body, end, u.beforeEnd
		}
		if resumeAfter := r.Header.Get("Last-Event-Id"); resumeAfter != "" {
			_, part, _ = strings.Cut(part, "data: "+resumeAfter+"\n\n")
		}
		u.respond(conn, r.Header.Get("X-Id"), contentType, part, beforeEnd, how)
	})}
	go func() { _ = server.Serve(listener) }()
	f.t.Cleanup(func() { _ = server.Close() })
	f.store.put(registry.Upstream{ID: id, Pool: "p", Address: listener.Addr().String(), FailureDomain: "d", Slots: 8})
	return u
}

func (u *unframedServer) respond(conn net.Conn, request, contentType, body string, beforeEnd func(), end ending) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+request+"\r\nContent-Type: "+contentType+"\r\n\r\n"+body)
	beforeEnd()
	switch end {
	case reset:
		upstream.ResetOnClose(conn)
	case crashed:
		_ = u.listener.Close()
	case dying:
		u.isDying.Store(true)
		time.AfterFunc(dyingMs*time.Millisecond, func() {
			_ = u.listener.Close()
			close(u.gone)
		})
	case closed:
	}
	_ = conn.Close()
}

// TestUnframedResponses guards against taking the end of a connection for the end of a response.
func TestUnframedResponses(t *testing.T) {
	const (
		events      = "text/event-stream"
		plain       = "text/plain"
		threeEvents = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"
		cutEvent    = threeEvents + "id: 4\nda"
		crlfEvents  = "id: 1\r\ndata: 1\r\n\r\nid: 2\r\ndata: 2\r\n\r\n"
	)
	type outcome struct {
		body     string
		status   int
		broken   bool
		arrivals int32
	}
	whole := func(body string, arrivals int32) outcome { return outcome{body: body, status: 200, arrivals: arrivals} }
	broken := outcome{status: 200, broken: true, arrivals: 1}
	lost := outcome{status: http.StatusBadGateway, arrivals: 1}
	for _, c := range []struct {
		name, path, contentType, body, whole string
		end                                  ending
		want                                 outcome
	}{
		{"a stream that is whole", "/stream/", events, fiveEvents, fiveEvents, closed, whole(fiveEvents, 1)},
		{"a stream that is whole, with CRLF", "/stream/", events, crlfEvents, "", closed, whole(crlfEvents, 1)},
		{"a stream that ends inside an event", "/stream/", events, cutEvent, fiveEvents, closed, broken},
		{"a stream that ends before the blank line", "/stream/", events, strings.TrimSuffix(threeEvents, "\n"), fiveEvents, closed, broken},
		{"a stream that is reset inside an event", "/stream/", events, cutEvent, fiveEvents, reset, broken},
		{"a stream that is reset between events", "/stream/", events, threeEvents, fiveEvents, reset, broken},
		{"a stream whose server crashes inside an event", "/stream/", events, cutEvent, fiveEvents, crashed, broken},
		{"a stream whose server crashes between events", "/stream/", events, threeEvents, fiveEvents, crashed, broken},
		{"a stream whose server dies slowly between events", "/stream/", events, threeEvents, fiveEvents, dying, broken},
		{"a resumable stream that is whole", "/resumable/", events, fiveEvents, fiveEvents, closed, whole(fiveEvents, 1)},
		{"a resumable stream that is whole, with CRLF", "/resumable/", events, crlfEvents, "", closed, whole(crlfEvents, 1)},
		{"a resumable stream that ends inside an event", "/resumable/", events, cutEvent, fiveEvents, closed, whole(fiveEvents, 2)},
		{"a resumable stream that is reset between events", "/resumable/", events, threeEvents, fiveEvents, reset, whole(fiveEvents, 2)},
		{"a resumable stream whose server crashes between events", "/resumable/", events, threeEvents, fiveEvents, crashed, whole(fiveEvents, 2)},
		{"a resumable stream whose server dies slowly between events", "/resumable/", events, threeEvents, fiveEvents, dying, whole(fiveEvents, 2)},
		{"a safe response that is whole", "/safe/", plain, "done", "done", closed, whole("done", 1)},
		{"a safe response that is reset", "/safe/", plain, "do", "done", reset, whole("done", 2)},
		{"a safe response whose server crashes", "/safe/", plain, "do", "done", crashed, whole("done", 2)},
		{"a safe response whose server dies slowly", "/safe/", plain, "do", "done", dying, whole("done", 2)},
		{"an unsafe response that is whole", "/unsafe2/", plain, "done", "done", closed, whole("done", 1)},
		{"an unsafe response that is reset", "/unsafe2/", plain, "do", "done", reset, lost},
		{"an unsafe response whose server crashes", "/unsafe2/", plain, "do", "done", crashed, lost},
		{"an unsafe response whose server dies slowly", "/unsafe2/", plain, "do", "done", dying, lost},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				t := f.t
				var answered atomic.Bool
				u1 := f.unframed("u1", &answered, c.contentType, c.body, c.whole, c.end)
				u2 := f.unframed("u2", &answered, c.contentType, c.body, c.whole, c.end)
				status, body, err := f.box(1).get(c.path)
				assert.Equal(t, c.want.status, status)
				assert.Equal(t, c.want.broken, err != nil, "the caller sees that the response is broken: %v", err)
				if c.want.body != "" {
					assert.Equal(t, c.want.body, body)
				}
				assert.Equal(t, c.want.arrivals, u1.arrivals.Load()+u2.arrivals.Load())
			})
		})
	}
}

// TestUnframedResponsesOfLeavingUpstreams guards against a broken response that passes for whole because its upstream
// was leaving or replaced, and against a whole one that is withheld because its upstream was leaving.
func TestUnframedResponsesOfLeavingUpstreams(t *testing.T) {
	const plain, events, threeEvents = "text/plain", "text/event-stream", "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"
	drain := func(f *fleet, u registry.Upstream) { u.Draining = true; f.store.put(u) }
	vanish := func(f *fleet, u registry.Upstream) { f.store.remove(u.ID) }
	restart := func(f *fleet, u registry.Upstream) { u.StartedMs++; f.store.put(u) }
	readdress := func(f *fleet, u registry.Upstream) { u.ID = "u3"; f.store.put(u) }
	silence := func(f *fleet, u registry.Upstream) {
		f.network.SetBlackhole(func(from, to string) bool { return from == "box-1" && to == u.ID })
	}
	for _, leaving := range []struct {
		name  string
		leave func(f *fleet, u registry.Upstream)
		end   ending
		whole bool
	}{
		{"draining and alive", drain, closed, true},
		{"draining, and crashes", drain, crashed, false},
		{"draining, and dies slowly", drain, dying, false},
		{"gone from the store and alive", vanish, closed, true},
		{"gone from the store, and crashes", vanish, crashed, false},
		{"restarted under its id", restart, closed, false},
		{"replaced at its address", readdress, closed, false},
		{"silent to new connections", silence, closed, false},
	} {
		for _, c := range []struct{ path, contentType, part, whole string }{
			{"/stream/", events, threeEvents, fiveEvents},
			{"/resumable/", events, threeEvents, fiveEvents},
			{"/safe/", plain, "do", "done"},
			{"/unsafe2/", plain, "do", "done"},
		} {
			t.Run(c.path+" of an upstream that is "+leaving.name, func(t *testing.T) {
				runWithFleet(t, func(f *fleet) {
					body := c.part
					if leaving.whole {
						body = c.whole
					}
					var answered atomic.Bool
					for _, id := range []string{"u1", "u2"} {
						f.unframed(id, &answered, c.contentType, body, c.whole, leaving.end).beforeEnd = func() {
							leaving.leave(f, f.store.entry(id))
							assert.NoError(f.t, f.clock.Sleep(context.Background(), pollMs+3*sourceCheckIntervalMs))
						}
					}
					status, got, err := f.box(1).get(c.path)
					complete := err == nil && status == http.StatusOK
					if complete {
						assert.Equal(f.t, c.whole, got)
					}
					repeatable := c.path == "/resumable/" || c.path == "/safe/"
					assert.Equal(f.t, leaving.whole || repeatable, complete, "status %d, %v", status, err)
				})
			})
		}
	}
}

// TestUnframedResponsesWithoutHealthCheck guards against half a response that passes for whole while the kernel of a dead
// process still accepts connections, and against a whole one that is withheld, where no health check tells them apart.
func TestUnframedResponsesWithoutHealthCheck(t *testing.T) {
	for _, c := range []struct {
		name, healthPath, body string
		end                    ending
		want                   int
	}{
		{"a whole response, no health checks", "", "done", closed, http.StatusOK},
		{"a whole response, health checks are not answered", "/hang", "done", closed, http.StatusOK},
		{"half a response, no health checks", "", "do", dying, http.StatusBadGateway},
		{"half a response, health checks are not answered", "/hang", "do", dying, http.StatusBadGateway},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				state := content(2)
				state.Pools[0].HealthPath = c.healthPath
				f.store.setState(f.t, state)
				var answered atomic.Bool
				f.unframed("u1", &answered, "text/plain", c.body, "done", c.end)
				f.unframed("u2", &answered, "text/plain", c.body, "done", c.end)
				status, body, err := f.box(1).get("/unsafe2/")
				require.NoError(f.t, err)
				assert.Equal(f.t, c.want, status)
				assert.Equal(f.t, c.want == http.StatusOK, body == "done")
			})
		})
	}
}

// TestUnframedResponsesTellTheirCheck guards against an end of a connection that no line tells from the end of a body.
func TestUnframedResponsesTellTheirCheck(t *testing.T) {
	for healthPath, want := range map[string]string{"/health": `"end":"upstream_responds"`, "/hang": `"msg":"end unconfirmed"`} {
		t.Run(healthPath, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				out := &logBuffer{}
				f.out = out
				state := content(2)
				state.Pools[0].HealthPath = healthPath
				f.store.setState(f.t, state)
				f.unframed("u1", &atomic.Bool{}, "text/event-stream", "id: 7\ndata: 7\n\n", "", closed)
				_, _, err := f.box(1).get("/stream/")
				require.NoError(f.t, err)
				advance(f.t, time.Second)
				assert.Contains(f.t, out.String(), want)
				assert.Contains(f.t, out.String(), `"framing":"connection","end":"upstream_`)
				assert.Contains(f.t, out.String(), `"events":1,`)
			})
		})
	}
}

// TestUnframedResponseAtPartitionedBox guards against a broken response that passes for whole because the box can't tell
// a crash from its own partition, in which all upstreams refuse new connections.
func TestUnframedResponseAtPartitionedBox(t *testing.T) {
	for _, c := range []struct {
		path   string
		status int
	}{{"/safe/", http.StatusOK}, {"/unsafe/", http.StatusBadGateway}} {
		t.Run(c.path, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				t := f.t
				responding := func(w http.ResponseWriter, r *http.Request) {
					f.network.SetRefusal(fromUpstreams("box-1"))
					conn, _, err := http.NewResponseController(w).Hijack()
					assert.NoError(t, err)
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\n\r\ndone")
					_ = conn.Close()
				}
				f.upstream("u1", responding)
				f.upstream("u2", responding)
				boxes := f.boxes(2)
				advance(t, time.Second)
				status, body, err := boxes[0].get(c.path)
				require.NoError(t, err)
				assert.Equal(t, c.status, status)
				assert.Equal(t, c.status == http.StatusOK, body == "done")
			})
		})
	}
}

// TestUnframedResponsesToHTTP10 guards against a broken stream that a caller over HTTP/1.0 takes for a complete one:
// for such a caller, too, the end of the connection is the end of the response.
func TestUnframedResponsesToHTTP10(t *testing.T) {
	const cutEvent = "id: 1\ndata: 1\n\nid: 2\nda"
	for _, c := range []struct {
		name, body string
		broken     bool
	}{
		{"a whole stream is closed in order", fiveEvents, false},
		{"a broken stream is reset", cutEvent, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				t := f.t
				var answered atomic.Bool
				f.unframed("u1", &answered, "text/event-stream", c.body, fiveEvents, closed)
				conn := f.box(1).sendRaw("GET /stream/ HTTP/1.0\r\nHost: " + host + "\r\nX-Id: 1\r\nAuthorization: " + key + "\r\n\r\n")
				defer func() { _ = conn.Close() }()
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				body, err := io.ReadAll(response.Body)
				assert.Equal(t, c.body, string(body))
				assert.Equal(t, c.broken, err != nil, "the caller sees that the response is broken: %v", err)
			})
		})
	}
}

// TestUnframedResponseOfCrashedUpstream guards against a request that crashes each upstream while its response ends
// with the connection: a whole response would exempt it from quarantine.
func TestUnframedResponseOfCrashedUpstream(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t := f.t
		var arrivals int32
		servers := []*unframedServer{}
		for _, id := range []string{"u1", "u2", "u3", "u4", "u5"} {
			servers = append(servers, f.unframed(id, &atomic.Bool{}, "text/event-stream", "id: 1\ndata: 1\n\n", "", crashed))
		}
		b := f.box(1)
		for range 5 {
			_, _, _ = b.get("/stream/")
			require.NoError(t, f.clock.Sleep(context.Background(), 500))
		}
		for _, u := range servers {
			arrivals += u.arrivals.Load()
		}
		assert.EqualValues(t, defaultMinCrashes, arrivals, "the request is held back after the third crash")
	})
}

// TestUnframedResponseToHead guards against a response without a body that is withheld because its end is not known.
func TestUnframedResponseToHead(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		f.unframed("u1", &atomic.Bool{}, "text/plain", "", "", crashed)
		conn := f.box(1).sendRaw("HEAD /unsafe2/ HTTP/1.1\r\nHost: " + host + "\r\nX-Id: 1\r\nAuthorization: " + key + "\r\n\r\n")
		defer func() { _ = conn.Close() }()
		response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodHead})
		require.NoError(f.t, err)
		assert.Equal(f.t, http.StatusOK, response.StatusCode)
	})
}
