package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// respondWith returns a handler that responds with a body.
func respondWith(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }
}

// countRequests counts the requests that reach a handler.
func countRequests(count *atomic.Int32, handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		handler(w, r)
	}
}

// abortConnection closes the connection without a response.
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// respondNotRun refuses a request with the header that proves that it was not run.
func respondNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// respondStatus returns a handler that responds with a status and no body.
func respondStatus(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
}

func TestHeaders(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t := f.t
		var got *http.Request
		var body []byte
		f.upstream("u1", func(w http.ResponseWriter, r *http.Request) {
			got = r.Clone(context.Background())
			body, _ = io.ReadAll(r.Body)
			w.Header().Set("X-Load", "3,1,8")
			w.Header().Set("X-Seal", "s")
			_, _ = io.WriteString(w, "done")
		})
		b := f.box(1)
		response, err := b.send(t.Context(), call{
			method: http.MethodPost, path: "/unsafe/a%20b?c=d", id: "7", key: key, body: "payload",
			header: http.Header{
				"X-Organisation": {"forged"}, "X-Expect": {"forged"}, "X-Reserved": {"forged"}, "X-Urgency": {"0"},
				"X-Fetch": {"forged"}, "X-Deadline": {"2500"}, "X-Other": {"kept"}, "Connection": {"X-Hop"}, "X-Hop": {"dropped"},
			},
		})
		require.NoError(t, err)
		data, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		// The request arrives unmodified.
		assert.Equal(t, "/unsafe/a%20b?c=d", got.RequestURI)
		assert.Equal(t, host, got.Host)
		assert.Equal(t, "payload", string(body))
		assert.Equal(t, "7", got.Header.Get("X-Id"))
		assert.Equal(t, "kept", got.Header.Get("X-Other"))
		// Headers that only the system may set have the system's values.
		assert.Equal(t, []string{"one"}, got.Header["X-Organisation"])
		assert.Equal(t, []string{"u1"}, got.Header["X-Expect"])
		for _, name := range []string{"X-Reserved", "X-Fetch", "Authorization", "X-Hop", "X-Urgency"} {
			assert.Empty(t, got.Header[name], name)
		}
		assert.Equal(t, strconv.Itoa(2500-newLeadMs), got.Header.Get("X-Deadline"))
		// The response arrives unmodified.
		assert.Equal(t, "done", string(data))
		assert.Equal(t, "s", response.Header.Get("X-Seal"))
		assert.Empty(t, response.Header.Get("X-Load"))
	})
}

// TestLargestDeadline guards against a deadline that has passed because a sum overflowed.
func TestLargestDeadline(t *testing.T) {
	for _, deadlineMs := range []string{"9223372036854775807", "9223372036854775808", "1000000000000"} {
		runWithFleet(t, func(f *fleet) {
			f.upstream("u1", respondAfter(20))
			response, err := f.box(1).send(f.t.Context(), call{
				method: http.MethodGet, path: "/safe/", key: key, header: http.Header{"X-Deadline": {deadlineMs}},
			})
			require.NoError(f.t, err)
			assert.Equal(f.t, http.StatusOK, response.StatusCode, deadlineMs)
		})
	}
}

func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name   string
		call   call
		status int
	}{
		{"no route", call{method: "GET", path: "/none/", key: key}, http.StatusNotFound},
		{"no key", call{method: "GET", path: "/safe/"}, http.StatusUnauthorized},
		{"unknown key", call{method: "GET", path: "/safe/", key: "other"}, http.StatusUnauthorized},
		{"public", call{method: "GET", path: "/public/"}, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				t := f.t
				f.upstream("u1", respondWith("done"))
				response, err := f.box(1).send(t.Context(), c.call)
				require.NoError(t, err)
				assert.Equal(t, c.status, response.StatusCode)
			})
		})
	}
	t.Run("before the first routing state all refusals are retryable", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			f.store.setUnavailable("box-1", true)
			b := f.box(1)
			status, _, err := b.get("/safe/")
			require.NoError(t, err)
			assert.Equal(t, http.StatusServiceUnavailable, status)
			assert.False(t, b.Ready())
		})
	})
	t.Run("requests wait for the routing state of a box that has just started", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", respondWith("done"))
			f.store.setUnavailable("box-1", true)
			b := f.box(1)
			advance(f.t, pollMs.Duration()-300*time.Millisecond)
			f.store.setUnavailable("box-1", false)
			assertStatus(t, b, "/safe/", http.StatusOK)
		})
	})
	t.Run("a box that has just started delays its response to the readiness check until it is ready", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", respondWith("done"))
			f.store.setReadDelay(startupWaitMs / 2)
			b := f.box(1)
			assert.Equal(t, http.StatusOK, b.probeReadiness())
		})
	})
	t.Run("a box whose first sync takes too long is not ready", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", respondWith("done"))
			f.store.setReadDelay(2 * startupWaitMs)
			b := f.box(1)
			began := time.Now()
			assert.Equal(t, http.StatusServiceUnavailable, b.probeReadiness())
			assert.Equal(t, startupWaitMs.Duration(), time.Since(began))
			began = time.Now()
			assertStatus(t, b, "/safe/", http.StatusServiceUnavailable)
			assert.Zero(t, time.Since(began), "a later request is refused immediately")
		})
	})
	t.Run("a box that knows no upstream yet is not ready", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			b := f.box(1)
			assert.False(f.t, b.Ready())
			f.upstream("u1", respondWith("done"))
			advance(f.t, time.Second)
			assert.True(f.t, b.Ready())
		})
	})
	t.Run("without an upstream requests are refused with a Retry-After header", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			response, err := f.box(1).send(t.Context(), call{method: "GET", path: "/public/"})
			require.NoError(t, err)
			assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			assert.Equal(t, "275ms", response.Header.Get("Retry-After"))
		})
	})
}

