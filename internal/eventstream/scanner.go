// Package eventstream finds the ends of events in streams of server-sent events, without decoding them.
package eventstream

// Scanner follows a stream of server-sent events. An event ends with a blank line; lines end with LF, CR or CRLF. The
// zero value is at the start of a stream.
type Scanner struct {
	// inLine is set after the first byte of a line.
	inLine bool
	// inEvent is set after the first byte of an event.
	inEvent bool
	// afterCR is set if the last byte was a CR, whose line a LF may still belong to.
	afterCR bool
	events  int
}

// Scan reads the next part of the stream. It returns the offset in the part right after the last event that has ended,
// or 0 if none ended there.
func (s *Scanner) Scan(part []byte) (end int) {
	for i, c := range part {
		crlf := c == '\n' && s.afterCR
		s.afterCR = c == '\r'
		switch {
		case crlf && s.inEvent:
			// The CR has ended the line.
		case c != '\n' && c != '\r':
			s.inLine, s.inEvent = true, true
		case s.inLine:
			s.inLine = false
		default:
			if s.inEvent {
				s.events++
			}
			s.inEvent = false
			end = i + 1
		}
	}
	return end
}

// InEvent reports whether the stream is inside an event: a stream that ends there has been broken off.
func (s *Scanner) InEvent() bool { return s.inEvent }

// Events returns the number of events that have ended, without those that consist of nothing.
func (s *Scanner) Events() int { return s.events }
