package transport

import (
	"bufio"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/headcheck"
)

// respondOnConn accepts one connection, and sends the next of some raw responses to each request on it.
func respondOnConn(t *testing.T, responses ...string) (url string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		requests := bufio.NewReader(conn)
		for _, response := range responses {
			if r, err := http.ReadRequest(requests); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			_, _ = io.WriteString(conn, response)
		}
		_ = conn.Close()
	}()
	return "http://" + listener.Addr().String()
}

// readPost sends a request, and returns the body of its response.
func readPost(t *testing.T, client *http.Client, url string) (string, error) {
	t.Helper()
	response, err := client.Post(url, "text/plain", strings.NewReader("body"))
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return string(body), err
}

// TestMalformedHeads guards against a response whose body is another one than the upstream sent.
func TestMalformedHeads(t *testing.T) {
	const body = "\r\n4\r\nbody\r\n0\r\n\r\n"
	interim := "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n"
	filler := "X-Filler: " + strings.Repeat("f", 16<<10) + "\r\n"
	for name, response := range map[string]string{
		"folded chunks":                 "HTTP/1.1 200 OK\r\nX: 1\r\n Transfer-Encoding: chunked\r\n" + body,
		"folded length":                 "HTTP/1.1 200 OK\r\nX: 1\n\tContent-Length: 4\n\nbody and more",
		"folded length, long head":      "HTTP/1.1 200 OK\r\n" + filler + " Content-Length: 4\r\n\r\nbody and more",
		"folded length, after interim":  interim + "HTTP/1.1 200 OK\r\nX: 1\r\n Content-Length: 4\r\n\r\nbody and more",
		"chunks of HTTP/1.0":            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + body,
		"chunks of HTTP/1.0, long head": "HTTP/1.0 200 OK\r\n" + filler + "transfer-encoding: chunked\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := readPost(t, newClient(), respondOnConn(t, response))
			require.ErrorIs(t, err, headcheck.ErrMalformed)
		})
		t.Run(name+", kept connection", func(t *testing.T) {
			client, url := newClient(), respondOnConn(t, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none", response)
			first, err := readPost(t, client, url)
			require.NoError(t, err)
			assert.Equal(t, "one", first)
			_, err = readPost(t, client, url)
			require.ErrorIs(t, err, headcheck.ErrMalformed)
		})
	}
	for _, head := range []string{"HTTP/1.0 200 OK\r\n", interim + interim + "HTTP/1.1 200 OK\n" + filler} {
		t.Run("a response whose body looks like a malformed head is sound", func(t *testing.T) {
			got, err := readPost(t, newClient(), respondOnConn(t, head+"\r\nTransfer-Encoding: body\r\n folded"))
			require.NoError(t, err)
			assert.Equal(t, "Transfer-Encoding: body\r\n folded", got)
		})
	}
}

// respondTwice sends two responses to each request, each with the id of the request.
func respondTwice(t *testing.T) (url string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		requests := bufio.NewReader(conn)
		for r, err := http.ReadRequest(requests); err == nil; r, err = http.ReadRequest(requests) {
			response := "HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\nContent-Length: 0\r\n\r\n"
			_, _ = io.WriteString(conn, response+response)
		}
	}
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go serve(conn)
		}
	}()
	return "http://" + listener.Addr().String()
}

// TestResponseBeforeItsRequest guards against a response that answers another request than the one that gets it.
func TestResponseBeforeItsRequest(t *testing.T) {
	const senders, requests = 4, 2000
	// net/http logs each second response.
	log.SetOutput(io.Discard)
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	client, url := newClient(), respondTwice(t)
	var ids, own, others atomic.Int64
	send := func() {
		id := strconv.FormatInt(ids.Add(1), 10)
		request, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, url, http.NoBody)
		request.Header.Set("X-Id", id)
		response, err := client.Do(request)
		if err != nil {
			return
		}
		_ = response.Body.Close()
		if response.Header.Get("X-Id") == id {
			own.Add(1)
			return
		}
		others.Add(1)
	}
	var sending sync.WaitGroup
	for range senders {
		sending.Go(func() {
			for range requests {
				send()
			}
		})
	}
	sending.Wait()
	assert.NotZero(t, own.Load())
	assert.Zero(t, others.Load(), "responses to other requests")
}
