package engine

import (
	"errors"
	"fmt"
	"io"
	"iter"
	"strconv"

	"github.com/tmaxmax/go-sse"
)

// Errors of reading an event stream.
var (
	// ErrCut means that the stream ended before its closing event.
	ErrCut = errors.New("stream cut before its closing event")
	// ErrBadEvent means that the stream broke its own rules.
	ErrBadEvent = errors.New("malformed stream event")
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// NoID is the ID of an event before any that carries one.
const NoID int64 = -1

// Event is one server-sent event with its offset in the stream.
type Event struct {
	ID   int64
	Data string
}

// Done reports whether the event closes the stream.
func (e Event) Done() bool { return e.Data == Done }

// Events yields the server-sent events of an engine's answer up to the closing
// one. A stream that ends without it yields ErrCut last; one that breaks its own
// rules yields ErrBadEvent.
func Events(body io.Reader) iter.Seq2[Event, error] {
	return func(yield func(Event, error) bool) {
		config := &sse.ReadConfig{MaxEventSize: maxEventBytes}
		for raw, err := range sse.Read(body, config) {
			if err != nil {
				yield(Event{}, fmt.Errorf("%w: %w", ErrCut, err))
				return
			}
			event, err := decodeEvent(raw)
			if !yield(event, err) || err != nil || event.Done() {
				return
			}
		}
		yield(Event{}, ErrCut)
	}
}

func decodeEvent(raw sse.Event) (Event, error) {
	event := Event{ID: NoID, Data: raw.Data}
	if raw.LastEventID == "" {
		return event, nil
	}
	id, err := strconv.ParseInt(raw.LastEventID, 10, 64)
	if err != nil || id < 0 {
		return Event{}, fmt.Errorf("%w: id is no offset", ErrBadEvent)
	}
	event.ID = id
	return event, nil
}
