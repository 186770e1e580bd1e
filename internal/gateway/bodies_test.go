package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/registry"
)

// sendRaw writes bytes to a box on a new connection.
func (r *running) sendRaw(data string) net.Conn {
	r.fleet.t.Helper()
	conn, err := r.fleet.network.Host("caller").Dial(r.fleet.t.Context(), "tcp", r.settings.CallersAddress)
	require.NoError(r.fleet.t, err)
	go func() { _, _ = io.WriteString(conn, data) }()
	return conn
}

// requestHead returns the request line and headers of a request, with additional headers.
func requestHead(id string, more ...string) string {
	lines := append([]string{"POST /unsafe/ HTTP/1.1", "Host: " + host, "X-Id: " + id, "Authorization: " + key}, more...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

func TestBodies(t *testing.T) {
	const hidden = "POST /unsafe/hidden HTTP/1.1\r\nHost: " + host + "\r\nX-Id: hidden\r\nContent-Length: 0\r\n\r\n"
	chunked := func(body string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body) }
	for _, c := range []struct{ name, sent, want string }{
		{"chunked body", requestHead("1", "Transfer-Encoding: chunked") + "3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n", "abcdefg"},
		{"body that looks like a request", requestHead("1", fmt.Sprint("Content-Length: ", len(hidden))) + hidden, hidden},
		{"chunked body that looks like a request", requestHead("1", "Transfer-Encoding: chunked") + chunked(hidden), hidden},
		{"chunked body and a Content-Length", requestHead("1", "Content-Length: 4", "Transfer-Encoding: chunked") + chunked(hidden), hidden},
	} {
		t.Run("a request with a "+c.name+" arrives once and unmodified", func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				t := f.t
				var arrivals atomic.Int32
				var got []byte
				f.upstream("u1", countRequests(&arrivals, func(w http.ResponseWriter, r *http.Request) {
					got, _ = io.ReadAll(r.Body)
					_, _ = io.WriteString(w, "done")
				}))
				conn := f.box(1).sendRaw(c.sent)
				defer func() { _ = conn.Close() }()
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
				advance(t, time.Second)
				assert.Equal(t, http.StatusOK, response.StatusCode)
				assert.Equal(t, c.want, string(got))
				assert.EqualValues(t, 1, arrivals.Load())
			})
		})
	}
	for _, badHeader := range []string{"Content-Length: 4\r\nContent-Length: 5", "Transfer-Encoding: gzip, chunked", "Content-Length: -1"} {
		t.Run("a request of ambiguous length reaches no upstream: "+strings.ReplaceAll(badHeader, "\r\n", ", "), func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				t := f.t
				var arrivals atomic.Int32
				f.upstream("u1", countRequests(&arrivals, respondWith("done")))
				conn := f.box(1).sendRaw(requestHead("1", badHeader) + "abcd")
				defer func() { _ = conn.Close() }()
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
				assert.GreaterOrEqual(t, response.StatusCode, http.StatusBadRequest)
				assert.Zero(t, arrivals.Load())
			})
		})
	}
}

// TestEarlyAnswer guards against a corrupted connection after an early response. The upstream responds before it has
// read a long body, keeps the connection open and continues to read. It must receive nothing but the rest of the body.
func TestEarlyAnswer(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t := f.t
		body := bytes.Repeat([]byte("0123456789"), 20_000)
		listener, err := f.network.Host("u1").Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = listener.Close() }()
		rest := make(chan []byte, 4)
		var conns []net.Conn
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				conns = append(conns, conn)
				go func() {
					reader := bufio.NewReaderSize(conn, 16)
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok", request.Header.Get("X-Id"))
					_ = clock.New().Sleep(t.Context(), clock.Second)
					late, _ := io.ReadAll(reader)
					rest <- late
				}()
			}
		}()
		f.store.put(registry.Upstream{ID: "u1", Pool: "p", Address: listener.Addr().String(), FailureDomain: "d", Slots: 8})
		b := f.box(1)
		for _, id := range []string{"1", "2"} {
			response, err := b.send(t.Context(), call{method: http.MethodPost, path: "/unsafe/", id: id, key: key, body: string(body)})
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			assert.Equal(t, http.StatusOK, response.StatusCode)
		}
		advance(t, 3*time.Second)
		for range 2 {
			late := <-rest
			assert.True(t, bytes.HasPrefix(body, late), "%d late bytes, all of the body", len(late))
		}
		for _, conn := range conns {
			require.NoError(t, conn.Close())
		}
	})
}

// TestBudgetOverBoxes lets all safe requests fail on three boxes for a window. The retries of all boxes together must
// stay below the ratio and the slack that operators set for the whole fleet.
func TestBudgetOverBoxes(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t := f.t
		var arrivals atomic.Int32
		for _, id := range []string{"u1", "u2"} {
			f.upstream(id, countRequests(&arrivals, respondStatus(http.StatusInternalServerError)))
		}
		boxes := f.boxes(3)
		advance(t, 3*time.Second)
		const each = 200
		for range each {
			advance(t, 50*time.Millisecond)
			for _, b := range boxes {
				_, _, err := b.get("/safe/")
				require.NoError(t, err)
			}
		}
		requests := each * len(boxes)
		retries := int(arrivals.Load()) - requests
		assert.LessOrEqual(t, retries, int(defaultRatio*float64(requests))+defaultSlack)
		assert.Greater(t, retries, requests/10, "some requests are retried")
	})
}
