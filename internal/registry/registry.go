// Package registry holds the upstreams that a box knows. An upstream is one incarnation of a
// server, identified by the server's id and start time, because ids and addresses may be
// reused.
package registry

import (
	"slices"
	"strconv"
	"strings"
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/position"
)

// Upstream is one incarnation of a server.
type Upstream struct {
	// ID identifies the server. It may stay the same across restarts.
	ID string `json:"id"`
	// StartedMs is the server's start time by its own wall clock, or 0 if the server does not
	// report it. Together with the ID it identifies the incarnation, and it orders the
	// incarnations of one server. It is never compared with a box's clock.
	StartedMs clock.Millis `json:"started_ms,omitempty"`
	// Pool is the name of the pool that the upstream belongs to.
	Pool string `json:"pool"`
	// Address is an IP address and port.
	Address string `json:"address"`
	// FailureDomain is the failure domain in which the upstream runs.
	FailureDomain string `json:"failure_domain"`
	// SoftwareVersion is the version of the upstream's software, or "" if the source does not report it.
	// Streams of two versions don't fit together.
	SoftwareVersion string `json:"software_version,omitempty"`
	// Slots is the maximum number of requests that the upstream runs concurrently.
	Slots int `json:"slots"`
	// Draining is set once the upstream has announced that it is shutting down.
	Draining bool `json:"draining,omitempty"`
	// ColdMs is how much longer the upstream is cold: slow, and unable to bear its usual load. It counts from
	// when the record was written, or from when the registry returned it.
	ColdMs clock.Millis `json:"cold_ms,omitempty"`
}

// Incarnation returns a name for this incarnation of the server.
func (u Upstream) Incarnation() string {
	if u.StartedMs == 0 {
		return u.ID
	}
	return u.ID + "@" + strconv.FormatInt(int64(u.StartedMs), 10)
}

// Key returns the short key of the incarnation that boxes use in frequent messages to each
// other.
func (u Upstream) Key() namekey.Key { return namekey.Of(u.Incarnation()) }

// Change is a change to one upstream, as reported by a source.
type Change struct {
	Upstream Upstream `json:"upstream"`
	// Removed is set when the upstream's entry was removed. Of Upstream, only the ID is used then.
	Removed bool `json:"gone,omitempty"`
	// Unusable is set together with Removed when an entry exists but does not describe a usable
	// upstream. Such an upstream does not reappear when the store that holds the entry
	// recovers.
	Unusable bool `json:"-"`
	// Position orders the changes of all upstreams. Every source assigns the same position to
	// the same change.
	Position position.Position `json:"position"`
	// Sequence counts the records that the upstream has written about itself since it started.
	// It is 0 if the upstream does not report it.
	Sequence int64 `json:"sequence,omitempty"`
	// Copied is set when the record may be older than the era of its position, because it was
	// read as part of a snapshot rather than when it was written.
	Copied bool `json:"copied,omitempty"`
	// GraceMs is the grace period in which a removed entry may reappear. Entries expire while
	// the store that holds them is unavailable, although their upstreams are alive. Zero
	// removes the entry at once.
	GraceMs clock.Millis `json:"lapse_ms,omitempty"`
}

// entry is an upstream together with the state of its store entry.
type entry struct {
	upstream Upstream
	// coldUntilMs is the monotonic time until which the upstream is cold, at the latest: a record counts from its
	// arrival.
	coldUntilMs clock.Millis
	// appearedMs is the monotonic time at which this incarnation appeared at its address.
	appearedMs clock.Millis
	// removeAtMs is the monotonic time at which the grace period of a removed entry ends, or 0.
	removeAtMs clock.Millis
	// tombstone is set on an entry that is kept only to reject older changes.
	tombstone bool
	// unusable is set on a tombstone whose entry was replaced by another writer.
	unusable bool
	position position.Position
	// startedMs is the latest start time of the server seen so far.
	startedMs clock.Millis
	// sequence is the sequence number of the newest record written by this incarnation.
	sequence int64
	// copied is Change.Copied of the newest record.
	copied bool
	// stale is an older record that the store still holds for a removed upstream.
	stale *staleRecord
}

