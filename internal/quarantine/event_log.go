package quarantine

import (
	"slices"

	"dooryard.example/dooryard/internal/clock"
)

// minEventLogLength is the minimum number of recent events that a box keeps for other boxes. It
// exceeds the number of events that occur while a box misses a few gossip rounds.
const minEventLogLength = 1024

// event is an event that boxes exchange.
type event[E any] interface {
	// withAge returns the event with the time since it occurred.
	withAge(age clock.Millis) E
}

// eventLog holds the most recent events in the order in which this box learned of them. Events have
// consecutive sequence numbers.
type eventLog[E event[E]] struct {
	nextSeq int64
	events  []loggedEvent[E]
}

// loggedEvent is an event with the time at which it occurred.
type loggedEvent[E any] struct {
	event E
	atMs  clock.Millis
}

func (l *eventLog[E]) add(e E, at clock.Millis) {
	l.events = append(l.events, loggedEvent[E]{event: e, atMs: at})
	l.nextSeq++
	if len(l.events) >= 2*minEventLogLength {
		// The older half is dropped at once, which keeps the amortised cost of an addition low.
		l.events = slices.Clone(l.events[len(l.events)-minEventLogLength:])
	}
}

// since returns at most limit events from a sequence number on, with their ages, and the sequence
// number to continue from. If the sequence number is outside the log's range, it starts at the
// oldest event.
func (l *eventLog[E]) since(from int64, limit int, now clock.Millis) ([]E, int64) {
	oldest := l.nextSeq - int64(len(l.events))
	if from < oldest || from > l.nextSeq {
		from = oldest
	}
	to := min(l.nextSeq, from+int64(limit))
	events := []E{}
	for _, logged := range l.events[from-oldest : to-oldest] {
		events = append(events, logged.event.withAge(now-logged.atMs))
	}
	return events, to
}
