package decision

import (
	"time"

	"go.uber.org/zap/zapcore"

	"dooryard.example/dooryard/internal/clock"
)

// Ending tells how a process of a box has ended, as far as other boxes know.
type Ending struct {
	// How is "in order", "without leaving" or "while stopping".
	How string
	// LastHeardMs is the wall-clock time of this box at which the last message of the process was received, SilentMs how
	// long ago that was, and RanMs how long the process had run until then, or 0 if that is unknown.
	LastHeardMs, SilentMs, RanMs clock.Millis
}

func (e Ending) addTo(o zapcore.ObjectEncoder) {
	o.AddString("ended", e.How)
	o.AddTime("last_heard", time.UnixMilli(int64(e.LastHeardMs)))
	o.AddInt64("silent_ms", int64(e.SilentMs))
	if e.RanMs > 0 {
		o.AddInt64("ran_ms", int64(e.RanMs))
	}
}

// BoxRestarted records that another box has restarted, whose last process did not end in order.
type BoxRestarted struct {
	Box    string
	Ending Ending
}

// Name implements Event.
func (BoxRestarted) Name() string { return "box restarted" }

// Routine implements Event.
func (BoxRestarted) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e BoxRestarted) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("other_box", e.Box)
	e.Ending.addTo(o)
	return nil
}

// LastProcessEnded records how an earlier process of this box has ended.
type LastProcessEnded struct {
	Ending Ending
	// ToldBy is the box that received the last message of the process.
	ToldBy string
	// InOrder is set if the process ended in order.
	InOrder bool
}

// Name implements Event.
func (LastProcessEnded) Name() string { return "last process ended" }

// Routine implements Event.
func (e LastProcessEnded) Routine() bool { return e.InOrder }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e LastProcessEnded) MarshalLogObject(o zapcore.ObjectEncoder) error {
	e.Ending.addTo(o)
	addIfSet(o, "told_by", e.ToldBy)
	return nil
}