// Registry is the set of upstreams. It is safe for concurrent use.
type Registry struct {
	monotonic func() clock.Millis

	mu      sync.Mutex
	entries map[string]entry
	journal journal
	// synced is set once a complete list of the upstreams has been applied.
	synced bool
	// confirmedMs is the latest time of which the store has shown that all changes until then were applied.
	confirmedMs clock.Millis
	// notifyMu is held while onChange runs.
	notifyMu sync.Mutex
	onChange func(applied []Change)
	onSkip   func()
}

// New returns an empty registry.
func New(monotonic func() clock.Millis) *Registry {
	return &Registry{monotonic: monotonic, entries: map[string]entry{}, onChange: func([]Change) {}, onSkip: func() {}}
}

// OnChange sets a function that is called with new changes after they were applied, and without any after a timeout.
// Its calls don't overlap. It may read the registry but not change it.
func (r *Registry) OnChange(call func(applied []Change)) { r.onChange = call }

// OnSkip sets a function that is called, without locks held, before a complete list is applied that may hide changes:
// upstreams may have changed several times since the position of the registry.
func (r *Registry) OnSkip(call func()) { r.onSkip = call }

// Apply applies changes without a gap between them and the position of the registry, and returns those that were new.
func (r *Registry) Apply(changes []Change) []Change {
	upTo := position.Position{}
	for _, c := range changes {
		upTo = position.Max(upTo, c.Position)
	}
	return r.ApplyUpTo(changes, upTo)
}

// ApplyUpTo applies changes, after which the registry holds every change up to a position, and returns those that were
// new. They may include changes after the position.
func (r *Registry) ApplyUpTo(changes []Change, upTo position.Position) []Change {
	applied := []Change{}
	r.mu.Lock()
	for _, c := range changes {
		if r.apply(c) {
			applied = append(applied, c)
			r.journal.add(c)
		}
	}
	r.journal.advance(upTo)
	r.mu.Unlock()
	if len(applied) > 0 {
		r.notify(applied)
	}
	return applied
}

// notify reports changes that were applied. Without the lock, a call that has read the list of upstreams before a
// concurrent change could pass it on after the call for that change.
func (r *Registry) notify(applied []Change) {
	r.notifyMu.Lock()
	defer r.notifyMu.Unlock()
	r.onChange(applied)
}

func (r *Registry) apply(c Change) bool {
	id := c.Upstream.ID
	old, known := r.entries[id]
	next := entry{
		position: c.Position, startedMs: max(old.startedMs, c.Upstream.StartedMs), sequence: old.sequence, copied: c.Copied,
	}
	switch {
	case c.Position.Era < r.journal.position.Era || known && !old.position.Before(c.Position):
		return false
	case c.Upstream.startedBefore(old.startedMs):
		// A late record of an earlier incarnation says nothing about the current one.
		old.position = c.Position
		r.entries[id] = old
		return false
	case known && old.supersedes(c):
		r.entries[id] = old.afterStaleRecord(c, r.monotonic())
		return false
	case !c.Removed:
		next.upstream, next.sequence = c.Upstream, c.Sequence
		next.appearedMs = r.monotonic()
		next.coldUntilMs = next.appearedMs + c.Upstream.ColdMs
		if !old.tombstone && old.upstream.Address == c.Upstream.Address &&
			old.upstream.Incarnation() == c.Upstream.Incarnation() {
			next.appearedMs = old.appearedMs
		}
	case !known || old.tombstone:
		next.tombstone = true
		// This is reported as a change because other boxes may hold a record that this box
		// rejected as outdated.
		r.entries[id] = next
		return true
	case c.GraceMs == 0 || old.upstream.Draining:
		next.tombstone, next.unusable = true, c.Unusable
	default:
		next.upstream, next.removeAtMs = old.upstream, r.monotonic()+c.GraceMs
		next.coldUntilMs, next.appearedMs = old.coldUntilMs, old.appearedMs
	}
	r.entries[id] = next
	return true
}

