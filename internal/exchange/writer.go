package exchange

import (
	"errors"
	"net/http"
	"time"

	"dooryard.example/dooryard/internal/clock"
)

// Writer writes the response to the caller. It records whether the response has started and counts
// the bytes of its body.
type Writer struct {
	http.ResponseWriter
	controller *http.ResponseController
	status     int
	written    int64
	recorder   func(data []byte)
	// onStart is called before the response starts. It may be nil.
	onStart func(header http.Header)
	// unread is the writing side of the connection, or nil if it doesn't hold unread data.
	unread *Unread
}

// NewWriter wraps a response writer.
func NewWriter(w http.ResponseWriter) *Writer {
	return &Writer{ResponseWriter: w, controller: http.NewResponseController(w)}
}

// WriteHeader starts the response.
func (w *Writer) WriteHeader(status int) {
	w.start(status)
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the response body.
func (w *Writer) Write(data []byte) (int, error) {
	w.start(http.StatusOK)
	if w.recorder != nil {
		w.recorder(data)
	}
	n, err := w.ResponseWriter.Write(data)
	w.written += int64(n)
	return n, err
}

func (w *Writer) start(status int) {
	if w.status != 0 {
		return
	}
	w.status = status
	if w.onStart != nil {
		w.onStart(w.Header())
	}
}

// OnStart sets a function that may change the header right before the response starts.
func (w *Writer) OnStart(onStart func(header http.Header)) { w.onStart = onStart }

// Record sets a function that receives each part of the response body. Claims use it to store the
// response.
func (w *Writer) Record(recorder func(data []byte)) { w.recorder = recorder }

// Unwrap gives http.ResponseController access to the underlying writer.
func (w *Writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// FlushNow sends buffered data.
func (w *Writer) FlushNow() error { return w.controller.Flush() }

// SetReadTimeout sets the time within which the rest of the request must be read; 0 removes the
// limit. It has no effect on connections that don't support deadlines.
func (w *Writer) SetReadTimeout(span time.Duration) {
	deadline := time.Time{}
	if span > 0 {
		deadline = time.Now().Add(span)
	}
	_ = w.controller.SetReadDeadline(deadline)
}

// Started reports whether the response has started.
func (w *Writer) Started() bool { return w.status != 0 }

// Status returns the status of the response, or 0 if it has not started.
func (w *Writer) Status() int { return w.status }

// Written returns the number of body bytes written so far.
func (w *Writer) Written() int64 { return w.written }

// SetUnread sets the writing side of the connection, so that HoldUnread takes effect.
func (w *Writer) SetUnread(u *Unread) { w.unread = u }

// HoldUnread makes writes hold what the caller doesn't read, until AwaitRead. The onCut function is called if the
// caller is cut off or has disconnected.
func (w *Writer) HoldUnread(onCut func()) {
	if w.unread != nil {
		w.unread.Start(onCut)
	}
}

// AwaitRead waits until the caller has taken all that was flushed. It returns an error if the caller doesn't.
func (w *Writer) AwaitRead() error {
	if w.unread == nil {
		return nil
	}
	return w.unread.Await()
}

// StartBuffered makes writes cut off a caller that reads a buffered response too slowly, until EndBuffered.
func (w *Writer) StartBuffered(remainingMs clock.Millis) {
	if w.unread != nil {
		w.unread.StartBuffered(remainingMs)
	}
}

// EndBuffered ends what StartBuffered began.
func (w *Writer) EndBuffered() {
	if w.unread != nil {
		w.unread.EndBuffered()
	}
}

// CutOff returns the error with which the caller was cut off, or nil, and the bytes that were held for it then.
func (w *Writer) CutOff() (heldBytes int, slow *SlowCallerError) {
	if w.unread == nil {
		return 0, nil
	}
	heldBytes, err := w.unread.Lost()
	if !errors.As(err, &slow) {
		return 0, nil
	}
	return heldBytes, slow
}
