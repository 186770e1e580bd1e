// Package evacuation tracks the failure domains that operators have evacuated. The upstreams of an
// evacuated failure domain get no new requests until the evacuation ends; requests that run there are
// not affected.
package evacuation

import (
	"math"
	"slices"
	"strings"
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/position"
)

// restoreGraceMs is how long an evacuation that a store restored from an older copy doesn't list stays
// in effect. Operators write again what the store lost within about two seconds.
const restoreGraceMs = 5 * clock.Second

// Change starts or ends the evacuation of a failure domain.
type Change struct {
	FailureDomain string
	Ended         bool
	// Position orders the changes of all failure domains.
	Position position.Position
}

// Evacuation is the evacuation of one failure domain.
type Evacuation struct {
	FailureDomain string `json:"failure_domain"`
	// AgeMs is the longest time for which the evacuation may have been in effect, or negative if no box saw it
	// start.
	AgeMs clock.Millis `json:"age_ms"`
}

// Update is a complete list of the evacuations at a position.
type Update struct {
	Position    position.Position `json:"position"`
	Evacuations []Evacuation      `json:"evacuations,omitempty"`
}

// Summary identifies a list of evacuations in few bytes. Two lists with the same hash are the same.
type Summary struct {
	Position position.Position `cbor:"1,keyasint" json:"position"`
	Hash     namekey.Key       `cbor:"2,keyasint,omitempty" json:"hash"`
}

// unknownStart is the start time of an evacuation whose start no box saw.
const unknownStart clock.Millis = math.MinInt64

// status is what is known of an evacuation that is in effect.
type status struct {
	// startedMs is the earliest monotonic time at which it may have started, or unknownStart. It is negative if that is
	// before this process.
	startedMs clock.Millis
	// endsMs is the monotonic time at which the evacuation ends because a restored store doesn't list
	// it, or 0.
	endsMs clock.Millis
}

// Tracker holds the evacuations that are in effect. It is safe for concurrent use.
type Tracker struct {
	monotonic       func() clock.Millis
	confirmationAge func() clock.Millis
	onChange        func(event Change)

	mu       sync.Mutex
	active   map[string]status
	position position.Position
	// synced is set once a complete list was applied.
	synced bool
}

// New returns a tracker without evacuations. Monotonic is a monotonic clock. The function onChange is
// called, without locks held, for each evacuation that starts or ends.
func New(monotonic func() clock.Millis, onChange func(event Change), options ...Option) *Tracker {
	t := &Tracker{
		monotonic: monotonic, confirmationAge: func() clock.Millis { return 0 }, onChange: onChange,
		active: map[string]status{},
	}
	for _, option := range options {
		option(t)
	}
	return t
}

// Option configures a tracker.
type Option func(t *Tracker)

// WithConfirmationAge makes a tracker ask how long ago the known evacuations were last confirmed to be the newest, with
// a negative age if they never were. A change that it applies may be as old. Without it, changes are new.
func WithConfirmationAge(age func() clock.Millis) Option {
	return func(t *Tracker) { t.confirmationAge = age }
}

// Apply applies changes in the order of their positions. Changes that are not after the newest known
// position have no effect.
func (t *Tracker) Apply(changes []Change) {
	events := []Change{}
	startedMs := t.earliestStart(t.confirmationAge())
	t.mu.Lock()
	for _, c := range changes {
		if !t.position.Before(c.Position) {
			continue
		}
		t.position = c.Position
		if c.Ended {
			events = t.endLocked(events, c.FailureDomain)
		} else {
			events = t.startLocked(events, c.FailureDomain, startedMs)
		}
	}
	t.mu.Unlock()
	t.notify(events)
}