// startedBefore reports whether the upstream is an earlier incarnation of a server that has
// restarted since.
func (u Upstream) startedBefore(newestMs clock.Millis) bool {
	return u.StartedMs > 0 && u.StartedMs < newestMs
}

// ApplySnapshot applies a complete list of the upstreams at a position, and returns the changes that
// were new. Upstreams missing from the list are removed, but may reappear within graceMs. A list that
// was read in pages may hold later changes. The registry stays at the position nevertheless, since
// changes between it and those may be missing.
func (r *Registry) ApplySnapshot(all []Change, at position.Position, graceMs clock.Millis) []Change {
	r.mu.Lock()
	if at.Era < r.journal.position.Era {
		r.mu.Unlock()
		return nil
	}
	skips := r.skips(all, at)
	// Removals are applied first, so that an outdated record of a removed upstream has no
	// effect.
	all = append(r.removals(all, at, graceMs), r.delayForeignRemovals(all, at, graceMs)...)
	r.mu.Unlock()
	if skips {
		r.onSkip()
	}
	applied := r.ApplyUpTo(all, position.Position{})
	r.mu.Lock()
	r.journal.skipTo(at)
	r.synced = true
	r.mu.Unlock()
	return applied
}

// skips reports whether a complete list at a position may hide changes after the position of the registry. It hides
// none if it holds a change at each position between.
func (r *Registry) skips(all []Change, at position.Position) bool {
	from := r.journal.position
	if from.IsZero() || !from.Before(at) {
		return false
	}
	shown := map[position.Position]bool{}
	for _, c := range all {
		if from.Before(c.Position) && !at.Before(c.Position) {
			shown[c.Position] = true
		}
	}
	return at.Era != from.Era || int64(len(shown)) < at.Offset-from.Offset
}

// removals returns a removal for each upstream missing from a complete list at a position.
func (r *Registry) removals(all []Change, at position.Position, graceMs clock.Millis) []Change {
	listed := make(map[string]bool, len(all))
	for _, c := range all {
		older := r.inNewerEra(at) && c.Upstream.startedBefore(r.entries[c.Upstream.ID].startedMs)
		listed[c.Upstream.ID] = !older
	}
	removed := []Change{}
	for id, e := range r.entries {
		switch {
		case listed[id] || e.tombstone || !e.position.Before(at):
		case e.removeAtMs > 0:
			// The entry is still missing: its grace period keeps running.
			e.position = at
			r.entries[id] = e
		default:
			removed = append(removed, Change{Upstream: Upstream{ID: id}, Removed: true, Position: at, GraceMs: graceMs})
		}
	}
	return removed
}

// Confirm records that, according to the store, there was no change after a position at a monotonic time. It has no
// effect before this box has applied all changes up to the position, or for a time in the future.
func (r *Registry) Confirm(at position.Position, confirmedMs clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.Era == r.journal.position.Era && !r.journal.position.Before(at) && confirmedMs <= r.monotonic() {
		r.confirmedMs = max(r.confirmedMs, confirmedMs)
	}
}

// ConfirmedMs returns the latest monotonic time at which the registry is known to have held all changes, or 0.
func (r *Registry) ConfirmedMs() clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmedMs
}

// Synced reports whether a complete list of the upstreams has been applied, even an empty one.
func (r *Registry) Synced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.synced
}

// Expire removes entries whose grace period has ended, and restores upstreams that the store
// keeps listing.
func (r *Registry) Expire() {
	now := r.monotonic()
	changed := false
	r.mu.Lock()
	for id, e := range r.entries {
		next, updated := e.afterTimeouts(now, r.confirmedMs)
		if updated {
			r.entries[id] = next
			changed = true
		}
	}
	r.mu.Unlock()
	if changed {
		r.notify(nil)
	}
}

