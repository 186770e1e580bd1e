package upstream

import (
	"bytes"
	"strings"
)

// oldVersion begins responses in which net/http passes over Transfer-Encoding, so that chunks would be taken for the
// body.
const oldVersion = "HTTP/1.0"

// recordOldHead waits for a response, and returns what is read from its first byte on until the recording is ended, or
// nil for a response of another version.
func (c *conn) recordOldHead() *[]byte {
	// After an error, reading the response fails as well.
	start, err := c.reader.Peek(len(oldVersion))
	if err != nil || !strings.EqualFold(string(start), oldVersion) {
		return nil
	}
	// All of it was read already, so that there is no error.
	read, _ := c.reader.Peek(c.reader.Buffered())
	recorded := bytes.Clone(read)
	c.recording = &recorded
	return &recorded
}

// hasTransferEncoding reports whether the head at the beginning of some data has the field.
func hasTransferEncoding(data []byte) bool {
	for line := range bytes.Lines(data) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return false
		}
		if name, _, found := bytes.Cut(line, []byte(":")); found && strings.EqualFold(string(name), "Transfer-Encoding") {
			return true
		}
	}
	return false
}
