package upstream

import "bytes"

// oldVersion begins responses in which net/http passes over Transfer-Encoding, so that chunks would be taken for the
// body.
const oldVersion = "HTTP/1.0"

// rawHead is the beginning of a response as it was sent. net/http does not tell all that makes its body another one.
type rawHead struct {
	// fault is set if the head is malformed, and complete if all of it was checked.
	fault, complete bool
	// recorded receives what is read, from the first byte on, unless the head was read already.
	recorded []byte
}

// startHead waits for a response and begins to check its head. The reader tells an error only once.
func (c *conn) startHead() error {
	h := &c.head
	*h = rawHead{}
	if _, err := c.reader.Peek(1); err != nil {
		return err //nolint:wrapcheck // It is the error of the connection.
	}
	// All of it was read already, so that there is no error.
	read, _ := c.reader.Peek(c.reader.Buffered())
	if h.check(read); !h.complete {
		h.recorded = bytes.Clone(read)
	}
	return nil
}

// isFaulty reports whether the head is malformed, once it was read.
func (h *rawHead) isFaulty() bool {
	if !h.complete {
		h.check(h.recorded)
		h.recorded = nil
	}
	return h.fault
}

// check looks for a folded line, which would be taken for a part of the field before it although other recipients take
// it for a field, and for a transfer encoding of HTTP/1.0.
func (h *rawHead) check(data []byte) {
	isOld := bytes.HasPrefix(data, []byte(oldVersion))
	for line := range bytes.Lines(data) {
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			h.complete = true
			return
		}
		name, _, found := bytes.Cut(line, []byte(":"))
		if line[0] == ' ' || line[0] == '\t' || isOld && found && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			h.fault = true
		}
	}
}
