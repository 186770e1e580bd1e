package eventstream

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestScanner guards against an event that is taken for whole although its stream broke inside it, whatever line ends
// the upstream uses and wherever reads split them.
func TestScanner(t *testing.T) {
	for _, c := range []struct{ name, whole, rest string }{
		{"nothing", "", ""},
		{"LF", "id: 1\ndata: a\n\ndata: b\n\n", "data: c\n"},
		{"CR", "id: 1\rdata: a\r\rdata: b\r\r", "data: c\r"},
		{"CRLF", "id: 1\r\ndata: a\r\n\r\ndata: b\r\n\r\n", "data: c\r\n"},
		{"mixed line ends", "data: a\r\n\ndata: b\n\r\n", "d"},
		{"several blank lines", "data: a\n\n\n\n", "data"},
		{"a comment is followed by a blank line", ": ping\n\n", ": pi"},
		{"no event", "\n\r\n", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			stream := c.whole + c.rest
			for size := 1; size <= len(stream); size++ {
				s, end := Scanner{}, 0
				for at := 0; at < len(stream); at += size {
					part := stream[at:min(at+size, len(stream))]
					if n := s.Scan([]byte(part)); n > 0 {
						end = at + n
					}
				}
				assert.Equal(t, len(c.whole), end, "in parts of %d bytes", size)
				assert.Equal(t, c.rest != "", s.InEvent())
			}
		})
	}
	t.Run("each byte inside an event is inside it", func(t *testing.T) {
		event := "id: 1\r\ndata: a\r\n"
		for length := 1; length <= len(event); length++ {
			s := Scanner{}
			s.Scan([]byte(event[:length]))
			assert.True(t, s.InEvent(), strings.ReplaceAll(event[:length], "\r\n", "|"))
		}
	})
}
