package claim

import "dooryard.example/dooryard/internal/clock"

// State is where a key stands for one claimant.
type State string

// States of a key.
const (
	// Absent means that no claim of this owner was folded yet.
	Absent State = "absent"
	// Won means that this owner holds the key.
	Won State = "won"
	// Held means that another owner holds the key and its end is not recorded.
	Held State = "held"
	// Settled means that another owner's request ended, with its answer.
	Settled State = "settled"
	// Mismatch means that the key was used for another request.
	Mismatch State = "mismatch"
	// Given means that this owner has released its claim.
	Given State = "released"
)

// Verdict is the state of a key for one claimant.
type Verdict struct {
	State  State   `json:"state"`
	Owner  string  `json:"owner,omitempty"`
	Answer *Answer `json:"answer,omitempty"`
}

// Ledger is a claim stream folded up to one offset: which request owns each key
// within the window. It is a pure function of the stream; the time it knows is
// that of the log's records.
type Ledger struct {
	windowMs clock.Millis
	entries  map[string]*entry
	released map[string]clock.Millis
	// order lists keys by the time of their newest owner, for expiry.
	order []expiry
	nowMs clock.Millis
}

type entry struct {
	owner     string
	digest    string
	answer    *Answer
	claimedMs clock.Millis
}

type expiry struct {
	key   string
	owner string
	atMs  clock.Millis
}

// NewLedger returns an empty ledger that remembers keys for a window.
func NewLedger(windowMs clock.Millis) *Ledger {
	return &Ledger{windowMs: windowMs, entries: map[string]*entry{}, released: map[string]clock.Millis{}}
}

// Apply folds the records of one batch, which the log took at an instant.
func (l *Ledger) Apply(records []Record, atMs clock.Millis) {
	l.nowMs = max(l.nowMs, atMs)
	l.expire()
	for i := range records {
		l.apply(&records[i])
	}
}

func (l *Ledger) apply(r *Record) {
	switch r.Type {
	case TypeClaim:
		l.claim(r)
	case TypeSettle:
		if e := l.entries[r.Key]; e != nil && e.owner == r.Owner && e.answer == nil {
			e.answer = r.Answer
		}
	case TypeRelease:
		l.release(r)
	}
}

func (l *Ledger) claim(r *Record) {
	if _, gone := l.released[r.Owner]; gone || l.entries[r.Key] != nil {
		return
	}
	l.entries[r.Key] = &entry{owner: r.Owner, digest: r.Digest, claimedMs: l.nowMs}
	l.order = append(l.order, expiry{key: r.Key, owner: r.Owner, atMs: l.nowMs + l.windowMs})
}

// release frees the key, and remembers the owner so that a copy of its claim
// that comes later folds to nothing.
func (l *Ledger) release(r *Record) {
	e := l.entries[r.Key]
	if e != nil && e.owner == r.Owner {
		if e.answer != nil {
			return
		}
		delete(l.entries, r.Key)
	}
	l.released[r.Owner] = l.nowMs
	l.order = append(l.order, expiry{owner: r.Owner, atMs: l.nowMs + l.windowMs})
}

func (l *Ledger) expire() {
	done := 0
	for done < len(l.order) && l.order[done].atMs <= l.nowMs {
		due := l.order[done]
		if e := l.entries[due.key]; e != nil && e.owner == due.owner {
			delete(l.entries, due.key)
		}
		if due.key == "" {
			delete(l.released, due.owner)
		}
		done++
	}
	if done > 0 {
		l.order = append([]expiry(nil), l.order[done:]...)
	}
}

// Verdict returns where a claimant stands.
func (l *Ledger) Verdict(key, owner, digest string) Verdict {
	if _, gone := l.released[owner]; gone {
		return Verdict{State: Given}
	}
	e := l.entries[key]
	switch {
	case e == nil:
		return Verdict{State: Absent}
	case e.owner == owner:
		return Verdict{State: Won, Owner: owner, Answer: e.answer}
	case e.digest != digest:
		return Verdict{State: Mismatch, Owner: e.owner}
	case e.answer != nil:
		return Verdict{State: Settled, Owner: e.owner, Answer: e.answer}
	default:
		return Verdict{State: Held, Owner: e.owner}
	}
}

// Len returns how many keys are remembered.
func (l *Ledger) Len() int { return len(l.entries) }
