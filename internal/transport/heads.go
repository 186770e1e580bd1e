package transport

import (
	"net/http"
	"net/http/httptrace"

	"dooryard.example/dooryard/internal/headcheck"
)

// checkedTransport refuses responses whose heads are malformed as they were sent. It doesn't see those on encrypted
// connections, on which only other boxes respond.
type checkedTransport struct{ next *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*trackedConn); ok {
				conn.startHead()
			}
		},
	})
	return t.next.RoundTrip(r.WithContext(ctx)) //nolint:wrapcheck // The HTTP client wraps it.
}

// CloseIdleConnections closes the idle connections.
func (t checkedTransport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// startHead begins to check the head of the response to the next request.
func (c *trackedConn) startHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checksHead, c.head = true, headcheck.Scanner{}
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
