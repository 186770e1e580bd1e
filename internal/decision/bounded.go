package decision

import (
	"fmt"
	"strings"

	"go.uber.org/zap/zapcore"
)

// maxTextBytes limits each text of a line: names, identifiers and errors may come from other processes.
const maxTextBytes = 1024

// bounded shortens the texts of an event when it is written.
type bounded struct{ Event }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (b bounded) MarshalLogObject(o zapcore.ObjectEncoder) error {
	if _, isProcess := b.Event.(Process); isProcess {
		// The note may be the trace of a panic, whose length is limited where it is recorded.
		return b.Event.MarshalLogObject(boundedEncoder{o, maxNoteBytes})
	}
	return b.Event.MarshalLogObject(boundedEncoder{o, maxTextBytes})
}

// maxNoteBytes limits the note of a line about the process.
const maxNoteBytes = 4096

// boundedEncoder limits the texts that it adds.
type boundedEncoder struct {
	zapcore.ObjectEncoder
	maxBytes int
}

// AddString implements zapcore.ObjectEncoder.
func (e boundedEncoder) AddString(key, value string) {
	e.ObjectEncoder.AddString(key, shorten(value, e.maxBytes))
}

// shorten returns a text of at most a number of bytes, and how long it was.
func shorten(text string, maxBytes int) string {
	if len(text) <= maxBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxBytes], "") + fmt.Sprintf("... (%d bytes)", len(text))
}
