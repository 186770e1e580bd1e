package transport

import (
	"context"
	"net"
	"net/http"
)

// Counter counts bytes that were sent or received.
type Counter interface{ Add(delta int64) }

// NewControlClient returns an HTTP client for control traffic between boxes and to the
// platform. It adds a bearer key to each request and counts the bytes on its
// connections.
func NewControlClient(settings Settings, key func() string, sent, received Counter) *http.Client {
	dial := settings.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: settings.ConnectTimeoutMs.Duration()}).DialContext
	}
	settings.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, settings.ConnectTimeoutMs.Duration())
		defer cancel()
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, sent: sent, received: received}, nil
	}
	return &http.Client{Transport: &bearerTransport{next: New(settings), key: key}}
}

// countingConn counts the bytes that are read from and written to a connection.
type countingConn struct {
	net.Conn
	sent, received Counter
}

// Read implements net.Conn.
func (c *countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.sent.Add(int64(n))
	return n, err
}

// bearerTransport adds the current bearer key, if there is one, to each request.
type bearerTransport struct {
	next http.RoundTripper
	key  func() string
}

// RoundTrip implements http.RoundTripper.
func (t *bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if key := t.key(); key != "" {
		r = r.Clone(r.Context())
		r.Header.Set("Authorization", "Bearer "+key)
	}
	return t.next.RoundTrip(r)
}
