package decision

import (
	"go.uber.org/zap/zapcore"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/position"
)

// Process records a lifecycle event of the process: start, stop or reload.
type Process struct {
	What string
	Note string
}

// Name implements Event.
func (e Process) Name() string { return e.What }

// Routine implements Event.
func (Process) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e Process) MarshalLogObject(o zapcore.ObjectEncoder) error {
	addIfSet(o, "note", e.Note)
	return nil
}

// Dependency records that the box lost or regained access to a dependency.
type Dependency struct {
	// Dependency is "store", "path to a failure domain" or "upstreams of a pool".
	Dependency  string
	ID          string
	Unavailable bool
	Err         string
	// UnavailableMs is how long the dependency was unavailable; it is logged when it is available
	// again.
	UnavailableMs clock.Millis
}

// Name implements Event.
func (e Dependency) Name() string {
	if e.Unavailable {
		return "dependency lost"
	}
	return "dependency back"
}

// Routine implements Event.
func (Dependency) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e Dependency) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("dependency", e.Dependency)
	addIfSet(o, "id", e.ID)
	addIfSet(o, "error", e.Err)
	if !e.Unavailable {
		o.AddInt64("away_ms", int64(e.UnavailableMs))
	}
	return nil
}

// StoreRestored records that the store was restored from an older backup: later writes are
// lost until they are repeated.
type StoreRestored struct {
	// Before and Era are the previous and the current era of the store.
	Before, Era int64
	// Source is where the box learned of the restore.
	Source string
	// Position is the position of the newest upstream record that the box knew at the time.
	// Version is the version of the active routing state.
	Position position.Position
	Version  int64
}

// Name implements Event.
func (StoreRestored) Name() string { return "store restored" }

// Routine implements Event.
func (StoreRestored) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e StoreRestored) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddInt64("era_before", e.Before)
	o.AddInt64("era", e.Era)
	o.AddString("source", e.Source)
	o.AddString("position", e.Position.String())
	o.AddInt64("version", e.Version)
	return nil
}

// StateAdopted records that a newer routing state became active.
type StateAdopted struct {
	Version int64
	Source  string
	Routes  int
}

// Name implements Event.
func (StateAdopted) Name() string { return "routing state adopted" }

// Routine implements Event.
func (StateAdopted) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e StateAdopted) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddInt64("version", e.Version)
	o.AddString("source", e.Source)
	o.AddInt("routes", e.Routes)
	return nil
}

// DomainEvacuated records that the evacuation of a failure domain started or ended.
type DomainEvacuated struct {
	FailureDomain string
	Ended         bool
	// Position is the position of the change in the store's log.
	Position position.Position
}

// Name implements Event.
func (e DomainEvacuated) Name() string {
	if e.Ended {
		return "evacuation ended"
	}
	return "failure domain evacuated"
}

// Routine implements Event.
func (DomainEvacuated) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e DomainEvacuated) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("failure_domain", e.FailureDomain)
	o.AddString("position", e.Position.String())
	return nil
}

// InputIgnored records an input that could not be used, and why.
type InputIgnored struct {
	Input string
	Err   string
}

// Name implements Event.
func (InputIgnored) Name() string { return "input ignored" }

// Routine implements Event.
func (InputIgnored) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e InputIgnored) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("input", e.Input)
	o.AddString("error", e.Err)
	return nil
}

// LinesDropped records the number of lines dropped since the last such event.
type LinesDropped struct {
	Lines int64
	// RoutineLines is the number of them that belong to routine events.
	RoutineLines int64
}

// Name implements Event.
func (LinesDropped) Name() string { return "lines dropped" }

// Routine implements Event.
func (LinesDropped) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e LinesDropped) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddInt64("lines", e.Lines)
	o.AddInt64("routine_lines", e.RoutineLines)
	return nil
}
