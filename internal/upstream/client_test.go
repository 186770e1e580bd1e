package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/socket"
)

// testUpstream is an upstream that accepts connections on a local TCP port.
type testUpstream struct {
	listener net.Listener
	requests chan *http.Request
	conns    chan net.Conn
}

// startUpstream starts an upstream on a real socket, because the check of idle connections uses
// system calls below the net package.
func startUpstream(t *testing.T, handle func(conn net.Conn, requests *bufio.Reader)) *testUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &testUpstream{listener: listener, requests: make(chan *http.Request, 16), conns: make(chan net.Conn, 16)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns <- conn
			go handle(conn, bufio.NewReader(conn))
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return s
}

func (s *testUpstream) client() *Client {
	return New(s.listener.Addr().String(), clock.New().Monotonic)
}

// respondEach sends the next of the raw responses to each request. After the last one it closes the
// connection at the next request or when the client closes it.
func respondEach(answers ...string) func(conn net.Conn, requests *bufio.Reader) {
	return func(conn net.Conn, requests *bufio.Reader) {
		defer func() { _ = conn.Close() }()
		for _, answer := range answers {
			request, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, answer)
		}
		_, _ = http.ReadRequest(requests)
	}
}

func request(id string) *Request {
	return &Request{
		Method: http.MethodPost, Target: "/a?b=c", Host: "h.example", Header: http.Header{"X-Id": {id}},
		Body: []byte("body"), Matches: func(h http.Header) bool { return h.Get("X-Id") == id },
	}
}

func okResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + digit(len(body)) + "\r\n\r\n" + body
}

// closeWithReset closes a connection with a TCP reset.
func closeWithReset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func digit(n int) string { return strings.TrimSpace(string(rune('0' + n))) }

func readAll(t *testing.T, c *Client, r *Request) (string, error) {
	t.Helper()
	answer, err := c.Do(t.Context(), r)
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return string(body), err
}

