package headcheck

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// oldVersion begins responses in which net/http passes over Transfer-Encoding, so that chunks would be taken for the
// body.
const oldVersion = "HTTP/1.0"

// Scanner checks the head of a response as it was sent, up to the end of the first head that is not interim. net/http
// does not tell all that makes its body another one. The zero value is ready to use.
type Scanner struct {
	fault string
	// line is the part of a line that was scanned, and inHead is set after the first line of a head.
	line             []byte
	inHead           bool
	isOld, isInterim bool
	// started is set once bytes were scanned, and complete at the end of the head.
	started, complete bool
}

// Scan checks the next bytes of a connection. It returns an error that wraps ErrMalformed once the head is malformed.
func (s *Scanner) Scan(data []byte) error {
	s.started = s.started || len(data) > 0
	for line := range bytes.Lines(data) {
		if s.complete {
			break
		}
		s.line = append(s.line, line...)
		if line[len(line)-1] == '\n' {
			s.scanLine(s.line)
			s.line = s.line[:0]
		}
	}
	if s.complete {
		s.line = nil
	}
	return s.Err()
}

// Err returns an error that wraps ErrMalformed if what was scanned is malformed.
func (s *Scanner) Err() error {
	if s.fault == "" {
		return nil
	}
	return fmt.Errorf("%w: %s", ErrMalformed, s.fault)
}

// Started reports whether bytes were scanned.
func (s *Scanner) Started() bool { return s.started }

// scanLine looks for a folded line, which would be taken for a part of the field before it although other recipients
// take it for a field, and for a transfer encoding of HTTP/1.0.
func (s *Scanner) scanLine(line []byte) {
	text := bytes.TrimRight(line, "\r\n")
	name, _, found := bytes.Cut(line, []byte(":"))
	switch {
	case len(text) == 0:
		s.complete = !s.inHead || !s.isInterim
		s.inHead = false
	case line[0] == ' ' || line[0] == '\t':
		s.fault = "folded line"
	case !s.inHead:
		s.inHead, s.isOld, s.isInterim = true, bytes.HasPrefix(line, []byte(oldVersion)), isInterim(string(text))
	case s.isOld && found && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		s.fault = "Transfer-Encoding in " + oldVersion
	}
}

// isInterim reports whether net/http takes a status line for the one of an interim response.
func isInterim(line string) bool {
	_, status, _ := strings.Cut(line, " ")
	status, _, _ = strings.Cut(strings.TrimLeft(status, " "), " ")
	return len(status) == len("100") && status[0] == '1' && status != strconv.Itoa(http.StatusSwitchingProtocols)
}
