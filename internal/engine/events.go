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
	// ErrTruncated means that the stream ended before its final event.
	ErrTruncated = errors.New("stream ended before its final event")
	// ErrMalformedEvent means that an event violates the protocol.
	ErrMalformedEvent = errors.New("malformed stream event")
)

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 1 << 20

// NoID is the ID of events that precede the first event with an ID.
const NoID int64 = -1

// Event is one server-sent event with its offset in the stream.
type Event struct {
	ID   int64
	Data string
}

// Done reports whether the event ends the stream.
func (e Event) Done() bool { return e.Data == Done }

// Events yields the server-sent events of an engine's response up to and including
// the final event. It ends with ErrTruncated if the stream ends without the final
// event, and with ErrMalformedEvent if an event violates the protocol.
func Events(body io.Reader) iter.Seq2[Event, error] {
	return func(yield func(Event, error) bool) {
		config := &sse.ReadConfig{MaxEventSize: maxEventBytes}
		for raw, err := range sse.Read(body, config) {
			if err != nil {
				yield(Event{}, fmt.Errorf("%w: %w", ErrTruncated, err))
				return
			}
			event, err := decodeEvent(raw)
			if !yield(event, err) || err != nil || event.Done() {
				return
			}
		}
		yield(Event{}, ErrTruncated)
	}
}

func decodeEvent(raw sse.Event) (Event, error) {
	event := Event{ID: NoID, Data: raw.Data}
	if raw.LastEventID == "" {
		return event, nil
	}
	id, err := strconv.ParseInt(raw.LastEventID, 10, 64)
	if err != nil || id < 0 {
		return Event{}, fmt.Errorf("%w: id is not an offset", ErrMalformedEvent)
	}
	event.ID = id
	return event, nil
}