// TestSlowBody sends requests whose bodies arrive only in part.
func TestSlowBody(t *testing.T) {
	for _, c := range []struct {
		name   string
		head   string
		status int
		after  time.Duration
	}{
		{
			"an incomplete body is refused so that the refusal arrives at the timeout", "Authorization: " + key + "\r\nContent-Length: 10",
			http.StatusRequestTimeout, (timeoutMs - time.Duration(newLeadMs)) * time.Millisecond,
		},
		{
			"a body that is too large is refused without waiting for it",
			"Authorization: " + key + "\r\nContent-Length: 9999999", http.StatusRequestEntityTooLarge, 0,
		},
		{
			"the body of a caller without a key is waited for only briefly", "Content-Length: 10",
			http.StatusUnauthorized, unreadBodyMs.Duration(),
		},
		{
			"the body of a caller that closes its connection afterwards is waited for only briefly",
			"Connection: close\r\nContent-Length: 10", http.StatusUnauthorized, unreadBodyMs.Duration(),
		},
		{
			"a body that the caller sends only if asked is not asked for",
			"Connection: close\r\nExpect: 100-continue\r\nContent-Length: 10", http.StatusUnauthorized, 0,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				t := f.t
				var arrivals atomic.Int32
				f.upstream("u1", countRequests(&arrivals, respondWith("done")))
				b := f.box(1)
				conn, err := f.network.Host("caller").Dial(t.Context(), "tcp", b.settings.CallersAddress)
				require.NoError(t, err)
				_, err = io.WriteString(conn, "POST /unsafe/ HTTP/1.1\r\nHost: "+host+"\r\n"+c.head+"\r\n\r\npart")
				require.NoError(t, err)
				began := time.Now()
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				assert.Equal(t, c.status, response.StatusCode)
				assert.Equal(t, c.after, time.Since(began))
				assert.Zero(t, arrivals.Load())
				require.NoError(t, conn.Close())
			})
		})
	}
}

// TestRefusalBeforeBody guards against refusals that callers lose because the box closes the connection while the body
// of the request is still arriving.
func TestRefusalBeforeBody(t *testing.T) {
	for name, head := range map[string]string{
		"a connection that is kept":                   "HTTP/1.1",
		"a connection that is closed after a request": "HTTP/1.1\r\nConnection: close",
		"HTTP/1.0": "HTTP/1.0",
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				t := f.t
				conn, err := f.network.Host("caller").Dial(t.Context(), "tcp", f.box(1).settings.CallersAddress)
				require.NoError(t, err)
				defer func() { _ = conn.Close() }()
				_, err = io.WriteString(conn, "POST /unsafe/ "+head+"\r\nHost: "+host+"\r\nContent-Length: 4\r\n\r\n")
				require.NoError(t, err)
				advance(t, unreadBodyMs.Duration()/2)
				_, err = io.WriteString(conn, "body")
				require.NoError(t, err)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				assert.Equal(t, http.StatusUnauthorized, response.StatusCode)
				require.NoError(t, response.Body.Close())
			})
		})
	}
}

func TestCallerDisconnected(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t := f.t
		gone := make(chan time.Time, 1)
		f.upstream("u1", func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			gone <- time.Now()
		})
		b := f.box(1)
		ctx, cancel := context.WithCancel(t.Context())
		left := make(chan time.Time, 1)
		time.AfterFunc(time.Second, func() {
			left <- time.Now()
			cancel()
		})
		_, err := b.send(ctx, call{method: "GET", path: "/unsafe/", id: "1", key: key})
		require.Error(t, err)
		assert.Equal(t, <-left, <-gone)
	})
}

func TestStop(t *testing.T) {
	t.Run("running requests finish and new ones are served until the load balancer has noticed", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", func(w http.ResponseWriter, _ *http.Request) {
				advance(f.t, 3*time.Second)
				_, _ = io.WriteString(w, "done")
			})
			b := f.box(1)
			results := make(chan string, 2)
			send := func() {
				_, body, _ := b.get("/unsafe/")
				results <- body
			}
			go send()
			synctest.Wait()
			b.stop()
			synctest.Wait()
			assert.False(t, b.Ready())
			advance(f.t, time.Second)
			go send()
			assert.Equal(t, "done", <-results)
			assert.Equal(t, "done", <-results)
			require.NoError(t, <-b.done)
			b.done <- nil
		})
	})
	t.Run("a keep-alive connection loses no request", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", respondWith("done"))
			b := f.box(1)
			client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
				return f.network.Host("caller").Dial(ctx, network, b.settings.CallersAddress)
			}}}
			post := func() *http.Response {
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+host+"/unsafe/", nil)
				require.NoError(t, err)
				request.Header.Set("Authorization", key)
				response, err := client.Do(request)
				require.NoError(t, err)
				data, err := io.ReadAll(response.Body)
				require.NoError(t, err)
				assert.Equal(t, "done", string(data))
				return response
			}
			assert.False(t, post().Close)
			b.stop()
			synctest.Wait()
			for range 10 {
				assert.True(t, post().Close, "the response tells the caller to close the connection")
				advance(f.t, 200*time.Millisecond)
			}
			require.NoError(t, <-b.done)
			b.done <- nil
		})
	})
}
