// Package registry holds the upstreams that a box knows of. An upstream is one
// incarnation, known by its server's id and start; ids and addresses may be used again.
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
	// ID names the server. One that starts again may keep it.
	ID string `json:"id"`
	// StartedMs is the time of day of the server's start by its own clock, or 0 if it does not
	// tell. With the ID it names the incarnation, and orders those of one server; it is never
	// compared with a box's clock.
	StartedMs clock.Millis `json:"started_ms,omitempty"`
	// Pool is the name of the pool that the upstream belongs to.
	Pool string `json:"pool"`
	// Address is an IP number and port.
	Address string `json:"address"`
	// FailureDomain is where the upstream stands.
	FailureDomain string `json:"failure_domain"`
	// Slots is how many requests it runs at once.
	Slots int `json:"slots"`
	// Draining is set once the upstream said that it is going to leave.
	Draining bool `json:"draining,omitempty"`
}

// Incarnation names one life of a server.
func (u Upstream) Incarnation() string {
	if u.StartedMs == 0 {
		return u.ID
	}
	return u.ID + "@" + strconv.FormatInt(int64(u.StartedMs), 10)
}

// Key names the incarnation in what boxes tell each other often.
func (u Upstream) Key() namekey.Key { return namekey.Of(u.Incarnation()) }

// Change is what a source learnt about one upstream.
type Change struct {
	Upstream Upstream `json:"upstream"`
	// Gone is set when the upstream's entry disappeared; only the ID counts then.
	Gone bool `json:"gone,omitempty"`
	// Unusable is set with Gone when there is an entry that names no upstream to use: it does
	// not come back with the store that holds it.
	Unusable bool `json:"-"`
	// Position orders the changes of all upstreams: every source gives the same change the
	// same one.
	Position position.Position `json:"position"`
	// Sequence counts what the upstream wrote of itself since it started, 0 if it does not tell.
	Sequence int64 `json:"sequence,omitempty"`
	// Copied is set when the record may be older than the era of its position: it was read as
	// part of a whole, not as it was written.
	Copied bool `json:"copied,omitempty"`
	// LapseMs is how long an entry that disappeared may come back: entries lapse
	// while the store that holds them is away, although their upstreams live.
	// Zero gives it up at once.
	LapseMs clock.Millis `json:"lapse_ms,omitempty"`
}

// entry is an upstream with what is known of its entry.
type entry struct {
	upstream Upstream
	// goneMs is the steady instant at which a lapsed entry is given up, or 0.
	goneMs clock.Millis
	// gone is set on what is only kept to know that older changes are void.
	gone bool
	// unusable is set on a gone entry that another writer replaced.
	unusable bool
	position position.Position
	// startedMs is the newest start of the server that was heard.
	startedMs clock.Millis
	// sequence is that of the newest record which this life wrote.
	sequence int64
	// copied is Change.Copied of the newest record.
	copied bool
	// listed is an older record that the store still holds of an upstream known to be gone.
	listed *listing
}

// Registry is the set of upstreams. It is safe for concurrent use.
type Registry struct {
	steady func() clock.Millis

	mu      sync.Mutex
	entries map[string]entry
	journal journal
	// filled is set once all upstreams there are were taken in as a whole.
	filled bool
	// heardMs is when this box last heard that nothing newer than its position was there, or
	// took in what was.
	heardMs  clock.Millis
	onChange func()
}

// New returns an empty registry.
func New(steady func() clock.Millis) *Registry {
	return &Registry{steady: steady, entries: map[string]entry{}, onChange: func() {}}
}

// OnChange sets a function that is called after each change, without locks held.
func (r *Registry) OnChange(call func()) { r.onChange = call }

// Apply takes in changes and returns those that were news.
func (r *Registry) Apply(changes []Change) []Change {
	news := []Change{}
	r.mu.Lock()
	r.heardMs = r.steady()
	for _, c := range changes {
		if r.apply(c) {
			news = append(news, c)
			r.journal.add(c)
		}
	}
	r.mu.Unlock()
	if len(news) > 0 {
		r.onChange()
	}
	return news
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
	case c.Upstream.formerOf(old.startedMs):
		// A word of a former life, written late: it says nothing of this one.
		old.position = c.Position
		r.entries[id] = old
		return false
	case known && old.outdates(c):
		r.entries[id] = old.keptOver(c, r.steady())
		return false
	case !c.Gone:
		next.upstream, next.sequence = c.Upstream, c.Sequence
	case !known || old.gone:
		next.gone = true
		// Other boxes may believe a record that this one held for outdated.
		r.entries[id] = next
		return true
	case c.LapseMs == 0 || old.upstream.Draining:
		next.gone, next.unusable = true, c.Unusable
	default:
		next.upstream, next.goneMs = old.upstream, r.steady()+c.LapseMs
	}
	r.entries[id] = next
	return true
}

// formerOf reports whether the upstream is an earlier life of a server that has started again.
func (u Upstream) formerOf(newestMs clock.Millis) bool {
	return u.StartedMs > 0 && u.StartedMs < newestMs
}

