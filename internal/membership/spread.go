package membership

import (
	"math/bits"
	"slices"

	"dooryard.example/dooryard/internal/clock"
)

// news is the updates that still spread, each a few times: the number grows with
// the logarithm of the boxes, which reaches all of them.
type news struct {
	items []newsItem
}

type newsItem struct {
	update update
	left   int
}

const spreadFactor = 2

func newNews() *news { return &news{} }

// add spreads an update in place of older ones about the same box.
func (s *news) add(u update, boxes int) {
	s.items = slices.DeleteFunc(s.items, func(item newsItem) bool { return item.update.ID == u.ID })
	s.items = append(s.items, newsItem{update: u, left: spreadFactor * bits.Len(uint(boxes))})
}

// take returns the updates that were sent least so far and counts them as sent.
func (s *news) take(count int) []update {
	slices.SortStableFunc(s.items, func(a, b newsItem) int { return b.left - a.left })
	taken := []update{}
	for i := range s.items[:min(count, len(s.items))] {
		taken = append(taken, s.items[i].update)
		s.items[i].left--
	}
	s.items = slices.DeleteFunc(s.items, func(item newsItem) bool { return item.left <= 0 })
	return taken
}

// factBook holds the newest facts of every box, and sums of other failure
// domains, and sends them on in turn.
type factBook struct {
	entries map[ID]heardFacts
	// turns orders the entries: those not sent for longest first.
	turns []ID
	// newest is what was heard last and not yet sent on.
	newest ID
	own    factEntry
}

type heardFacts struct {
	factEntry
	heardMs clock.Millis
}

// newFactBook starts the versions of this box's facts at its incarnation, which
// is its start in seconds: versions grow more slowly than the seconds, so those
// of a restarted box are newer than all it told before.
func newFactBook(incarnation uint32) *factBook {
	return &factBook{entries: map[ID]heardFacts{}, own: factEntry{Version: incarnation}}
}

func (b *factBook) setOwn(id ID, facts Facts) {
	b.own = factEntry{ID: id, Version: b.own.Version + 1, Facts: facts}
}

// hear takes in an entry that is newer than the known one. The newest is sent on
// next, the others in turn: fresh facts travel fast and none is left out.
func (b *factBook) hear(entry factEntry, now clock.Millis) {
	known, found := b.entries[entry.ID]
	if found && int32(entry.Version-known.Version) <= 0 {
		return
	}
	b.entries[entry.ID] = heardFacts{factEntry: entry, heardMs: now}
	b.newest = entry.ID
	if !found {
		b.turns = append(b.turns, entry.ID)
	}
}

func (b *factBook) forget(id ID) {
	delete(b.entries, id)
	b.turns = slices.DeleteFunc(b.turns, func(other ID) bool { return other == id })
}

// take returns the own entry, when it is asked for, and the next others in turn.
func (b *factBook) take(own bool, count int) []factEntry {
	taken := []factEntry{}
	if own && b.own.ID != 0 {
		taken = append(taken, b.own)
	}
	if newest, known := b.entries[b.newest]; known && count > 1 {
		taken = append(taken, newest.factEntry)
		count--
	}
	b.newest = 0
	others := min(count, len(b.turns))
	for _, id := range b.turns[:others] {
		taken = append(taken, b.entries[id].factEntry)
	}
	b.turns = append(slices.Clone(b.turns[others:]), b.turns[:others]...)
	return taken
}
