package receive

import (
	"errors"
	"io"
	"net/http"
	"os"

	"dooryard.example/dooryard/internal/opaque"
)

const (
	// firstBufferBytes is the size of the first buffer of a body. Most bodies fit, and a caller that declares a long one
	// and sends little takes no more.
	firstBufferBytes = 16 << 10
	// bufferGrowth is how much larger each further buffer of a body is.
	bufferGrowth = 2
)

var errBoxFull = errors.New("buffered bodies have reached the memory limit")

// readBody reads the body. The bytes of its buffer count from before it is allocated.
func (p *Pipe) readBody(r *opaque.Request, limit int64) ([]byte, error) {
	if r.HTTP.ContentLength == 0 {
		return nil, nil
	}
	source := io.Reader(r.HTTP.Body)
	if limit > 0 {
		source = http.MaxBytesReader(r.Writer, r.HTTP.Body, limit)
	}
	body, err := p.readAll(source, int(r.HTTP.ContentLength))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, errBoxFull):
		err = opaque.NewRefusal(opaque.NotRunStatus, opaque.BoxFull, boxFullRetryMs, err)
	case errors.As(err, &tooLarge):
		err = opaque.NewRefusal(http.StatusRequestEntityTooLarge, opaque.BodyTooLarge, 0, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = opaque.NewRefusal(http.StatusRequestTimeout, opaque.BodyTimeout, 0, err)
	default:
		err = opaque.NewRefusal(http.StatusBadRequest, opaque.BodyIncomplete, 0, err)
	}
	p.release(body)
	return nil, err
}

// readAll reads a body of a length, or to its end if the length is negative. It also returns the buffer if it fails.
func (p *Pipe) readAll(source io.Reader, length int) (buffer []byte, err error) {
	for len(buffer) != length {
		if len(buffer) == cap(buffer) {
			if buffer, err = p.grow(buffer, length); err != nil {
				return buffer, err
			}
		}
		n, err := source.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case len(buffer) == length || length < 0 && errors.Is(err, io.EOF):
			return buffer, nil
		case errors.Is(err, io.EOF):
			return buffer, io.ErrUnexpectedEOF
		case err != nil:
			return buffer, err //nolint:wrapcheck // The caller wraps it.
		}
	}
	return buffer, nil
}

// grow returns a larger buffer with the same content, no larger than a body of a length needs.
func (p *Pipe) grow(buffer []byte, length int) ([]byte, error) {
	size := max(firstBufferBytes, bufferGrowth*cap(buffer))
	if length > 0 {
		size = min(size, length)
	}
	if !p.reserve(size) {
		return buffer, errBoxFull
	}
	grown := make([]byte, len(buffer), size)
	copy(grown, buffer)
	p.release(buffer)
	return grown, nil
}

// reserve counts bytes, unless that exceeds the limit.
func (p *Pipe) reserve(size int) bool {
	if p.bufferedBytes.Add(int64(size)) <= p.maxBufferedBytes {
		return true
	}
	p.bufferedBytes.Add(-int64(size))
	return false
}

func (p *Pipe) release(buffer []byte) { p.bufferedBytes.Add(-int64(cap(buffer))) }