// afterTimeouts returns the entry after applying the timeouts that are due at now. The
// argument confirmedMs is when the registry was last known to be up to date with the store.
func (e entry) afterTimeouts(now, confirmedMs clock.Millis) (next entry, changed bool) {
	switch {
	case e.removeAtMs > 0 && now >= e.removeAtMs:
		return entry{tombstone: true, position: e.position, startedMs: e.startedMs, sequence: e.sequence}, true
	case e.stale != nil && confirmedMs >= e.stale.acceptAtMs:
		return entry{
			upstream: e.stale.upstream, position: e.position, startedMs: e.startedMs,
			sequence: e.stale.sequence, copied: true, appearedMs: now,
		}, true
	default:
		return e, false
	}
}

// All returns the upstreams sorted by ID.
func (r *Registry) All() []Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	all, now := make([]Upstream, 0, len(r.entries)), r.monotonic()
	for _, e := range r.entries {
		if !e.tombstone {
			all = append(all, e.current(now))
		}
	}
	slices.SortFunc(all, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// Has reports whether the registry holds an incarnation.
func (r *Registry) Has(u Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, known := r.entries[u.ID]
	return known && !e.tombstone && e.upstream.StartedMs == u.StartedMs
}

// AddressReused reports whether another incarnation has appeared at the address of an upstream since a monotonic time.
func (r *Registry) AddressReused(u Upstream, sinceMs clock.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if !e.tombstone && e.appearedMs >= sinceMs && e.upstream.Address == u.Address &&
			e.upstream.Incarnation() != u.Incarnation() {
			return true
		}
	}
	return false
}

// Position returns the position up to which every change was applied.
func (r *Registry) Position() position.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.journal.position
}

// Update holds the changes after some position.
type Update struct {
	// Position is the newest position that the update covers.
	Position position.Position `json:"position"`
	// Complete is set when Changes is the complete list of upstreams.
	Complete bool     `json:"whole,omitempty"`
	Changes  []Change `json:"changes,omitempty"`
}

// Since returns the changes after a position. It returns the complete list of upstreams instead
// if the journal does not reach back that far, or if the position is of an earlier era.
func (r *Registry) Since(after position.Position) Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	if changes, ok := r.journal.since(after); ok {
		return Update{Position: r.journal.position, Changes: changes}
	}
	u := Update{Position: r.journal.position, Complete: true}
	for _, e := range r.entries {
		if !e.tombstone {
			u.Changes = append(u.Changes, e.change(r.monotonic()))
		}
	}
	return u
}

// change returns the change that describes the entry.
func (e entry) change(now clock.Millis) Change {
	c := Change{Upstream: e.current(now), Position: e.position, Sequence: e.sequence, Copied: e.copied}
	if e.removeAtMs > 0 {
		// The removal applies to every incarnation of the server.
		c.Upstream = Upstream{ID: e.upstream.ID}
		c.Removed, c.GraceMs = true, max(1, e.removeAtMs-now)
	}
	return c
}

// current returns the upstream with the rest of its cold time.
func (e entry) current(now clock.Millis) Upstream {
	u := e.upstream
	u.ColdMs = max(0, e.coldUntilMs-now)
	return u
}

// maxRelayedGraceMs bounds the grace period of a removal relayed by another box, because part
// of it has already passed in transit.
const maxRelayedGraceMs clock.Millis = 1200

// Merge applies another box's update and returns the changes that were new.
func (r *Registry) Merge(u Update) []Change {
	for i := range u.Changes {
		u.Changes[i].GraceMs = min(u.Changes[i].GraceMs, maxRelayedGraceMs)
	}
	if u.Complete || !u.Position.IsZero() && r.Position().IsZero() {
		return r.ApplySnapshot(u.Changes, u.Position, r.relayedGraceMs(u.Position))
	}
	return r.ApplyUpTo(u.Changes, u.Position)
}
