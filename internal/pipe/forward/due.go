package forward

import (
	"io"
	"sync/atomic"
	"time"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/guard"
)

// stalledMs is the pause after which the rest of a response hardly arrives within the lead of a last response.
const stalledMs clock.Millis = 100

// dueTimer ends an attempt once the last response must leave, unless a response has begun to reach the caller or a part
// of one has arrived lately.
type dueTimer struct {
	clock clock.Clock
	timer *time.Timer
	// progressMs is when the latest part of the response arrived, or 0.
	progressMs atomic.Int64
}

func startDue(c clock.Clock, span clock.Millis, end func()) *dueTimer {
	d := &dueTimer{clock: c}
	d.timer = time.AfterFunc(max(1, span).Duration(), func() {
		if !d.arrives() {
			guard.Do("end of a request's time", end)
		}
	})
	return d
}

func (d *dueTimer) stop() { d.timer.Stop() }

func (d *dueTimer) recordProgress() { d.progressMs.Store(int64(d.clock.Monotonic())) }

func (d *dueTimer) arrives() bool {
	progressMs := clock.Millis(d.progressMs.Load())
	return progressMs != 0 && d.clock.Monotonic()-progressMs < stalledMs
}

// read reads at most a number of bytes, to the end of the body, each part of which counts as progress.
func (d *dueTimer) read(body io.Reader, maxBytes int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(io.TeeReader(body, progressWriter{d}), maxBytes))
	d.stop()
	return data, err //nolint:wrapcheck // The caller wraps it.
}

type progressWriter struct{ due *dueTimer }

// Write implements io.Writer.
func (w progressWriter) Write(part []byte) (int, error) {
	w.due.recordProgress()
	return len(part), nil
}
