package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

// Settings say when a fingerprint is held back. They may change.
type Settings struct {
	// Ends is under how many ended upstreams a fingerprint is held back; below 1 none is.
	Ends int
	// HoldMs is for how long after the newest end it is.
	HoldMs clock.Millis
}

// memoryMs is how long a fingerprint's ends are remembered after the newest: longer than it is
// held back, so that one more end is enough for the next hold.
func (s Settings) memoryMs() clock.Millis { return memoryHolds * s.HoldMs }

// Ending is what boxes tell each other: that an upstream ended under a fingerprint, or that
// one answered it whole.
type Ending struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	// Upstream is the incarnation that ended.
	Upstream namekey.Key
	// Answered is set when an upstream answered instead.
	Answered bool
	// AgeMs is how long ago it was.
	AgeMs clock.Millis
}

// Bounds of a ledger.
const (
	// maxFingerprints bounds the fingerprints that are remembered, some 0.2 KB each: an upstream
	// that ends leaves as many as it ran, and a row of 45 of 112 engines left 540.
	maxFingerprints = 4096
	// memoryHolds is how many holds long ends are remembered.
	memoryHolds = 2
	// answeredMs is how long a fingerprint that was answered can't be what upstreams end
	// under: those that end upstreams are never answered, and callers who ask the same
	// again and again, as of a status, meet every end.
	answeredMs = 60 * clock.Second
)

// Ledger holds under which fingerprints upstreams ended. A fingerprint that was answered since is
// none of them. It is safe for concurrent use.
//
// A request that ends each upstream that begins to run it, and comes back again and again,
// is sent on each time without it (20 of 20 tries); with it 3 of 40 tries are, at three boxes
// in turn (TestFatalRequest). Each end breaks what else runs there, up to eleven streams in
// lines of six boxes.
type Ledger struct {
	steady   func() clock.Millis
	settings func() Settings

	mu           sync.Mutex
	fingerprints map[Fingerprint]ends
	answered     recent
	news         journal
}

// end is one upstream's end under a fingerprint.
type end struct {
	atMs clock.Millis
	// told is set once it is among this box's news.
	told bool
}

// ends are the ends under a fingerprint, by the upstream's incarnation.
type ends map[namekey.Key]end

// New returns an empty ledger. First is the number of its first news, greater than those
// of the box's earlier processes.
func New(steady func() clock.Millis, settings func() Settings, first int64) *Ledger {
	return &Ledger{
		steady: steady, settings: settings, fingerprints: map[Fingerprint]ends{}, answered: newRecent(),
		news: journal{next: first},
	}
}

// Settings returns the settings in force.
func (l *Ledger) Settings() Settings { return l.settings() }

// Ended takes in that an upstream ended under a fingerprint. It reports whether the fingerprint
// is held back from now on.
func (l *Ledger) Ended(fingerprint Fingerprint, upstream namekey.Key) (held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.end(fingerprint, upstream, l.steady(), true)
}

// end takes in an end; tell has it be among this box's news at once.
func (l *Ledger) end(fingerprint Fingerprint, upstream namekey.Key, at clock.Millis, tell bool) (held bool) {
	if l.answered.since(fingerprint, at-answeredMs) {
		return false
	}
	known := l.fingerprints[fingerprint]
	if _, again := known[upstream]; again {
		return false
	}
	if known == nil {
		l.makeRoom()
		known = ends{}
		l.fingerprints[fingerprint] = known
	}
	before := l.heldMs(known)
	known[upstream] = end{atMs: at}
	if tell || len(known) >= tellEnds {
		l.tell(fingerprint, known)
	}
	return before == 0 && l.heldMs(known) > 0
}

// tellEnds is from how many ends on a box passes on what others told it. Up to then the boxes
// that saw an end tell all others by themselves: passing each on, 64 boxes sent 1,735 bytes each
// for an end, and 84 so (TestEndingBytes).
const tellEnds = 2

// tell makes ends news that are not yet.
func (l *Ledger) tell(fingerprint Fingerprint, known ends) {
	for _, upstream := range slices.Sorted(maps.Keys(known)) {
		e := known[upstream]
		if e.told {
			continue
		}
		l.news.add(Ending{Fingerprint: fingerprint, Upstream: upstream}, e.atMs)
		known[upstream] = end{atMs: e.atMs, told: true}
	}
}

// Answered takes in that an upstream answered a fingerprint whole. It reports whether the
// fingerprint was held back until now.
func (l *Ledger) Answered(fingerprint Fingerprint) (released bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answer(fingerprint, l.steady())
}

