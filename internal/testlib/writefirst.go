package testlib

import (
	"context"
	"net"
)

// writeFirst is a connection whose reads after the first one wait for a write that fails.
type writeFirst struct {
	*net.TCPConn
	failed chan struct{}
	reads  int
}

// Write implements net.Conn.
func (c *writeFirst) Write(data []byte) (int, error) {
	n, err := c.TCPConn.Write(data)
	if err != nil {
		close(c.failed)
	}
	return n, err
}

// Read implements net.Conn.
func (c *writeFirst) Read(data []byte) (int, error) {
	if c.reads++; c.reads > 1 {
		<-c.failed
	}
	return c.TCPConn.Read(data)
}

// DialWriteFirst opens a TCP connection whose reads after the first one wait for a write that fails, so that the write
// is told why the connection failed.
func DialWriteFirst(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &writeFirst{TCPConn: c.(*net.TCPConn), failed: make(chan struct{})}, nil //nolint:forcetypeassert // It is one.
}
