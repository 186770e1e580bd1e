package registry

import (
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/position"
)

// A store restored from an older copy lists records that had already been superseded. The
// newest record that an upstream wrote itself takes precedence over them until the upstream
// writes again.

// staleRecordMs is longer than the store keeps the entry of an upstream that no longer writes
// it. An upstream that is still listed after this time is alive.
const staleRecordMs = 5 * clock.Second

// staleRecord is a record that may be outdated, with the time from which it is accepted
// nevertheless.
type staleRecord struct {
	upstream   Upstream
	sequence   int64
	acceptAtMs clock.Millis
}

// inNewerEra reports whether a position belongs to a later era than everything applied so far.
func (r *Registry) inNewerEra(at position.Position) bool {
	return !r.journal.position.IsZero() && r.journal.position.Era < at.Era
}

// supersedes reports whether the known entry takes precedence over a record from the store's
// copy: the same incarnation wrote both, and nothing in the copied record is newer. An entry
// replaced by another writer never takes precedence, because the upstream did not end that
// entry itself.
func (e entry) supersedes(c Change) bool {
	if c.Removed || !c.Copied || e.position.Era == c.Position.Era || c.Upstream.StartedMs != e.startedMs || e.unusable {
		return false
	}
	return c.Sequence < e.sequence || c.Sequence == e.sequence && (e.tombstone || e.upstream.Draining)
}

// afterStaleRecord returns the entry after an older record was read at a new position. A
// removed upstream may turn out to be alive: it writes only changes, so it may not write
// again. The stale record is kept, and accepted if the store still lists it after
// staleRecordMs.
func (e entry) afterStaleRecord(c Change, now clock.Millis) entry {
	e.position, e.copied = c.Position, true
	if e.tombstone {
		e.stale = &staleRecord{upstream: c.Upstream, sequence: c.Sequence, acceptAtMs: now + staleRecordMs}
	}
	return e
}

// delayForeignRemovals adds a grace period to the removal of upstreams whose entry in a restored
// copy is unusable because another writer wrote it. The upstreams may have written valid entries
// after the copy was made, and those were lost in the restore.
func (r *Registry) delayForeignRemovals(all []Change, at position.Position, graceMs clock.Millis) []Change {
	if !r.inNewerEra(at) {
		return all
	}
	for i := range all {
		if all[i].Unusable {
			all[i].GraceMs = graceMs
		}
	}
	return all
}

// relayedGraceMs returns the grace period for upstreams that are missing from another box's
// list.
func (r *Registry) relayedGraceMs(at position.Position) clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inNewerEra(at) {
		return maxRelayedGraceMs
	}
	return 0
}
