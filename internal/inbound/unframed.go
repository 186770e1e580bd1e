package inbound

import (
	"net/http"

	"dooryard.example/dooryard/internal/upstream"
)

// keepLinger makes the kernel send what was written after a close, which is its default.
const keepLinger = -1

// BeginResponse is called when the response to a request starts. If the response ends with its connection, any end of
// the connection is a reset until EndResponse is called. The kernel closes the connections of a process that is gone in
// order, and the caller would take what it has for the whole response.
func (c *Conn) BeginResponse(r *http.Request, header http.Header) {
	if c == nil || r.ProtoAtLeast(1, 1) || header.Get("Content-Length") != "" {
		return
	}
	c.unframed = true
	c.writing.Lock()
	defer c.writing.Unlock()
	c.broken.Store(true)
	upstream.ResetOnClose(c.Conn)
}

// EndResponse is called when the response is complete. The function sends what the server still holds of it.
func (c *Conn) EndResponse(flush func() error) {
	if c == nil || !c.unframed {
		return
	}
	c.unframed = false
	if flush() != nil {
		return
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.setLinger(keepLinger) == nil {
		c.broken.Store(false)
	}
}

// setLinger sets for how many seconds a close waits until what was written is sent.
func (c *Conn) setLinger(seconds int) error {
	if socket, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return socket.SetLinger(seconds) //nolint:wrapcheck // Callers compare it with nil.
	}
	return nil
}
