package decision

import "go.uber.org/zap/zapcore"

// PeersPort records that the box serves callers although it can't have the port that its peers know.
type PeersPort struct {
	// Usual is the address that it should have, and Used the one at which other boxes reach it, empty if there is none.
	Usual, Used string
	Err         string
}

// Name implements Event.
func (e PeersPort) Name() string {
	if e.Used == "" {
		return "peers port missing"
	}
	return "peers port replaced"
}

// Routine implements Event.
func (PeersPort) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e PeersPort) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("usual", e.Usual)
	addIfSet(o, "used", e.Used)
	addIfSet(o, "note", e.Err)
	return nil
}
