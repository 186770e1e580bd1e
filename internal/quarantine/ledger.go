package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

// Settings say when a content is held back. They may change.
type Settings struct {
	// Ends is under how many ended upstreams a content is held back; below 1 none is.
	Ends int
	// HoldMs is for how long after the newest end it is.
	HoldMs clock.Millis
}

// memoryMs is how long a content's ends are remembered after the newest: longer than it is
// held back, so that one more end is enough for the next hold.
func (s Settings) memoryMs() clock.Millis { return memoryHolds * s.HoldMs }

// Ending is what boxes tell each other: that an upstream ended under a content, or that
// one answered it whole.
type Ending struct {
	_       struct{} `cbor:",toarray"`
	Content Content
	// Upstream is the incarnation that ended.
	Upstream namekey.Key
	// Answered is set when an upstream answered instead.
	Answered bool
	// AgeMs is how long ago it was.
	AgeMs clock.Millis
}

// Bounds of a ledger.
const (
	// maxContents bounds the contents that are remembered, some 0.2 KB each: an upstream
	// that ends leaves as many as it ran, and a row of 45 of 112 engines left 540.
	maxContents = 4096
	// memoryHolds is how many holds long ends are remembered.
	memoryHolds = 2
	// answeredMs is how long a content that was answered can't be what upstreams end
	// under: those that end upstreams are never answered, and callers who ask the same
	// again and again, as of a status, meet every end.
	answeredMs = 60 * clock.Second
)

// Ledger holds under which contents upstreams ended. A content that was answered since is
// none of them. It is safe for concurrent use.
//
// A request that ends each upstream that begins to run it, and comes back again and again,
// is sent on each time without it (20 of 20 tries); with it 3 of 40 tries are, at three boxes
// in turn (TestFatalRequest). Each end breaks what else runs there, up to eleven streams in
// lines of six boxes.
type Ledger struct {
	steady   func() clock.Millis
	settings func() Settings

	mu       sync.Mutex
	contents map[Content]ends
	answered recent
	news     journal
}

// ends are when upstreams ended under a content, by incarnation.
type ends map[namekey.Key]clock.Millis

// New returns an empty ledger. First is the number of its first news, greater than those
// of the box's earlier processes.
func New(steady func() clock.Millis, settings func() Settings, first int64) *Ledger {
	return &Ledger{
		steady: steady, settings: settings, contents: map[Content]ends{}, answered: newRecent(),
		news: journal{next: first},
	}
}

// Settings returns the settings in force.
func (l *Ledger) Settings() Settings { return l.settings() }

// Ended takes in that an upstream ended under a content. It tells whether the content is
// held back from now on.
func (l *Ledger) Ended(content Content, upstream namekey.Key) (held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.end(content, upstream, l.steady())
}

func (l *Ledger) end(content Content, upstream namekey.Key, at clock.Millis) (held bool) {
	if l.answered.since(content, at-answeredMs) {
		return false
	}
	known := l.contents[content]
	if _, again := known[upstream]; again {
		return false
	}
	if known == nil {
		l.makeRoom()
		known = ends{}
		l.contents[content] = known
	}
	before := l.heldMs(known)
	known[upstream] = at
	l.news.add(Ending{Content: content, Upstream: upstream}, at)
	return before == 0 && l.heldMs(known) > 0
}

// Answered takes in that an upstream answered a content whole. It tells whether the
// content was held back until now.
func (l *Ledger) Answered(content Content) (released bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answer(content, l.steady())
}

func (l *Ledger) answer(content Content, at clock.Millis) (released bool) {
	l.answered.note(content, at)
	known := l.contents[content]
	if known == nil {
		return false
	}
	released = l.heldMs(known) > 0
	delete(l.contents, content)
	l.news.add(Ending{Content: content, Answered: true}, at)
	return released
}

// Learn takes in what another box told. It returns what is held back from now on.
func (l *Ledger) Learn(list []Ending) (held []Content) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, memory := l.steady(), l.settings().memoryMs()
	for _, e := range list {
		at := now - max(0, e.AgeMs)
		switch {
		case e.AgeMs >= memory:
		case e.Answered:
			l.answer(e.Content, at)
		case l.end(e.Content, e.Upstream, at):
			held = append(held, e.Content)
		}
	}
	return held
}

// HeldMs is how much longer a content is held back, or 0.
func (l *Ledger) HeldMs(content Content) clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heldMs(l.contents[content])
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

// Held is a content that is held back.
type Held struct {
	Content Content
	// Upstreams are the incarnations that ended under it.
	Upstreams []namekey.Key
	// AgeMs is how long ago the newest of them ended.
	AgeMs clock.Millis
}

// Held returns all contents that are held back, by content.
func (l *Ledger) Held() []Held {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := []Held{}
	now := l.steady()
	for content, known := range l.contents {
		if l.heldMs(known) == 0 {
			continue
		}
		list = append(list, Held{
			Content: content, Upstreams: slices.Sorted(maps.Keys(known)), AgeMs: now - known.newest(),
		})
	}
	slices.SortFunc(list, func(a, b Held) int { return cmp.Compare(a.Content, b.Content) })
	return list
}

// Expire forgets contents whose ends are long ago.
func (l *Ledger) Expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := l.steady() - l.settings().memoryMs()
	maps.DeleteFunc(l.contents, func(_ Content, known ends) bool { return known.newest() <= oldest })
}

// Sizes are counts for metrics.
type Sizes struct {
	// Contents is under how many contents upstreams ended, Held how many are held back.
	Contents int `json:"contents"`
	Held     int `json:"held"`
}

// Sizes returns counts for metrics.
func (l *Ledger) Sizes() Sizes {
	held := len(l.Held())
	l.mu.Lock()
	defer l.mu.Unlock()
	return Sizes{Contents: len(l.contents), Held: held}
}

// makeRoom keeps the ledger within its bound: those with the fewest ends go first, and
// among them the oldest.
func (l *Ledger) makeRoom() {
	if len(l.contents) < maxContents {
		return
	}
	order := slices.SortedFunc(maps.Keys(l.contents), func(a, b Content) int {
		x, y := l.contents[a], l.contents[b]
		return cmp.Or(cmp.Compare(len(x), len(y)), cmp.Compare(x.newest(), y.newest()))
	})
	// Half goes at once, so that a long row costs one sorting now and then.
	for _, content := range order[:maxContents/2] {
		delete(l.contents, content)
	}
}

func (e ends) newest() clock.Millis { return slices.Max(slices.Collect(maps.Values(e))) }
