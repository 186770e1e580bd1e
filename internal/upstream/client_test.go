package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
)

// script is an upstream that answers each request on a connection in turn with
// raw bytes; after the last one it closes.
type script struct {
	listener net.Listener
	requests chan *http.Request
	conns    chan net.Conn
}

// serve starts an upstream on a real socket, as idle connections are looked at
// below the net package.
func serve(t *testing.T, answer func(conn net.Conn, requests *bufio.Reader)) *script {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &script{listener: listener, requests: make(chan *http.Request, 16), conns: make(chan net.Conn, 16)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns <- conn
			go answer(conn, bufio.NewReader(conn))
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return s
}

func (s *script) client() *Client {
	return New(s.listener.Addr().String(), clock.New().Steady)
}

// each answers every request with the next of the raw answers.
func each(answers ...string) func(conn net.Conn, requests *bufio.Reader) {
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
		Body: []byte("body"), Mine: func(h http.Header) bool { return h.Get("X-Id") == id },
	}
}

func whole(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func itoa(n int) string { return strings.TrimSpace(string(rune('0' + n))) }

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
	t.Run("uses a connection again after a whole answer", func(t *testing.T) {
		s := serve(t, each(whole("1", "one"), whole("2", "two")))
		c := s.client()
		for id, want := range []string{"one", "two"} {
			body, err := readAll(t, c, request(itoa(id+1)))
			require.NoError(t, err)
			assert.Equal(t, want, body)
		}
		assert.Len(t, s.conns, 1)
	})
	t.Run("sends nothing that may not be sent any more, and keeps the connection", func(t *testing.T) {
		s := serve(t, each(whole("2", "two")))
		c := s.client()
		late := request("1")
		errLate := errors.New("late")
		late.MaySend = func() error { return errLate }
		_, err := readAll(t, c, late)
		require.ErrorIs(t, err, errLate)
		assert.True(t, NothingSent(err))
		body, err := readAll(t, c, request("2"))
		require.NoError(t, err)
		assert.Equal(t, "two", body)
		assert.Len(t, s.conns, 1)
		assert.Empty(t, s.requests)
	})
	t.Run("keeps a connection that it did not use no longer than the upstream promised", func(t *testing.T) {
		promising := strings.Replace(whole("1", "one"), "\r\n\r\n", "\r\nKeep-Alive: timeout=1\r\n\r\n", 1)
		s := serve(t, each(promising, whole("1", "two")))
		now := clock.Millis(1)
		c := New(s.listener.Addr().String(), func() clock.Millis { return now })
		_, err := readAll(t, c, request("1"))
		require.NoError(t, err)
		unsent := request("9")
		unsent.MaySend = func() error { return errors.New("late") }
		_, err = readAll(t, c, unsent)
		require.Error(t, err)
		now += clock.Second
		_, err = readAll(t, c, request("1"))
		require.NoError(t, err)
		assert.Len(t, s.conns, 2, "the first one is about to be closed by the upstream")
	})
	t.Run("passes over provisional answers", func(t *testing.T) {
		s := serve(t, each("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+whole("1", "one")))
		body, err := readAll(t, s.client(), request("1"))
		require.NoError(t, err)
		assert.Equal(t, "one", body)
	})
	t.Run("passes over a surplus answer to an earlier request", func(t *testing.T) {
		s := serve(t, each(whole("0", "old")+whole("1", "one")))
		body, err := readAll(t, s.client(), request("1"))
		require.NoError(t, err)
		assert.Equal(t, "one", body)
	})
	t.Run("gives up on answers that are all foreign, and says it may have run", func(t *testing.T) {
		s := serve(t, each(whole("0", "a")+whole("0", "b")+whole("0", "c")))
		_, err := readAll(t, s.client(), request("1"))
		require.ErrorIs(t, err, ErrForeignAnswer)
		assert.False(t, NothingSent(err))
	})
	t.Run("an answer without a length ends with its connection", func(t *testing.T) {
		s := serve(t, func(conn net.Conn, requests *bufio.Reader) {
			_, _ = http.ReadRequest(requests)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall of it")
			_, _ = io.CopyN(io.Discard, requests, 4)
			_ = conn.Close()
		})
		body, err := readAll(t, s.client(), request("1"))
		require.NoError(t, err)
		assert.Equal(t, "all of it", body)
	})
	t.Run("an answer without a length that is reset is not whole", func(t *testing.T) {
		s := serve(t, func(conn net.Conn, requests *bufio.Reader) {
			_, _ = http.ReadRequest(requests)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart")
			reset(conn)
		})
		_, err := readAll(t, s.client(), request("1"))
		require.ErrorIs(t, err, ErrBroken)
	})
	t.Run("a cut answer is not whole", func(t *testing.T) {
		s := serve(t, each("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\npart"))
		c := s.client()
		answer, err := c.Do(t.Context(), request("1"))
		require.NoError(t, err)
		go func() { _ = (<-s.conns).Close() }()
		_, err = io.ReadAll(answer)
		require.ErrorIs(t, err, ErrBroken)
		answer.Close()
		assert.Empty(t, c.idle)
	})
	t.Run("bytes that are no answer break the attempt", func(t *testing.T) {
		s := serve(t, each("no answer at all\r\n\r\n"))
		_, err := readAll(t, s.client(), request("1"))
		require.ErrorIs(t, err, ErrBroken)
	})
}

func TestNothingSent(t *testing.T) {
	t.Run("is proved when no connection opens", func(t *testing.T) {
		s := serve(t, each())
		require.NoError(t, s.listener.Close())
		_, err := readAll(t, s.client(), request("1"))
		assert.True(t, NothingSent(err))
		require.ErrorIs(t, err, ErrUnreachable)
	})
	t.Run("is not claimed once the request was written", func(t *testing.T) {
		s := serve(t, func(conn net.Conn, requests *bufio.Reader) {
			_, _ = http.ReadRequest(requests)
			_ = conn.Close()
		})
		_, err := readAll(t, s.client(), request("1"))
		require.ErrorIs(t, err, ErrBroken)
		assert.False(t, NothingSent(err))
	})
	t.Run("is proved when the header can't be written", func(t *testing.T) {
		refused := errors.New("refused")
		c := New("127.0.0.1:1", clock.New().Steady, WithDial(
			func(context.Context, string, string) (net.Conn, error) { return brokenConn{err: refused}, nil }))
		_, err := readAll(t, c, request("1"))
		require.ErrorIs(t, err, refused)
		assert.True(t, NothingSent(err))
	})
}

// brokenConn fails each write before any byte left.
type brokenConn struct {
	net.Conn
	err error
}

func (b brokenConn) Write([]byte) (int, error) { return 0, b.err }

func (brokenConn) Close() error { return nil }

func TestIdleConnections(t *testing.T) {
	t.Run("one with bytes that nobody asked for is not used again", func(t *testing.T) {
		s := serve(t, each(whole("1", "one"), whole("2", "two")))
		c := s.client()
		_, err := readAll(t, c, request("1"))
		require.NoError(t, err)
		_, err = io.WriteString(<-s.conns, whole("9", "late"))
		require.NoError(t, err)
		waitReadable(t, c.idle[0])
		assert.Nil(t, c.take())
	})
	t.Run("one that the upstream closed is not used again", func(t *testing.T) {
		s := serve(t, each(whole("1", "one")))
		c := s.client()
		_, err := readAll(t, c, request("1"))
		require.NoError(t, err)
		require.NoError(t, (<-s.conns).Close())
		waitReadable(t, c.idle[0])
		assert.Nil(t, c.take())
	})
	t.Run("one is kept no longer than the upstream promises", func(t *testing.T) {
		now := clock.Millis(1000)
		s := serve(t, each("HTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n"))
		c := New(s.listener.Addr().String(), func() clock.Millis { return now })
		_, err := readAll(t, c, request("1"))
		require.NoError(t, err)
		require.Len(t, c.idle, 1)
		now += 2*clock.Second - idleMarginMs
		c.CloseExpired()
		assert.Empty(t, c.idle)
	})
	t.Run("one is not kept when the answer says close", func(t *testing.T) {
		s := serve(t, each("HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
		c := s.client()
		_, err := readAll(t, c, request("1"))
		require.NoError(t, err)
		assert.Empty(t, c.idle)
	})
	t.Run("one whose request body was not read whole is not used again", func(t *testing.T) {
		s := serve(t, func(conn net.Conn, requests *bufio.Reader) {
			_, _ = http.ReadRequest(requests)
			_, _ = io.WriteString(conn, whole("1", "early"))
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

// waitReadable waits until the kernel has something to read on a connection,
// without reading it.
func waitReadable(t *testing.T, c *conn) {
	t.Helper()
	tcp, ok := c.Conn.(*net.TCPConn)
	require.True(t, ok)
	raw, err := tcp.SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Read(readable))
}
