package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"time"
)

func lockThread() { runtime.LockOSThread() }

func dial(address string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second}
	return d.DialContext(context.Background(), "tcp", address)
}

func listen(address string) (net.Listener, error) {
	var c net.ListenConfig
	return c.Listen(context.Background(), "tcp", address)
}

// exchange sends a request on a new connection and reads the response to its end. An error means that there was none,
// or that it was not complete by its own framing.
func exchange(address, request string, timeout time.Duration) (status int, header http.Header, body []byte, err error) {
	c, err := dial(address)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(timeout))
	if _, err = io.WriteString(c, request); err != nil {
		return 0, nil, nil, err
	}
	return readResponse(bufio.NewReader(c))
}

func readResponse(r *bufio.Reader) (status int, header http.Header, body []byte, err error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err = io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, body, err
}

// attempt is the bytes of one client attempt.
func attempt(method, path, id string, deadline time.Duration, extra string) string {
	length := ""
	if method == http.MethodPost {
		length = "Content-Length: 0\r\n"
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n"+
		"Authorization: Token %s\r\n%s%s\r\n", method, path, host, id, deadline.Milliseconds(), apiKey, extra, length)
}

const (
	host   = "desk.example"
	apiKey = "k0123456789"
	tenant = "office"
)
