// Package guard keeps panics in the goroutines of a daemon from ending its process, and with it the requests of all
// callers. Without a handler it does nothing, so that panics end programs and tests as usual.
package guard

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"
)

// Panic is a panic in a part of the process.
type Panic struct {
	// Part names what panicked.
	Part string
	// Value is the argument of panic.
	Value any
	// Trace is the stack of the goroutine, from the panic on.
	Trace []byte
}

// maxTraceBytes limits the trace in a text.
const maxTraceBytes = 4096

// String returns the part, the value and the beginning of the trace.
func (p Panic) String() string {
	return fmt.Sprintf("%s: %v: %s", p.Part, p.Value, p.Trace[:min(len(p.Trace), maxTraceBytes)])
}

// handler receives the panics of the process, or is nil.
var handler atomic.Pointer[func(p Panic)]

// Handle sets the function that receives panics, which must not block, until restore is called. Goroutines that are
// running already are guarded from their next call of Do on.
func Handle(handle func(p Panic)) (restore func()) {
	former := handler.Swap(&handle)
	return func() { handler.Store(former) }
}

// Do calls a function, and reports whether it returned without a panic.
func Do(part string, call func()) (returned bool) {
	handle := handler.Load()
	if handle == nil {
		call()
		return true
	}
	defer func() {
		if returned {
			return
		}
		// The value is nil if the goroutine exits, as a failed test does.
		if value := recover(); value != nil {
			(*handle)(Panic{Part: part, Value: value, Trace: debug.Stack()})
		}
	}()
	call()
	return true
}

// Go calls a function in its own goroutine, which ends after a panic.
func Go(part string, call func()) {
	go Do(part, call)
}
