package inbound

import (
	"bytes"
	"net/http"
	"strings"
)

const (
	// interimResponse is a response before the final one, which any caller by HTTP/1.1 accepts, also if it expects none
	// (RFC 9110, section 15.2). Only callers that have ended their side get one unasked.
	interimResponse = "HTTP/1.1 100 Continue\r\n\r\n"
	// maxLeadingZeros is how many zeros may lead the size of a chunk, and maxSizeDigits how many digits follow them.
	// Parsers accept 16, and 8 are enough for 4 GiB.
	maxLeadingZeros = 8
	maxSizeDigits   = 8
	// leadingZero may lead the size of any chunk, also that of the last one (RFC 9112, section 7.1).
	leadingZero = "0"
	// oldVersion begins each response to a caller by HTTP/1.0.
	oldVersion = "HTTP/1.0 "
	// chunkedField is how net/http announces chunks.
	chunkedField = "\r\nTransfer-Encoding: chunked\r\n"
	lineEnd      = "\r\n"
	headEnd      = lineEnd + lineEnd
)

// framingStage is the part of a response that comes next.
type framingStage int

const (
	// unknownPart means that no byte of what comes next is known.
	unknownPart framingStage = iota
	// oldHead is the head of a response to a caller by HTTP/1.0, and head that of another one, which may follow interim
	// responses.
	oldHead
	head
	// chunkSize is the line before a chunk, and chunk its data and their line end.
	chunkSize
	chunk
	// unframedRest means that the head was written, and that no byte of the rest is known.
	unframedRest
)

// framing follows a response as it is written, to know of bytes that come next whatever the server writes. They may be
// sent ahead of the rest.
type framing struct {
	stage framingStage
	// ahead is how many bytes were sent ahead of what comes next.
	ahead int
	// digits is how many digits of a chunk's size were written, and size what they say. left is how much of a chunk
	// follows.
	digits     int
	size, left uint64
}

// begin prepares for the response to a request.
func (f *framing) begin(r *http.Request) {
	switch {
	case r.TLS != nil:
		// Below TLS, all bytes would have to be records.
		*f = framing{stage: unknownPart}
	case !r.ProtoAtLeast(1, 1):
		*f = framing{stage: oldHead}
	default:
		*f = framing{stage: head}
	}
}

// next returns the byte that may be sent ahead, or nothing.
func (f *framing) next() string {
	switch {
	case f.stage == oldHead && f.ahead < len(oldVersion):
		return oldVersion[f.ahead : f.ahead+1]
	case f.stage == chunkSize && f.digits == 0 && f.ahead < maxLeadingZeros:
		return leadingZero
	default:
		return ""
	}
}

// follow records what the server writes, and returns how much of it was sent ahead. It returns false if the server
// writes something else than what was sent ahead.
func (f *framing) follow(data []byte) (sent int, fits bool) {
	for len(data) > 0 {
		switch f.stage {
		case oldHead:
			sent = f.ahead
			*f = framing{stage: unframedRest}
			return sent, bytes.HasPrefix(data, []byte(oldVersion[:sent]))
		case head:
			data = f.followHead(data)
		case chunkSize:
			data = f.followSize(data)
		case chunk:
			n := min(f.left, uint64(len(data)))
			f.left -= n
			data = data[n:]
			if f.left == 0 {
				*f = framing{stage: chunkSize}
			}
		default:
			return 0, true
		}
	}
	return 0, true
}

// followHead records a head, and returns what follows it.
func (f *framing) followHead(data []byte) (rest []byte) {
	if string(data) == interimResponse {
		// The server sends it to a caller that expects it.
		return nil
	}
	end := bytes.Index(data, []byte(headEnd))
	if end < 0 || !bytes.Contains(data[:end+len(lineEnd)], []byte(chunkedField)) {
		*f = framing{stage: unframedRest}
		return nil
	}
	*f = framing{stage: chunkSize}
	return data[end+len(headEnd):]
}

// followSize records a byte of the line before a chunk, and returns what follows it.
func (f *framing) followSize(data []byte) (rest []byte) {
	b := data[0]
	digit := strings.IndexByte("0123456789abcdef", b)
	switch {
	case digit >= 0 && f.digits < maxSizeDigits:
		f.size = f.size<<4 | uint64(digit)
		f.digits++
	case b == '\r' && f.digits > 0:
	case b == '\n' && f.size > 0:
		*f = framing{stage: chunk, left: f.size + uint64(len(lineEnd))}
	default:
		// The last chunk, or a size that net/http does not write.
		*f = framing{stage: unknownPart}
		return nil
	}
	return data[1:]
}
