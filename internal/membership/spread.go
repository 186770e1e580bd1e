package membership

import (
	"math/bits"
	"slices"

	"dooryard.example/dooryard/internal/clock"
)

// updates is the queue of updates that are still being gossiped. Each is sent a limited number of
// times that grows with the logarithm of the number of boxes, which is enough to reach all of them.
type updates struct {
	items []queuedUpdate
}

type queuedUpdate struct {
	update    update
	sendsLeft int
}

const retransmitFactor = 2

func newUpdateQueue() *updates { return &updates{} }

// add queues an update and replaces older ones about the same box.
func (s *updates) add(u update, boxes int) {
	s.items = slices.DeleteFunc(s.items, func(item queuedUpdate) bool { return item.update.ID == u.ID })
	s.items = append(s.items, queuedUpdate{update: u, sendsLeft: retransmitFactor * bits.Len(uint(boxes))})
}

// next returns the updates that were sent least often and counts them as sent.
func (s *updates) next(count int) []update {
	slices.SortStableFunc(s.items, func(a, b queuedUpdate) int { return b.sendsLeft - a.sendsLeft })
	selected := []update{}
	for i := range s.items[:min(count, len(s.items))] {
		selected = append(selected, s.items[i].update)
		s.items[i].sendsLeft--
	}
	s.items = slices.DeleteFunc(s.items, func(item queuedUpdate) bool { return item.sendsLeft <= 0 })
	return selected
}

// factStore holds the latest facts of every box and the summed facts of other failure domains, and
// selects the facts to gossip.
type factStore struct {
	entries map[ID]receivedFacts
	// sendOrder lists the entries for round-robin sending. The entry that was sent longest ago
	// comes first.
	sendOrder []ID
	// newest is the entry that was received last since the latest call of next, or 0 if there is none.
	newest ID
	own    factEntry
}

type receivedFacts struct {
	factEntry
	receivedMs clock.Millis
}

// newFactStore returns an empty store. The versions of this box's facts start at its incarnation,
// which is its start time in seconds. Versions grow by less than one a second, so the facts of a
// restarted box are newer than all that it sent before.
func newFactStore(incarnation uint32) *factStore {
	return &factStore{entries: map[ID]receivedFacts{}, own: factEntry{Version: incarnation}}
}

func (b *factStore) setOwn(id ID, facts Facts) {
	b.own = factEntry{ID: id, Version: b.own.Version + 1, Facts: facts}
}

// add stores an entry that is newer than the known one. The entry that was received last is sent
// next if the packet may carry more than one entry of other boxes. The others are sent in
// round-robin order. New facts therefore spread fast and none is left out.
func (b *factStore) add(entry factEntry, now clock.Millis) {
	known, found := b.entries[entry.ID]
	if found && int32(entry.Version-known.Version) <= 0 {
		return
	}
	b.entries[entry.ID] = receivedFacts{factEntry: entry, receivedMs: now}
	b.newest = entry.ID
	if !found {
		b.sendOrder = append(b.sendOrder, entry.ID)
	}
}

func (b *factStore) forget(id ID) {
	delete(b.entries, id)
	b.sendOrder = slices.DeleteFunc(b.sendOrder, func(other ID) bool { return other == id })
}

// next returns this box's entry if requested, and the next entries of other boxes.
func (b *factStore) next(own bool, count int) []factEntry {
	selected := []factEntry{}
	if own && b.own.ID != 0 {
		selected = append(selected, b.own)
	}
	if newest, known := b.entries[b.newest]; known && count > 1 {
		selected = append(selected, newest.factEntry)
		count--
	}
	b.newest = 0
	others := min(count, len(b.sendOrder))
	for _, id := range b.sendOrder[:others] {
		selected = append(selected, b.entries[id].factEntry)
	}
	b.sendOrder = append(slices.Clone(b.sendOrder[others:]), b.sendOrder[:others]...)
	return selected
}
