package transport

import (
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"dooryard.example/dooryard/internal/headcheck"
)

// errEarlyResponse means that the head of a response was read before its request was sent, so that it answers another
// one.
var errEarlyResponse = errors.New("response was sent before its request")

// checkedTransport refuses responses whose heads are malformed as they were sent. It doesn't see those on encrypted
// connections, on which only other boxes respond.
type checkedTransport struct{ next *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn atomic.Pointer[trackedConn]
	var early atomic.Bool
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			got, _ := info.Conn.(*trackedConn)
			if conn.Store(got); got != nil {
				got.startRequest()
			}
		},
		// It is called before the head is read, so that no other request gets the connection before it is closed.
		GotFirstResponseByte: func() {
			if got := conn.Load(); got != nil && !got.inHead() {
				early.Store(true)
				got.closeForAll()
			}
		},
	})
	response, err := t.next.RoundTrip(r.WithContext(ctx))
	if err == nil && early.Load() {
		_ = response.Body.Close()
		return nil, errEarlyResponse
	}
	return response, err //nolint:wrapcheck // The HTTP client wraps it.
}

// CloseIdleConnections closes the idle connections.
func (t checkedTransport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// startRequest begins to check the head of the response to the next request, before that has a tracker.
func (c *trackedConn) startRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checksHead, c.head, c.attempt = true, headcheck.Scanner{}, nil
}

// closeForAll closes the connection for each request that uses it or is about to, so that nothing more is written.
func (c *trackedConn) closeForAll() {
	c.mu.Lock()
	c.aborted = true
	c.mu.Unlock()
	_ = c.Close()
}

// scan checks bytes that were read.
func (c *trackedConn) scan(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.checksHead {
		return nil
	}
	return c.head.Scan(data)
}

// inHead reports whether a part of the response to the latest request was read.
func (c *trackedConn) inHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.Started()
}