// Replace takes in all upstreams as they were at a position, and returns what
// was news: upstreams that are not among them have disappeared, and may come back
// within lapseMs.
func (r *Registry) Replace(all []Change, at position.Position, lapseMs clock.Millis) []Change {
	r.mu.Lock()
	if at.Era < r.journal.position.Era {
		r.mu.Unlock()
		return nil
	}
	// What is missing goes first: an outdated record of an upstream that is missing says nothing.
	all = append(r.missing(all, at, lapseMs), r.lapseForeign(all, at, lapseMs)...)
	r.mu.Unlock()
	news := r.Apply(all)
	r.mu.Lock()
	r.journal.reach(at)
	r.filled = true
	r.mu.Unlock()
	return news
}

// missing returns what a list of all upstreams at a position lacks, as gone.
func (r *Registry) missing(all []Change, at position.Position, lapseMs clock.Millis) []Change {
	listed := make(map[string]bool, len(all))
	for _, c := range all {
		former := r.restored(at) && c.Upstream.formerOf(r.entries[c.Upstream.ID].startedMs)
		listed[c.Upstream.ID] = !former
	}
	gone := []Change{}
	for id, e := range r.entries {
		switch {
		case listed[id] || e.gone || !e.position.Before(at):
		case e.goneMs > 0:
			// It is missing still: its time to come back goes on.
			e.position = at
			r.entries[id] = e
		default:
			gone = append(gone, Change{Upstream: Upstream{ID: id}, Gone: true, Position: at, LapseMs: lapseMs})
		}
	}
	return gone
}

// Confirm takes in that another box knew nothing newer than a position.
func (r *Registry) Confirm(at position.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at == r.journal.position {
		r.heardMs = r.steady()
	}
}

// Filled reports whether all upstreams there are were taken in, be it none.
func (r *Registry) Filled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.filled
}

// Expire removes entries whose time to come back is over, and takes back upstreams that the
// store goes on listing.
func (r *Registry) Expire() {
	now := r.steady()
	changed := false
	r.mu.Lock()
	for id, e := range r.entries {
		next, news := e.expired(now, r.heardMs)
		if news {
			r.entries[id] = next
			changed = true
		}
	}
	r.mu.Unlock()
	if changed {
		r.onChange()
	}
}

// expired returns what follows from an entry's own time-outs by an instant, when the store was last
// heard at another one.
func (e entry) expired(now, heardMs clock.Millis) (next entry, changed bool) {
	switch {
	case e.goneMs > 0 && now >= e.goneMs:
		return entry{gone: true, position: e.position, startedMs: e.startedMs, sequence: e.sequence}, true
	case e.listed != nil && heardMs >= e.listed.untilMs:
		return entry{
			upstream: e.listed.upstream, position: e.position, startedMs: e.startedMs,
			sequence: e.listed.sequence, copied: true,
		}, true
	default:
		return e, false
	}
}

// All returns the upstreams by ID.
func (r *Registry) All() []Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Upstream, 0, len(r.entries))
	for _, e := range r.entries {
		if !e.gone {
			all = append(all, e.upstream)
		}
	}
	slices.SortFunc(all, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// Has reports whether an incarnation is there.
func (r *Registry) Has(u Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, known := r.entries[u.ID]
	return known && !e.gone && e.upstream.StartedMs == u.StartedMs
}

// Position returns the newest position that was taken in.
func (r *Registry) Position() position.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.journal.position
}

// Update is what changed after some position.
type Update struct {
	// Position is the newest one that the update covers.
	Position position.Position `json:"position"`
	// Whole is set when Changes are all upstreams there are.
	Whole   bool     `json:"whole,omitempty"`
	Changes []Change `json:"changes,omitempty"`
}

// Since returns what changed after a position, or all upstreams when the journal
// does not reach back so far.
func (r *Registry) Since(after position.Position) Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	if changes, ok := r.journal.since(after); ok {
		return Update{Position: r.journal.position, Changes: changes}
	}
	u := Update{Position: r.journal.position, Whole: true}
	for _, e := range r.entries {
		if !e.gone {
			u.Changes = append(u.Changes, e.change(r.steady()))
		}
	}
	return u
}

// change returns what the entry says.
func (e entry) change(now clock.Millis) Change {
	c := Change{Upstream: e.upstream, Position: e.position, Sequence: e.sequence, Copied: e.copied}
	if e.goneMs > 0 {
		// That the entry has gone holds for every life of the server.
		c.Upstream = Upstream{ID: e.upstream.ID}
		c.Gone, c.LapseMs = true, max(1, e.goneMs-now)
	}
	return c
}

// maxRelayedLapseMs bounds how long an entry may come back that another box told
// of: its word has been under way for a while.
const maxRelayedLapseMs clock.Millis = 1200

// Merge takes in another box's update and returns what was news.
func (r *Registry) Merge(u Update) []Change {
	for i := range u.Changes {
		u.Changes[i].LapseMs = min(u.Changes[i].LapseMs, maxRelayedLapseMs)
	}
	if u.Whole || !u.Position.IsZero() && r.Position().IsZero() {
		return r.Replace(u.Changes, u.Position, r.relayedLapse(u.Position))
	}
	return r.Apply(u.Changes)
}
