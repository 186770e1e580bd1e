package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
)

// rawConn is what a dialer's control function gets.
type rawConn = syscall.RawConn

// Request is an opaque request. Header holds everything but Host and the length.
type Request struct {
	Method string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaySend is asked once a connection is there, right before the first byte; an error
	// leaves the request unsent. Nil asks nobody.
	MaySend func() error
	// Mine reports whether an answer belongs to this request, from its head.
	Mine func(header http.Header) bool
}

func (r *Request) maySend() error {
	if r.MaySend == nil {
		return nil
	}
	return r.MaySend()
}

// head returns the bytes before the body.
func (r *Request) head() ([]byte, error) {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.Write(&b); err != nil {
		return nil, fmt.Errorf("request head: %w", err)
	}
	b.WriteString("\r\n")
	return b.Bytes(), nil
}

// flight is one request on its connection.
type flight struct {
	client  *Client
	conn    *conn
	request *Request
	unwatch func() bool
	// written is set once the whole request was handed to the connection.
	written atomic.Bool
}

// inlineBytes is the longest request that is written before the answer is
// read: it fits into the send buffer of a new connection.
const inlineBytes = 8 << 10

func (x *flight) run() (*Answer, error) {
	head, err := x.request.head()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err := x.send(head); err != nil {
		return nil, err
	}
	return x.receive()
}

// send writes the request. A long body is written beside the reading of the
// answer, since the upstream may answer before it has read all of it.
func (x *flight) send(head []byte) error {
	if len(head)+len(x.request.Body) <= inlineBytes {
		n, err := x.conn.Write(append(head, x.request.Body...))
		x.written.Store(err == nil)
		return x.sendError(n, err)
	}
	if n, err := x.conn.Write(head); err != nil {
		return x.sendError(n, err)
	}
	go func() {
		_, err := x.conn.Write(x.request.Body)
		// A failed write shows as a failed read, or the answer came early.
		x.written.Store(err == nil)
	}()
	return nil
}

// sendError says what a failed write proves. An upstream may have answered
// before it closed, so what was sent in part is left to the read.
func (x *flight) sendError(n int, err error) error {
	switch {
	case err == nil:
		return nil
	case n == 0:
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	default:
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
}

// receive reads the head of the answer. Provisional answers and, on a kept
// connection, surplus answers to earlier requests are passed over.
func (x *flight) receive() (*Answer, error) {
	foreign := 0
	for {
		response, err := x.readHead() //nolint:bodyclose // It is read to its end, or closed with the connection.
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrBroken, err)
		}
		switch {
		case response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols:
		case x.request.Mine(response.Header):
			return &Answer{Response: response, flight: x}, nil
		case foreign == maxForeign || !framed(response):
			return nil, fmt.Errorf("%w: status %d", ErrForeignAnswer, response.StatusCode)
		default:
			foreign++
			if err := drain(response.Body); err != nil {
				return nil, fmt.Errorf("%w: %w", ErrForeignAnswer, err)
			}
		}
	}
}

// readHead reads one answer's head.
func (x *flight) readHead() (*http.Response, error) {
	return http.ReadResponse(x.conn.reader, &http.Request{Method: x.request.Method})
}

// framed reports whether the answer's end shows without the connection's end.
func framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// drop closes the connection.
func (x *flight) drop() {
	x.unwatch()
	_ = x.conn.Close()
}

// Answer is the head of an answer, and its body as it comes.
type Answer struct {
	*http.Response
	flight *flight
	ended  bool
	failed bool
	done   bool
}

// Read reads from the body. At the end of a whole body it returns io.EOF, and
// after a cut one an error that is ErrBroken.
func (a *Answer) Read(part []byte) (int, error) {
	n, err := a.Body.Read(part)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		a.ended = true
		return n, io.EOF
	default:
		a.failed = true
		return n, fmt.Errorf("%w: %w", ErrBroken, err)
	}
}

// Close gives the connection back when it can carry another request, and else
// closes it.
func (a *Answer) Close() {
	if a.done {
		return
	}
	a.done = true
	x := a.flight
	watched := x.unwatch()
	reusable := watched && a.ended && !a.failed && framed(a.Response) && !a.Response.Close &&
		x.written.Load() && x.conn.reader.Buffered() == 0
	if !reusable {
		_ = x.conn.Close()
		return
	}
	x.client.give(x.conn, a.Header)
}

var _ net.Conn = (*conn)(nil)
