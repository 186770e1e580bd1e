package decision

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/guard"
)

// Settings bounds the log's output.
type Settings struct {
	// MaxLinesPerSecond is the maximum number of lines about requests and upstreams that are written in each window of
	// one second. Routine lines may use at most half of it.
	MaxLinesPerSecond int
	// QueueCapacity is the capacity of each of the event queues.
	QueueCapacity int
}

// Log queues events and writes them as JSON lines. Record never blocks: events are
// dropped and counted when a queue is full or the line rate limit is exceeded.
// Routine and important events have separate queues, each with half of the line rate,
// so that routine events can't crowd out important ones. Events of the process have a
// queue and a line rate of their own: neither can crowd out the stages of a stop.
type Log struct {
	settings  Settings
	clock     clock.Clock
	core      zapcore.Core
	process   chan Event
	important chan Event
	routine   chan Event

	dropped        atomic.Int64
	droppedRoutine atomic.Int64
}

// New returns a log that writes to a core. Nothing is written until Run is called.
func New(settings Settings, c clock.Clock, core zapcore.Core) *Log {
	return &Log{
		settings: settings, clock: c, core: core,
		process:   make(chan Event, settings.QueueCapacity),
		important: make(chan Event, settings.QueueCapacity),
		routine:   make(chan Event, settings.QueueCapacity),
	}
}

// Record queues an event for the writer and drops it if its queue is full.
func (l *Log) Record(e Event) {
	queue := l.important
	switch {
	case isOfProcess(e):
		queue = l.process
	case e.Routine():
		queue = l.routine
	}
	select {
	case queue <- e:
	default:
		l.countDropped(e)
	}
}

// errPanicked is the error of a line whose event could not be encoded.
var errPanicked = errors.New("panic while a line was written")

// isOfProcess reports whether an event is about the process, not about a request or an upstream.
func isOfProcess(e Event) bool {
	switch e.(type) {
	case Process, Stop, ProcessPaused, MemoryNearLimit, LastProcessEnded:
		return true
	default:
		return false
	}
}

func (l *Log) countDropped(e Event) {
	l.dropped.Add(1)
	if e.Routine() {
		l.droppedRoutine.Add(1)
	}
}

// DroppedLines returns the number of lines dropped since the log was created.
func (l *Log) DroppedLines() int64 { return l.dropped.Load() }

// flushTimeoutMs limits how long Run waits for a slow output after its context has ended.
const flushTimeoutMs clock.Millis = 150

// Run writes events until the context ends, then flushes the queued ones for a limited time. A write to an output that
// nobody reads may outlast Run.
func (l *Log) Run(ctx context.Context) {
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		l.write(ctx)
	}()
	<-ctx.Done()
	limit, cancel := l.clock.WithTimeout(context.WithoutCancel(ctx), flushTimeoutMs)
	defer cancel()
	select {
	case <-flushed:
	case <-limit.Done():
	}
}

func (l *Log) write(ctx context.Context) {
	w := &writer{log: l}
	for {
		select {
		case e := <-l.process:
			w.write(e)
		case e := <-l.important:
			w.write(e)
		case e := <-l.routine:
			w.write(e)
		case <-ctx.Done():
			l.flush(w)
			return
		}
	}
}

func (l *Log) flush(w *writer) {
	for {
		select {
		case e := <-l.process:
			w.write(e)
		case e := <-l.important:
			w.write(e)
		case e := <-l.routine:
			w.write(e)
		default:
			// A failed sync of standard output has no effect.
			_ = l.core.Sync()
			return
		}
	}
}

// writer enforces the line rate limit in windows of one second.
type writer struct {
	log             *Log
	windowStartMs   clock.Millis
	process         int
	important       int
	routine         int
	reported        int64
	reportedRoutine int64
}

// maxProcessLinesPerSecond is more than the lines of a stop and the signals that a process usually receives.
const maxProcessLinesPerSecond = 50

func (w *writer) write(e Event) {
	now := w.log.clock.Monotonic()
	if now-w.windowStartMs >= clock.Second {
		w.windowStartMs, w.process, w.important, w.routine = now, 0, 0, 0
		w.reportDropped()
	}
	used, limit := &w.important, max(1, w.log.settings.MaxLinesPerSecond/2)
	switch {
	case isOfProcess(e):
		used, limit = &w.process, maxProcessLinesPerSecond
	case e.Routine():
		used = &w.routine
	}
	if *used >= limit {
		w.log.countDropped(e)
		return
	}
	*used++
	err := errPanicked
	guard.Do("log line", func() { err = w.log.writeEntry(e) })
	if err != nil {
		w.log.countDropped(e)
	}
}

func (w *writer) reportDropped() {
	all, routine := w.log.dropped.Load(), w.log.droppedRoutine.Load()
	if all == w.reported {
		return
	}
	if w.log.writeEntry(LinesDropped{Lines: all - w.reported, RoutineLines: routine - w.reportedRoutine}) != nil {
		return
	}
	w.reported, w.reportedRoutine = all, routine
}

// writeEntry writes a line with bounded texts. It fails if the reader of the output has gone.
func (l *Log) writeEntry(e Event) error {
	level := zapcore.InfoLevel
	if !e.Routine() {
		level = zapcore.WarnLevel
	}
	entry := zapcore.Entry{Level: level, Time: time.UnixMilli(int64(l.clock.Now())), Message: e.Name()}
	return l.core.Write(entry, []zapcore.Field{zap.Inline(bounded{e})})
}
