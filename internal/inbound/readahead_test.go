package inbound

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
)

// Requests of which the server may read more than one at once.
var pipelined = map[string]string{
	"no body":             "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
	"line feeds only":     "GET / HTTP/1.1\nHost: h\n\n",
	"a body":              "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nred\r\n\r\nor",
	"a chunked body":      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n\r\n\r\n\r\n3\r\nred\r\n0\r\n\r\n",
	"a body and trailers": "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nred\r\n0\r\nEnd: 1\r\n\r\n",
	"a long body": fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 3*discardBytes,
		strings.Repeat("\r\n\r\n", 3*discardBytes/4)),
}

// closableListener is a pipeListener that can be closed.
type closableListener struct {
	pipeListener
	closed chan struct{}
}

func (l closableListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l closableListener) Close() error {
	close(l.closed)
	return nil
}

// servePipelined serves the connections of a listener that is full with one.
func servePipelined(t *testing.T, handler http.HandlerFunc) (l *Listener, connect func() net.Conn) {
	t.Helper()
	inner := closableListener{pipeListener{conns: make(chan net.Conn, 1)}, make(chan struct{})}
	l = NewListener(inner, 1, exchange.NewMemory(1<<20), clock.New())
	server := http.Server{
		ConnContext: WithConn, ConnState: TrackIdle(clock.New().Monotonic), Handler: TrackRequests(handler),
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = server.Serve(l) }()
	connect = func() net.Conn {
		near, far := net.Pipe()
		inner.conns <- pipeConn{near}
		t.Cleanup(func() { _ = far.Close() })
		return far
	}
	t.Cleanup(func() { _ = server.Close() })
	return l, connect
}

// slowly responds after a second, and then with the body.
func slowly(w http.ResponseWriter, r *http.Request) {
	<-time.After(time.Second)
	_, _ = io.Copy(w, r.Body)
}

// assertAnswered asserts that a number of responses arrive, and then the end of the connection.
func assertAnswered(t *testing.T, caller net.Conn, responses int) {
	t.Helper()
	reader := bufio.NewReader(caller)
	for i := range responses {
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err, "response %d", i)
		assert.Equal(t, http.StatusOK, response.StatusCode)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	_, err := reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// TestPipelinedRequests guards against connections that are closed while another request waits in a buffer.
func TestPipelinedRequests(t *testing.T) {
	const responses = 3
	for name, text := range pipelined {
		t.Run("on a full box, "+name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, connect := servePipelined(t, slowly)
				caller := connect()
				go func() { _, _ = io.WriteString(caller, text+text+text) }()
				synctest.Wait()
				connect()
				assertAnswered(t, caller, responses)
			})
		})
		t.Run("in a stop, "+name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, connect := servePipelined(t, slowly)
				caller := connect()
				go func() { _, _ = io.WriteString(caller, text+text+text) }()
				synctest.Wait()
				go l.CloseIdle(t.Context())
				assertAnswered(t, caller, responses)
			})
		})
	}
}

// TestPipelinedCallerThatLeaves guards against upstreams that work for a caller that has left after several requests.
func TestPipelinedCallerThatLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		canceled := make(chan struct{})
		_, connect := servePipelined(t, func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			close(canceled)
			panic(http.ErrAbortHandler)
		})
		caller := connect()
		_, err := io.WriteString(caller, strings.Repeat(pipelined["no body"], 2))
		require.NoError(t, err)
		synctest.Wait()
		require.NoError(t, caller.Close())
		<-canceled
	})
}

// TestPipelinedRequestsStayInOrder guards against bytes that change places because the server reads to learn that the
// caller has left.
func TestPipelinedRequestsStayInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, connect := servePipelined(t, func(w http.ResponseWriter, r *http.Request) {
			<-time.After(time.Second)
			_, _ = io.WriteString(w, r.URL.Path)
		})
		caller := connect()
		go func() {
			_, _ = io.WriteString(caller, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
			<-time.After(time.Second / 2)
			_, _ = io.WriteString(caller, "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n")
		}()
		reader := bufio.NewReader(caller)
		for _, want := range []string{"/1", "/2", "/3"} {
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			assert.Equal(t, want, string(body))
		}
	})
}

// TestEndlessPipelineGivesWay guards against a caller that always sends more and keeps its slot of a full box.
func TestEndlessPipelineGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		served := atomic.Int32{}
		_, connect := servePipelined(t, func(w http.ResponseWriter, r *http.Request) {
			served.Add(1)
			<-time.After(time.Second)
			if ConnOf(r.Context()).GivesWay() {
				w.Header().Set("Connection", "close")
			}
		})
		caller := connect()
		go func() {
			text := strings.Repeat(pipelined["no body"], 10)
			for err := error(nil); err == nil; {
				_, err = io.WriteString(caller, text)
			}
		}()
		go func() { _, _ = io.Copy(io.Discard, caller) }()
		synctest.Wait()
		other := connect()
		_, err := io.WriteString(other, pipelined["no body"])
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(other), nil)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		// The server reads 4 KiB at once.
		assert.LessOrEqual(t, int(served.Load()), 2+4096/len(pipelined["no body"]))
	})
}
