package logging

import (
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"time"
)

// asyncCapacity is the number of writes that an AsyncWriter holds for a slow reader.
const asyncCapacity = 1024

// AsyncWriter is an io.Writer that never blocks and never fails. Writes are dropped and counted while its queue is full
// or the reader has gone.
type AsyncWriter struct {
	out     io.Writer
	queue   chan asyncWrite
	dropped atomic.Int64
}

// asyncWrite is a queued write, or a request to report that all earlier ones are done.
type asyncWrite struct {
	data []byte
	done chan struct{}
}

// NewAsyncWriter returns a writer to out, which it writes to until the end of the process.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, queue: make(chan asyncWrite, asyncCapacity)}
	go w.run()
	return w
}

func (w *AsyncWriter) run() {
	reported := int64(0)
	for next := range w.queue {
		if next.done != nil {
			close(next.done)
			continue
		}
		if dropped := w.dropped.Load(); dropped > reported {
			_, err := fmt.Fprintf(w.out, `{"level":"warn","msg":"lines dropped","lines":%d}`+"\n", dropped-reported)
			if err == nil {
				reported = dropped
			}
		}
		if _, err := w.out.Write(next.data); err != nil {
			w.dropped.Add(1)
		}
	}
}

// Write implements io.Writer.
func (w *AsyncWriter) Write(data []byte) (int, error) {
	select {
	case w.queue <- asyncWrite{data: slices.Clone(data)}:
	default:
		w.dropped.Add(1)
	}
	return len(data), nil
}

// Dropped returns the number of writes that were dropped.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Flush waits until all earlier writes are done, for a limited time.
func (w *AsyncWriter) Flush(limit time.Duration) {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	done := make(chan struct{})
	select {
	case w.queue <- asyncWrite{done: done}:
	case <-timeout.C:
		return
	}
	select {
	case <-done:
	case <-timeout.C:
	}
}
