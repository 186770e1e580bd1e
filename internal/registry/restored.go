package registry

import (
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/position"
)

// A store that comes back from an older copy lists records that were outdated before. What an
// upstream itself wrote last holds against them, until it writes again.

// listedMs outlives the entry of an upstream that no longer writes it: one that is still listed
// then is there.
const listedMs = 5 * clock.Second

// listing is a record that may be outdated, and when it is believed after all.
type listing struct {
	upstream Upstream
	sequence int64
	untilMs  clock.Millis
}

// restored reports whether a position is of a later era than what was taken in so far.
func (r *Registry) restored(at position.Position) bool {
	return !r.journal.position.IsZero() && r.journal.position.Era < at.Era
}

// outdates reports whether what is known holds against a record that the store's copy has: the
// same life wrote it, and nothing in it is later. What ended by another writer's entry has not
// ended by its own word.
func (e entry) outdates(c Change) bool {
	if c.Gone || !c.Copied || e.position.Era == c.Position.Era || c.Upstream.StartedMs != e.startedMs || e.unusable {
		return false
	}
	return c.Sequence < e.sequence || c.Sequence == e.sequence && (e.gone || e.upstream.Draining)
}

// keptOver returns the entry after an older record was read at a new position. An upstream that
// was gone and stays listed is alive: it writes only what changes.
func (e entry) keptOver(c Change, now clock.Millis) entry {
	e.position, e.copied = c.Position, true
	if e.gone {
		e.listed = &listing{upstream: c.Upstream, sequence: c.Sequence, untilMs: now + listedMs}
	}
	return e
}

// lapseForeign gives upstreams in whose place a copy has another writer's entry the time to come
// back: they may have written their own since.
func (r *Registry) lapseForeign(all []Change, at position.Position, lapseMs clock.Millis) []Change {
	if !r.restored(at) {
		return all
	}
	for i := range all {
		if all[i].Unusable {
			all[i].LapseMs = lapseMs
		}
	}
	return all
}

// relayedLapse is how long an upstream may come back that another box's list lacks.
func (r *Registry) relayedLapse(at position.Position) clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.restored(at) {
		return maxRelayedLapseMs
	}
	return 0
}