// Merge applies a complete list, unless it is older than what is known. If it comes from a store that was
// restored from an older copy, evacuations that it lacks stay in effect for restoreGraceMs.
func (t *Tracker) Merge(u Update) {
	events := []Change{}
	t.mu.Lock()
	if t.synced && !t.position.Before(u.Position) {
		t.mu.Unlock()
		return
	}
	now := t.monotonic()
	restored := t.position.Era < u.Position.Era && !t.position.IsZero()
	t.position, t.synced = position.Max(t.position, u.Position), true
	listed := map[string]bool{}
	for _, e := range u.Evacuations {
		listed[e.FailureDomain] = true
		events = t.startLocked(events, e.FailureDomain, t.earliestStart(e.AgeMs))
	}
	for domain, s := range t.active {
		switch {
		case listed[domain]:
		case restored:
			s.endsMs = now + restoreGraceMs
			t.active[domain] = s
		case s.endsMs == 0:
			events = t.endLocked(events, domain)
		}
	}
	t.mu.Unlock()
	t.notify(events)
}

// Expire ends the evacuations that a restored store hasn't listed again in time.
func (t *Tracker) Expire() {
	events := []Change{}
	t.mu.Lock()
	now := t.monotonic()
	for domain, s := range t.active {
		if s.endsMs > 0 && now >= s.endsMs {
			events = t.endLocked(events, domain)
		}
	}
	t.mu.Unlock()
	t.notify(events)
}

// earliestStart returns the earliest start of an evacuation with an age, which is negative if it is unknown.
func (t *Tracker) earliestStart(age clock.Millis) clock.Millis {
	if age < 0 {
		return unknownStart
	}
	return t.monotonic() - age
}

// startLocked puts an evacuation into effect. An evacuation that is already in effect keeps its start
// time.
func (t *Tracker) startLocked(events []Change, domain string, startedMs clock.Millis) []Change {
	if s, known := t.active[domain]; known {
		s.endsMs = 0
		t.active[domain] = s
		return events
	}
	t.active[domain] = status{startedMs: startedMs}
	return append(events, Change{FailureDomain: domain, Position: t.position})
}

func (t *Tracker) endLocked(events []Change, domain string) []Change {
	if _, known := t.active[domain]; !known {
		return events
	}
	delete(t.active, domain)
	return append(events, Change{FailureDomain: domain, Ended: true, Position: t.position})
}

func (t *Tracker) notify(events []Change) {
	for _, e := range events {
		t.onChange(e)
	}
}

// Active returns the evacuations that are in effect, sorted by failure domain.
func (t *Tracker) Active() []Evacuation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listLocked(true)
}

// Update returns what other boxes need to know. It omits evacuations that only a former era of the store
// listed, because each box that knew them keeps them itself.
func (t *Tracker) Update() Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Update{Position: t.position, Evacuations: t.listLocked(false)}
}

// Summary returns the summary of Update.
func (t *Tracker) Summary() Summary {
	u := t.Update()
	if len(u.Evacuations) == 0 {
		return Summary{Position: u.Position}
	}
	names := make([]string, 0, len(u.Evacuations))
	for _, e := range u.Evacuations {
		names = append(names, e.FailureDomain)
	}
	return Summary{Position: u.Position, Hash: namekey.Of(strings.Join(names, "\n"))}
}

// Advance records that the list with a summary is the same as the known one at a later position. It
// reports false if the list is different, so that it has to be fetched.
func (t *Tracker) Advance(s Summary) bool {
	own := t.Summary()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !t.position.Before(s.Position):
		return true
	case !t.synced || own.Hash != s.Hash || t.position.Era != s.Position.Era || own.Position != t.position:
		return false
	default:
		t.position = s.Position
		return true
	}
}

func (t *Tracker) listLocked(withGrace bool) []Evacuation {
	now := t.monotonic()
	list := make([]Evacuation, 0, len(t.active))
	for domain, s := range t.active {
		if s.endsMs > 0 && !withGrace {
			continue
		}
		e := Evacuation{FailureDomain: domain, AgeMs: -1}
		if s.startedMs != unknownStart {
			e.AgeMs = now - s.startedMs
		}
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b Evacuation) int { return strings.Compare(a.FailureDomain, b.FailureDomain) })
	return list
}
