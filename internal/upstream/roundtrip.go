package upstream

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"sync/atomic"
	"syscall"

	"dooryard.example/dooryard/internal/guard"
	"dooryard.example/dooryard/internal/headcheck"
)

// Request is an opaque request. Header holds all headers except Host and Content-Length.
type Request struct {
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// BeforeSend is called after a connection was obtained and right before the first byte is
	// written. If it returns an error, the request is not sent. It may be nil.
	BeforeSend func() error
	// Matches reports whether a response with the given header belongs to this request.
	Matches func(header http.Header) bool
	// OnSend is called before the first byte is written, with a function that reports whether bytes of the upstream
	// wait to be read, until the response is closed. It may be nil.
	OnSend func(hasUnread func() bool)
}

func (r *Request) beforeSend() error {
	if r.BeforeSend == nil {
		return nil
	}
	return r.BeforeSend()
}

// head returns the request line and the headers.
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

// roundTrip is the exchange of one request and its response on a connection.
type roundTrip struct {
	client        *Client
	conn          *conn
	request       *Request
	stopAfterFunc func() bool
	// written is set once the whole request was written to the connection.
	written atomic.Bool
}

// maxInlineBytes is the size up to which a request is written completely before the response is
// read. Requests of this size fit into the send buffer of a new connection.
const maxInlineBytes = 8 << 10

func (rt *roundTrip) run() (*Response, error) {
	head, err := rt.request.head()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	sendErr := rt.send(head)
	if errors.Is(sendErr, ErrNotSent) {
		return nil, sendErr
	}
	// After a partial write there may be a response, from an upstream that has not read the whole request.
	response, err := rt.receive()
	if err != nil && sendErr != nil {
		return nil, fmt.Errorf("%w: %w", ErrBroken, sendErr)
	}
	return response, err
}

// send writes the request. A long body is written concurrently with reading the response, because
// the upstream may respond before it has read the whole body.
func (rt *roundTrip) send(head []byte) error {
	if len(head)+len(rt.request.Body) <= maxInlineBytes {
		n, err := rt.conn.Write(append(head, rt.request.Body...))
		rt.written.Store(err == nil)
		return sendError(n, err)
	}
	if n, err := rt.conn.Write(head); err != nil {
		return sendError(n, err)
	}
	guard.Go("body of a request", func() {
		_, err := rt.conn.Write(rt.request.Body)
		// A write error needs no handling here: either reading the response fails too, or the
		// upstream responded before it read the whole body.
		rt.written.Store(err == nil)
	})
	return nil
}

// sendError classifies a write error. Only a write of zero bytes proves that nothing was sent, so the error wraps
// ErrNotSent then.
func sendError(n int, err error) error {
	if err != nil && n == 0 {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return err
}

// receive reads the header of the response. It skips interim (1xx) responses, and at most maxMismatched responses to
// other requests, which a reused connection may still deliver.
func (rt *roundTrip) receive() (*Response, error) {
	mismatched := 0
	rt.conn.headBytes = 0
	for {
		response, err := rt.readHead() //nolint:bodyclose // It is read to its end, or closed with the connection.
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrBroken, err)
		}
		switch {
		case response.StatusCode < http.StatusOK:
		case rt.request.Matches(response.Header):
			return &Response{Response: response, roundTrip: rt}, nil
		case mismatched == maxMismatched || framing(response) == ByConnection:
			return nil, fmt.Errorf("%w: status %d", ErrResponseMismatch, response.StatusCode)
		default:
			mismatched++
			if err := discardBody(response.Body); err != nil {
				return nil, fmt.Errorf("%w: %w", ErrResponseMismatch, err)
			}
		}
	}
}

// readHead reads the status line and headers of one response.
func (rt *roundTrip) readHead() (*http.Response, error) {
	rt.conn.inHead = true
	defer func() { rt.conn.inHead = false }()
	switch err := rt.conn.startHead(); {
	case errors.Is(err, io.EOF):
		return nil, io.ErrUnexpectedEOF
	case err != nil:
		return nil, withoutContent(err)
	}
	response, err := http.ReadResponse(rt.conn.reader, &http.Request{Method: rt.request.Method})
	fault := rt.conn.head.Err()
	if err != nil {
		return nil, withoutContent(err)
	}
	if err := cmp.Or(fault, headcheck.Response(response)); err != nil {
		return nil, err
	}
	return response, nil
}

// errMalformed stands for errors that quote what the upstream sent.
var errMalformed = errors.New("malformed head or trailer of a response")

// withoutContent returns an error of a connection as it is, and errMalformed for others.
func withoutContent(err error) error {
	var network net.Error
	switch {
	case err == nil, errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.ErrClosedPipe),
		errors.Is(err, errHeadTooLong), errors.As(err, &network):
		return err
	default:
		return errMalformed
	}
}

// Framing is how the end of a response's body is marked.
type Framing string

// Framings of a response.
const (
	ByLength Framing = "length"
	ByChunks Framing = "chunks"
	// ByConnection means that the body ends with the connection. An orderly close then looks the same
	// whether the upstream finished the body or crashed.
	ByConnection Framing = "connection"
)

func framing(response *http.Response) Framing {
	switch {
	case response.ContentLength >= 0:
		return ByLength
	case len(response.TransferEncoding) > 0:
		return ByChunks
	default:
		return ByConnection
	}
}

// abort resets the connection.
func (rt *roundTrip) abort() {
	rt.client.setBusy(rt.conn, false)
	rt.stopAfterFunc()
	rt.conn.abort()
}

// Response is a response whose body is streamed.
type Response struct {
	*http.Response
	roundTrip *roundTrip
	eof       bool
	failed    bool
	closed    bool
	// isWitnessed is set if the client's Witness counts the response.
	isWitnessed bool
}

// Framing returns how the end of the body is marked.
func (a *Response) Framing() Framing { return framing(a.Response) }

// AddWitness has the client's Witness show whether the upstream's process has gone once the response ends, if it ends
// with its connection. It reports whether it does.
func (a *Response) AddWitness() bool {
	a.isWitnessed = a.Framing() == ByConnection && a.Body != http.NoBody
	if a.isWitnessed {
		a.roundTrip.client.witness.Begin()
	}
	return a.isWitnessed
}

// Read reads from the body. It returns io.EOF at the end of a complete body and an error that wraps
// ErrBroken if the body was truncated.
func (a *Response) Read(part []byte) (int, error) {
	n, err := a.Body.Read(part)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		a.eof = true
		return n, io.EOF
	default:
		a.failed = true
		if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) {
			a.roundTrip.client.recordBroken()
		}
		var quoting textproto.ProtocolError
		if errors.As(err, &quoting) {
			err = errMalformed
		}
		return n, fmt.Errorf("%w: %w", ErrBroken, err)
	}
}

// Close keeps the connection for the next request if it can be reused, and closes it otherwise.
func (a *Response) Close() {
	if a.closed {
		return
	}
	a.closed = true
	rt := a.roundTrip
	rt.client.setBusy(rt.conn, false)
	if a.isWitnessed {
		rt.client.witness.Finish()
	}
	stopped := rt.stopAfterFunc()
	reusable := stopped && a.eof && !a.failed && a.Framing() != ByConnection && !a.Response.Close &&
		rt.written.Load() && rt.conn.reader.Buffered() == 0
	switch {
	case !reusable && !a.eof:
		rt.conn.abort()
		return
	case !reusable:
		_ = rt.conn.Close()
		return
	}
	rt.client.putIdle(rt.conn, a.Header)
}

var _ net.Conn = (*conn)(nil)
