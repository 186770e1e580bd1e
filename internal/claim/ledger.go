package claim

import "dooryard.example/dooryard/internal/clock"

// State is the state of a key from the point of view of one claimant.
type State string

// States of a key.
const (
	// Absent means that no owner holds the key: no claim has been applied yet, or the holder's
	// claim was released or has expired.
	Absent State = "absent"
	// Won means that this owner holds the key.
	Won State = "won"
	// Held means that another owner holds the key and its outcome is not recorded yet.
	Held State = "held"
	// Settled means that another owner's request has ended and its answer is recorded.
	Settled State = "settled"
	// Mismatch means that the key was used for a different request.
	Mismatch State = "mismatch"
	// Released means that this owner has released its claim.
	Released State = "released"
)

// Verdict is the state of a key for one claimant.
type Verdict struct {
	State  State   `json:"state"`
	Owner  string  `json:"owner,omitempty"`
	Answer *Answer `json:"answer,omitempty"`
}

// Ledger is the state of a claim stream after replaying it up to one offset: it records which
// request owns each key within the window. It is a pure function of the stream; its only clock
// is the timestamps of the log's records.
type Ledger struct {
	windowMs clock.Millis
	entries  map[string]*entry
	released map[string]clock.Millis
	// expiries lists keys and released owners in the order in which they expire.
	expiries []expiry
	nowMs    clock.Millis
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

// NewLedger returns an empty ledger that remembers keys for windowMs.
func NewLedger(windowMs clock.Millis) *Ledger {
	return &Ledger{windowMs: windowMs, entries: map[string]*entry{}, released: map[string]clock.Millis{}}
}

// Apply replays the records of one batch, with the time at which the log accepted it.
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
	if _, released := l.released[r.Owner]; released || l.entries[r.Key] != nil {
		return
	}
	l.entries[r.Key] = &entry{owner: r.Owner, digest: r.Digest, claimedMs: l.nowMs}
	l.expiries = append(l.expiries, expiry{key: r.Key, owner: r.Owner, atMs: l.nowMs + l.windowMs})
}

// release frees the key. It remembers the owner, so that a duplicate of its claim that arrives
// later has no effect.
func (l *Ledger) release(r *Record) {
	e := l.entries[r.Key]
	if e != nil && e.owner == r.Owner {
		if e.answer != nil {
			return
		}
		delete(l.entries, r.Key)
	}
	l.released[r.Owner] = l.nowMs
	l.expiries = append(l.expiries, expiry{owner: r.Owner, atMs: l.nowMs + l.windowMs})
}

func (l *Ledger) expire() {
	done := 0
	for done < len(l.expiries) && l.expiries[done].atMs <= l.nowMs {
		due := l.expiries[done]
		if e := l.entries[due.key]; e != nil && e.owner == due.owner {
			delete(l.entries, due.key)
		}
		if due.key == "" {
			delete(l.released, due.owner)
		}
		done++
	}
	if done > 0 {
		l.expiries = append([]expiry(nil), l.expiries[done:]...)
	}
}

// Verdict returns the state of a key for a claimant.
func (l *Ledger) Verdict(key, owner, digest string) Verdict {
	if _, released := l.released[owner]; released {
		return Verdict{State: Released}
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

// Len returns the number of keys in the ledger.
func (l *Ledger) Len() int { return len(l.entries) }
