package gateway

import (
	"bytes"
	"log"
	"strings"
)

// maxPanicBytes limits the trace of a panic in a log line.
const maxPanicBytes = 4096

// panicPrefix begins the message of net/http about a handler that panicked.
var panicPrefix = []byte("http: panic serving")

// serverErrors receives the messages of net/http. It counts them, and writes lines about panics of handlers: the others
// report broken connections of callers.
type serverErrors struct{ box *Box }

func (b *Box) newServerErrorLog() *log.Logger { return log.New(serverErrors{box: b}, "", 0) }

// Write implements io.Writer.
func (e serverErrors) Write(message []byte) (int, error) {
	if !bytes.HasPrefix(message, panicPrefix) {
		e.box.metrics.ServerError()
		return len(message), nil
	}
	e.box.metrics.HandlerPanicked()
	if e.box.ignoredInputs.shouldLog(string(panicPrefix)) {
		e.box.RecordProcess("handler panicked", strings.TrimSpace(string(message[:min(len(message), maxPanicBytes)])))
	}
	return len(message), nil
}

// reportListenerError counts an error of a listener and logs it, at a limited rate.
func (b *Box) reportListenerError(name string, err error) {
	b.metrics.ListenerFailed()
	if b.ignoredInputs.shouldLog("listener " + name) {
		b.RecordProcess("listener failed", name+": "+err.Error())
	}
}