// answer voids the ends before an answer.
func (l *Ledger) answer(fingerprint Fingerprint, at clock.Millis) (released bool) {
	l.answered.note(fingerprint, at)
	known := l.fingerprints[fingerprint]
	before := l.heldMs(known)
	count := len(known)
	maps.DeleteFunc(known, func(_ namekey.Key, e end) bool { return e.atMs <= at })
	if len(known) == count {
		return false
	}
	if len(known) == 0 {
		delete(l.fingerprints, fingerprint)
	}
	l.news.add(Ending{Fingerprint: fingerprint, Answered: true}, at)
	return before > 0 && l.heldMs(known) == 0
}

// Learn takes in what another box told. PassOn has it told to others in any case, as in a fleet
// so large that no box tells all others. It returns what is held back from now on.
func (l *Ledger) Learn(list []Ending, passOn bool) (held []Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, memory := l.steady(), l.settings().memoryMs()
	for _, e := range list {
		at := now - max(0, e.AgeMs)
		switch {
		case e.AgeMs >= memory:
		case e.Answered:
			l.answer(e.Fingerprint, at)
		case l.end(e.Fingerprint, e.Upstream, at, passOn):
			held = append(held, e.Fingerprint)
		}
	}
	return held
}

// HeldMs is how much longer a fingerprint is held back, or 0.
func (l *Ledger) HeldMs(fingerprint Fingerprint) clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heldMs(l.fingerprints[fingerprint])
}

func (l *Ledger) heldMs(known ends) clock.Millis {
	s := l.settings()
	if s.Ends < 1 || len(known) < s.Ends {
		return 0
	}
	return max(0, known.newest()+s.HoldMs-l.steady())
}

// Since returns news from a number on, at most so much, and the number to go on from.
func (l *Ledger) Since(from int64, most int) ([]Ending, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.news.since(from, most, l.steady())
}

// Suspect is a fingerprint under which upstreams ended.
type Suspect struct {
	Fingerprint Fingerprint
	// Upstreams are the incarnations that ended under it.
	Upstreams []namekey.Key
	// AgeMs is how long ago the newest of them ended.
	AgeMs clock.Millis
}

// Held returns all fingerprints that are held back, in order.
func (l *Ledger) Held() []Suspect {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suspects(func(known ends) bool { return l.heldMs(known) > 0 })
}

// Suspects returns all fingerprints under which so many upstreams ended at least, in order.
func (l *Ledger) Suspects(least int) []Suspect {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suspects(func(known ends) bool { return len(known) >= least })
}

func (l *Ledger) suspects(wanted func(known ends) bool) []Suspect {
	list := []Suspect{}
	now := l.steady()
	for fingerprint, known := range l.fingerprints {
		if wanted(known) {
			list = append(list, Suspect{
				Fingerprint: fingerprint, Upstreams: slices.Sorted(maps.Keys(known)), AgeMs: now - known.newest(),
			})
		}
	}
	slices.SortFunc(list, func(a, b Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}

// Expire forgets fingerprints whose ends are long ago.
func (l *Ledger) Expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := l.steady() - l.settings().memoryMs()
	maps.DeleteFunc(l.fingerprints, func(_ Fingerprint, known ends) bool { return known.newest() <= oldest })
}

// Sizes are counts for metrics.
type Sizes struct {
	// Fingerprints is under how many fingerprints upstreams ended, Held how many are held back.
	Fingerprints int `json:"fingerprints"`
	Held         int `json:"held"`
}

// Sizes returns counts for metrics.
func (l *Ledger) Sizes() Sizes {
	held := len(l.Held())
	l.mu.Lock()
	defer l.mu.Unlock()
	return Sizes{Fingerprints: len(l.fingerprints), Held: held}
}

// makeRoom keeps the ledger within its bound: those with the fewest ends go first, and
// among them the oldest.
func (l *Ledger) makeRoom() {
	if len(l.fingerprints) < maxFingerprints {
		return
	}
	order := slices.SortedFunc(maps.Keys(l.fingerprints), func(a, b Fingerprint) int {
		x, y := l.fingerprints[a], l.fingerprints[b]
		return cmp.Or(cmp.Compare(len(x), len(y)), cmp.Compare(x.newest(), y.newest()))
	})
	// Half goes at once, so that a long row costs one sorting now and then.
	for _, fingerprint := range order[:maxFingerprints/2] {
		delete(l.fingerprints, fingerprint)
	}
}

func (e ends) newest() clock.Millis {
	newest := clock.Millis(0)
	for _, one := range e {
		newest = max(newest, one.atMs)
	}
	return newest
}
