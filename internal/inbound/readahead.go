package inbound

import (
	"bytes"
	"net"
	"net/http"
)

// readAhead holds what was read of a connection past the end of a request. The server's own buffer doesn't tell whether
// another request waits in it. Only the goroutine that reads uses its fields.
type readAhead struct {
	data []byte
	// inLine is set within a line that is not blank.
	inLine bool
}

// Pipelined reports whether the caller has sent more than the current request. A connection that is closed after the
// response to it would leave another one unanswered.
func (c *Conn) Pipelined() bool {
	return c.IsAhead() || c.bodyBytes.Load() == 0 && c.listener.kernel.HasUnread(c.Conn)
}

// IsAhead reports whether the head of another request was read past the end of the current one. A part of a head does
// not count: a caller that always sends more would never be told to close the connection.
func (c *Conn) IsAhead() bool { return c.headAhead.Load() && c.aheadBytes.Load() > c.bodyBytes.Load() }

// TrackRequests returns a handler that tells connections how long the bodies of requests are and how their callers
// can be asked, and holds the ends of callers by TLS.
func TrackRequests(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := ConnOf(r.Context()); c != nil {
			c.trackRequest(r)
			if r.TLS != nil && c.listener.holdsEnds {
				held, done := c.holdRequest(r)
				defer done()
				r = held
			}
		}
		handler.ServeHTTP(w, r)
	})
}

func (c *Conn) trackRequest(r *http.Request) {
	c.pending.handled.Store(true)
	if r.ContentLength > 0 {
		// Without a body, the server already reads ahead.
		c.bodyBytes.Store(r.ContentLength)
	}
	c.writing.Lock()
	c.framing.begin(r)
	c.writing.Unlock()
}

// readRequest reads no further than the end of a request. The rest of what a read of the socket returns is held.
func (c *Conn) readRequest(data []byte) (int, error) {
	if c.listener.encrypted {
		return c.readSocket(data)
	}
	held := len(c.ahead.data)
	if held > 0 && (len(data) != readAheadBytes || !c.handling.Load()) {
		// An eviction finds either held data or a connection that is active.
		if !c.Activate() {
			return 0, net.ErrClosed
		}
		n := c.endOf(c.ahead.data[:min(held, len(data))])
		copy(data, c.ahead.data[:n])
		c.hold(c.ahead.data[n:])
		return n, nil
	}
	// While a request is handled, the server reads to learn that the caller has left, which only the socket tells.
	n, err := c.readSocket(data)
	switch {
	case n == 0:
	case held > 0:
		c.hold(append(c.ahead.data, data[:n]...))
		n = copy(data, c.ahead.data)
		c.endOf(data[:n])
		c.hold(c.ahead.data[n:])
	default:
		end := c.endOf(data[:n])
		c.hold(bytes.Clone(data[end:n]))
		n = end
	}
	return n, err
}

func (c *Conn) hold(data []byte) {
	if len(data) == 0 {
		data = nil
	}
	c.ahead.data = data
	c.arrivals.recordHeld(c.listener.clock.Monotonic(), !areLineEnds(data))
	c.headAhead.Store(bytes.Contains(data, []byte("\n\r\n")) || bytes.Contains(data, []byte("\n\n")))
	c.aheadBytes.Store(int64(len(data)))
}

// endOf returns how much of the data the server may have without reading past a request. Heads and chunked bodies end
// with a blank line.
func (c *Conn) endOf(data []byte) int {
	if bodyBytes := c.bodyBytes.Load(); bodyBytes > 0 {
		n := min(bodyBytes, int64(len(data)))
		c.bodyBytes.Add(-n)
		return int(n)
	}
	for n := 0; n < len(data); {
		length := bytes.IndexByte(data[n:], '\n')
		if length < 0 {
			c.ahead.inLine = c.ahead.inLine || !isBlank(data[n:])
			break
		}
		blank := !c.ahead.inLine && isBlank(data[n:n+length])
		c.ahead.inLine = false
		n += length + 1
		if blank {
			return n
		}
	}
	return len(data)
}

// isBlank reports whether a line has no text.
func isBlank(line []byte) bool { return len(line) == 0 || len(line) == 1 && line[0] == '\r' }

// areLineEnds reports whether data are only the ends of lines, or empty. Some callers send one behind a body, so that a
// request has not begun with it.
func areLineEnds(data []byte) bool { return len(bytes.Trim(data, "\r\n")) == 0 }