func TestDo(t *testing.T) {
	t.Run("reuses a connection after a complete response", func(t *testing.T) {
		s := startUpstream(t, respondEach(okResponse("1", "one"), okResponse("2", "two")))
		c := s.client()
		for id, want := range []string{"one", "two"} {
			body, err := readAll(t, c, request(digit(id+1)))
			require.NoError(t, err)
			assert.Equal(t, want, body)
		}
		assert.Len(t, s.conns, 1)
	})
	t.Run("sends nothing when BeforeSend fails, and keeps the connection", func(t *testing.T) {
		s := startUpstream(t, respondEach(okResponse("2", "two")))
		c := s.client()
		late := request("1")
		errLate := errors.New("late")
		late.BeforeSend = func() error { return errLate }
		_, err := readAll(t, c, late)
		require.ErrorIs(t, err, errLate)
		assert.True(t, NothingSent(err))
		body, err := readAll(t, c, request("2"))
		require.NoError(t, err)
		assert.Equal(t, "two", body)
		assert.Len(t, s.conns, 1)
		assert.Empty(t, s.requests)
	})
	t.Run("does not extend the idle timeout of a connection that it did not use", func(t *testing.T) {
		withTimeout := strings.Replace(okResponse("1", "one"), "\r\n\r\n", "\r\nKeep-Alive: timeout=1\r\n\r\n", 1)
		s := startUpstream(t, respondEach(withTimeout, okResponse("1", "two")))
		now := clock.Millis(1)
		c := New(s.listener.Addr().String(), func() clock.Millis { return now })
		_, err := readAll(t, c, request("1"))
		require.NoError(t, err)
		unsent := request("9")
		unsent.BeforeSend = func() error { return errors.New("late") }
		_, err = readAll(t, c, unsent)
		require.Error(t, err)
		now += clock.Second
		_, err = readAll(t, c, request("1"))
		require.NoError(t, err)
		assert.Len(t, s.conns, 2, "the idle timeout of the first connection has expired")
	})
	t.Run("skips interim responses", func(t *testing.T) {
		s := startUpstream(t, respondEach("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+okResponse("1", "one")))
		body, err := readAll(t, s.client(), request("1"))
		require.NoError(t, err)
		assert.Equal(t, "one", body)
	})
	t.Run("skips a surplus response to an earlier request", func(t *testing.T) {
		s := startUpstream(t, respondEach(okResponse("0", "old")+okResponse("1", "one")))
		body, err := readAll(t, s.client(), request("1"))
		require.NoError(t, err)
		assert.Equal(t, "one", body)
	})
	t.Run("fails after too many responses to other requests, and reports that the request may have run", func(t *testing.T) {
		s := startUpstream(t, respondEach(okResponse("0", "a")+okResponse("0", "b")+okResponse("0", "c")))
		_, err := readAll(t, s.client(), request("1"))
		require.ErrorIs(t, err, ErrResponseMismatch)
		assert.False(t, NothingSent(err))
	})
	t.Run("a response without a length ends when the connection is closed", func(t *testing.T) {
		s := startUpstream(t, func(conn net.Conn, requests *bufio.Reader) {
			_, _ = http.ReadRequest(requests)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall of it")
			_, _ = io.CopyN(io.Discard, requests, 4)
			_ = conn.Close()
		})
		body, err := readAll(t, s.client(), request("1"))
		require.NoError(t, err)
		assert.Equal(t, "all of it", body)
	})
	t.Run("a response without a length is incomplete after a reset", func(t *testing.T) {
		s := startUpstream(t, func(conn net.Conn, requests *bufio.Reader) {
			_, _ = http.ReadRequest(requests)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart")
			closeWithReset(conn)
		})
		_, err := readAll(t, s.client(), request("1"))
		require.ErrorIs(t, err, ErrBroken)
	})
	t.Run("a truncated response is incomplete", func(t *testing.T) {
		s := startUpstream(t, respondEach("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\npart"))
		c := s.client()
		answer, err := c.Do(t.Context(), request("1"))
		require.NoError(t, err)
		go func() { _ = (<-s.conns).Close() }()
		_, err = io.ReadAll(answer)
		require.ErrorIs(t, err, ErrBroken)
		answer.Close()
		assert.Empty(t, c.idle)
	})
	t.Run("a malformed response breaks the attempt", func(t *testing.T) {
		s := startUpstream(t, respondEach("no answer at all\r\n\r\n"))
		_, err := readAll(t, s.client(), request("1"))
		require.ErrorIs(t, err, ErrBroken)
	})
}

func TestNothingSent(t *testing.T) {
	t.Run("is true when no connection opens", func(t *testing.T) {
		s := startUpstream(t, respondEach())
		require.NoError(t, s.listener.Close())
		_, err := readAll(t, s.client(), request("1"))
		assert.True(t, NothingSent(err))
		require.ErrorIs(t, err, ErrUnreachable)
	})
	t.Run("is false once the request was written", func(t *testing.T) {
		s := startUpstream(t, func(conn net.Conn, requests *bufio.Reader) {
			_, _ = http.ReadRequest(requests)
			_ = conn.Close()
		})
		_, err := readAll(t, s.client(), request("1"))
		require.ErrorIs(t, err, ErrBroken)
		assert.False(t, NothingSent(err))
	})
	t.Run("is true when the header can't be written", func(t *testing.T) {
		refused := errors.New("refused")
		c := New("127.0.0.1:1", clock.New().Monotonic, WithDial(
			func(context.Context, string, string) (net.Conn, error) { return brokenConn{err: refused}, nil }))
		_, err := readAll(t, c, request("1"))
		require.ErrorIs(t, err, refused)
		assert.True(t, NothingSent(err))
	})
}

// TestPartialWrite guards against a response that is lost because the upstream sent it before it had read the whole
// request.
func TestPartialWrite(t *testing.T) {
	reset := errors.New("connection reset")
	for name, size := range map[string]int{"a short request": 10, "a long request": 3 * maxInlineBytes, "a long header": 0} {
		t.Run(name, func(t *testing.T) {
			send := func(response string) (string, error) {
				conn := partialConn{response: strings.NewReader(response), err: reset}
				c := New("127.0.0.1:1", clock.New().Monotonic, WithDial(
					func(context.Context, string, string) (net.Conn, error) { return conn, nil }))
				r := request("1")
				r.Body = bytes.Repeat([]byte("x"), size)
				if size == 0 {
					r.Header.Set("X-Long", strings.Repeat("x", 2*maxInlineBytes))
				}
				return readAll(t, c, r)
			}
			body, err := send(okResponse("1", "one"))
			require.NoError(t, err)
			assert.Equal(t, "one", body)
			_, err = send("")
			require.ErrorIs(t, err, ErrBroken)
			assert.False(t, NothingSent(err))
		})
	}
}

// partialConn sends a part of each write, and has received a response.
type partialConn struct {
	net.Conn
	response *strings.Reader
	err      error
}

func (c partialConn) Write(data []byte) (int, error) { return len(data) / 2, c.err }

func (c partialConn) Read(part []byte) (int, error) { return c.response.Read(part) }

func (partialConn) Close() error { return nil }

func (partialConn) SetDeadline(time.Time) error { return nil }

// brokenConn fails each write before any byte is sent.
type brokenConn struct {
	net.Conn
	err error
}

func (b brokenConn) Write([]byte) (int, error) { return 0, b.err }

func (brokenConn) Close() error { return nil }

func TestIdleConnections(t *testing.T) {
	t.Run("a connection with unsolicited bytes is not reused", func(t *testing.T) {
		s := startUpstream(t, respondEach(okResponse("1", "one"), okResponse("2", "two")))
		c := s.client()
		_, err := readAll(t, c, request("1"))
		require.NoError(t, err)
		_, err = io.WriteString(<-s.conns, okResponse("9", "late"))
		require.NoError(t, err)
		waitReadable(t, c.idle[0])
		assert.Nil(t, c.popIdle())
	})
	t.Run("a connection that the upstream closed is not reused", func(t *testing.T) {
		s := startUpstream(t, respondEach(okResponse("1", "one")))
		c := s.client()
		_, err := readAll(t, c, request("1"))
		require.NoError(t, err)
		require.NoError(t, (<-s.conns).Close())
		waitReadable(t, c.idle[0])
		assert.Nil(t, c.popIdle())
	})
	t.Run("a connection is kept no longer than the upstream announces", func(t *testing.T) {
		now := clock.Millis(1000)
		s := startUpstream(t, respondEach("HTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n"))
		c := New(s.listener.Addr().String(), func() clock.Millis { return now })
		_, err := readAll(t, c, request("1"))
		require.NoError(t, err)
		require.Len(t, c.idle, 1)
		now += 2*clock.Second - idleMarginMs
		c.CloseExpired()
		assert.Empty(t, c.idle)
	})
	t.Run("a connection is not kept after Connection: close", func(t *testing.T) {
		s := startUpstream(t, respondEach("HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
		c := s.client()
		_, err := readAll(t, c, request("1"))
		require.NoError(t, err)
		assert.Empty(t, c.idle)
	})
	t.Run("a connection whose request body was not read completely is not reused", func(t *testing.T) {
		s := startUpstream(t, func(conn net.Conn, requests *bufio.Reader) {
			_, _ = http.ReadRequest(requests)
			_, _ = io.WriteString(conn, okResponse("1", "early"))
		})
		c := s.client()
		long := request("1")
		long.Body = make([]byte, 64<<20)
		body, err := readAll(t, c, long)
		require.NoError(t, err)
		assert.Equal(t, "early", body)
		assert.Empty(t, c.idle)
	})
}

// waitReadable waits until the kernel has data to read on a connection, without reading it.
func waitReadable(t *testing.T, c *conn) {
	t.Helper()
	direct, ok := c.Conn.(*socket.Conn)
	require.True(t, ok)
	raw, err := direct.SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Read(readable))
}

// TestAcceptsConnections guards against whole responses that are withheld because one probe was lost.
func TestAcceptsConnections(t *testing.T) {
	for _, c := range []struct {
		found []Liveness
		want  bool
	}{
		{[]Liveness{Alive}, true},
		{[]Liveness{Dead}, false},
		{[]Liveness{Unresponsive, Unresponsive, Alive}, true},
		{[]Liveness{Unresponsive, Dead}, false},
		{[]Liveness{Unresponsive, Unresponsive, Unresponsive}, false},
	} {
		probes := 0
		assert.Equal(t, c.want, AcceptsConnections(func() Liveness {
			probes++
			return c.found[probes-1]
		}), "%v", c.found)
		assert.Len(t, c.found, probes)
	}
}
