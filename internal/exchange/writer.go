package exchange

import (
	"net/http"
	"time"
)

// Writer is the caller's side of an answer. It knows whether the answer has
// begun and counts its bytes.
type Writer struct {
	http.ResponseWriter
	controller *http.ResponseController
	status     int
	written    int64
	recorder   func(part []byte)
}

// NewWriter wraps a response writer.
func NewWriter(w http.ResponseWriter) *Writer {
	return &Writer{ResponseWriter: w, controller: http.NewResponseController(w)}
}

// WriteHeader begins the answer.
func (w *Writer) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the answer.
func (w *Writer) Write(part []byte) (int, error) {
	if w.status == 0 {
		w.status = http.StatusOK
	}
	if w.recorder != nil {
		w.recorder(part)
	}
	n, err := w.ResponseWriter.Write(part)
	w.written += int64(n)
	return n, err
}

// Record has a function see each part of the answer, for claims that keep it.
func (w *Writer) Record(recorder func(part []byte)) { w.recorder = recorder }

// Unwrap lets http.ResponseController reach the writer below.
func (w *Writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// FlushNow sends what is buffered.
func (w *Writer) FlushNow() error { return w.controller.Flush() }

// BoundRead bounds the time in which more of the request may be read; 0 sets no
// bound. Connections that know no deadlines are left without.
func (w *Writer) BoundRead(span time.Duration) {
	deadline := time.Time{}
	if span > 0 {
		deadline = time.Now().Add(span)
	}
	_ = w.controller.SetReadDeadline(deadline)
}

// Started reports whether any part of the answer was handed to the caller.
func (w *Writer) Started() bool { return w.status != 0 }

// Status returns the status of the answer, or 0 before it began.
func (w *Writer) Status() int { return w.status }

// Written returns the bytes of the body so far.
func (w *Writer) Written() int64 { return w.written }
