package decision

import (
	"go.uber.org/zap/zapcore"

	"dooryard.example/dooryard/internal/clock"
)

// ProcessPaused records that the process did not run for some time.
type ProcessPaused struct {
	PauseMs clock.Millis
	// ProcessorMs is the processor time that the process used meanwhile.
	ProcessorMs clock.Millis
	// CollectorMs is the longest time for which the garbage collector has stopped the process since the last pause. It
	// waits for all threads that run Go code, also for one that gets no processor.
	CollectorMs clock.Millis
}

// Name implements Event.
func (ProcessPaused) Name() string { return "process paused" }

// Routine implements Event.
func (ProcessPaused) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e ProcessPaused) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddInt64("pause_ms", int64(e.PauseMs))
	o.AddInt64("processor_ms", int64(e.ProcessorMs))
	o.AddInt64("collector_ms", int64(e.CollectorMs))
	return nil
}
