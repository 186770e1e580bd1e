package transport

import (
	"context"
	"net"
	"net/http"
)

// Counter counts bytes.
type Counter interface{ Add(delta int64) }

// Control is an HTTP client for control traffic between boxes and to the
// platform: it adds a key and counts the bytes on its sockets.
func Control(settings Settings, key func() string, sent, received Counter) *http.Client {
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
		return &countedConn{Conn: conn, sent: sent, received: received}, nil
	}
	return &http.Client{Transport: &keyed{next: New(settings), key: key}}
}

type countedConn struct {
	net.Conn
	sent, received Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.sent.Add(int64(n))
	return n, err
}

// keyed adds the bearer key to each request, if there is one.
type keyed struct {
	next http.RoundTripper
	key  func() string
}

// RoundTrip implements http.RoundTripper.
func (k *keyed) RoundTrip(r *http.Request) (*http.Response, error) {
	if key := k.key(); key != "" {
		r = r.Clone(r.Context())
		r.Header.Set("Authorization", "Bearer "+key)
	}
	return k.next.RoundTrip(r)
}
