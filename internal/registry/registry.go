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
	// Revision orders the changes of all upstreams: every source gives the same
	// change the same number.
	Revision int64 `json:"revision"`
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
	gone     bool
	revision int64
	// startedMs is the newest start of the server that was heard.
	startedMs clock.Millis
}

// Registry is the set of upstreams. It is safe for concurrent use.
type Registry struct {
	steady func() clock.Millis

	mu      sync.Mutex
	entries map[string]entry
	journal journal
	// filled is set once all upstreams there are were taken in as a whole.
	filled   bool
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
	next := entry{revision: c.Revision, startedMs: max(old.startedMs, c.Upstream.StartedMs)}
	switch {
	case known && c.Revision <= old.revision:
		return false
	case c.Upstream.formerOf(old.startedMs):
		// A word of a former life, written late: it says nothing of this one.
		old.revision = c.Revision
		r.entries[id] = old
		return false
	case !c.Gone:
		next.upstream = c.Upstream
	case !known || old.gone:
		next.gone = true
		r.entries[id] = next
		return !known
	case c.LapseMs == 0 || old.upstream.Draining:
		next.gone = true
	default:
		next.upstream, next.goneMs = old.upstream, r.steady()+c.LapseMs
	}
	r.entries[id] = next
	return true
}

// formerOf tells whether the upstream is an earlier life of a server that has started again.
func (u Upstream) formerOf(newestMs clock.Millis) bool {
	return u.StartedMs > 0 && u.StartedMs < newestMs
}

// Replace takes in all upstreams as they were at a revision, and returns what
// was news: upstreams that are not among them have disappeared, and may come back
// within lapseMs.
func (r *Registry) Replace(all []Change, revision int64, lapseMs clock.Millis) []Change {
	listed := make(map[string]bool, len(all))
	for _, c := range all {
		listed[c.Upstream.ID] = true
	}
	r.mu.Lock()
	for id, e := range r.entries {
		if !listed[id] && !e.gone && e.goneMs == 0 && e.revision < revision {
			all = append(all, Change{Upstream: Upstream{ID: id}, Gone: true, Revision: revision, LapseMs: lapseMs})
		}
	}
	r.mu.Unlock()
	news := r.Apply(all)
	r.mu.Lock()
	r.journal.reach(revision)
	r.filled = true
	r.mu.Unlock()
	return news
}

// Filled tells whether all upstreams there are were taken in, be it none.
func (r *Registry) Filled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.filled
}

// Expire removes entries whose time to come back is over.
func (r *Registry) Expire() {
	now := r.steady()
	changed := false
	r.mu.Lock()
	for id, e := range r.entries {
		if e.goneMs > 0 && now >= e.goneMs {
			r.entries[id] = entry{gone: true, revision: e.revision, startedMs: e.startedMs}
			changed = true
		}
	}
	r.mu.Unlock()
	if changed {
		r.onChange()
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

// Has tells whether an incarnation is there.
func (r *Registry) Has(u Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, known := r.entries[u.ID]
	return known && !e.gone && e.upstream.StartedMs == u.StartedMs
}

// Revision returns the newest revision that was taken in.
func (r *Registry) Revision() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.journal.revision
}

// Update is what changed after some revision.
type Update struct {
	// Revision is the newest one that the update covers.
	Revision int64 `json:"revision"`
	// Whole is set when Changes are all upstreams there are.
	Whole   bool     `json:"whole,omitempty"`
	Changes []Change `json:"changes,omitempty"`
}

// Since returns what changed after a revision, or all upstreams when the journal
// does not reach back so far.
func (r *Registry) Since(revision int64) Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	if changes, ok := r.journal.since(revision); ok {
		return Update{Revision: r.journal.revision, Changes: changes}
	}
	u := Update{Revision: r.journal.revision, Whole: true}
	for _, e := range r.entries {
		if !e.gone && e.goneMs == 0 {
			u.Changes = append(u.Changes, Change{Upstream: e.upstream, Revision: e.revision})
		}
	}
	return u
}

// maxRelayedLapseMs bounds how long an entry may come back that another box told
// of: its word has been under way for a while.
const maxRelayedLapseMs clock.Millis = 1200

// Merge takes in another box's update and returns what was news.
func (r *Registry) Merge(u Update) []Change {
	for i := range u.Changes {
		u.Changes[i].LapseMs = min(u.Changes[i].LapseMs, maxRelayedLapseMs)
	}
	if u.Whole || u.Revision > 0 && r.Revision() == 0 {
		return r.Replace(u.Changes, u.Revision, 0)
	}
	return r.Apply(u.Changes)
}
