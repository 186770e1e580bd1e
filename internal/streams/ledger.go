package streams

import (
	"sync"

	"dooryard.example/dooryard/internal/clock"
)

// WindowMs is how long a stream can be taken up after its last record. A caller that lost its connection returns
// within seconds. The origin of older streams may be unknown.
const WindowMs = 30 * clock.Second

// doubtMs is how long before a box learns that an upstream has restarted its entry may have been outdated: a
// heartbeat of the upstream and the way through the store.
const doubtMs = 5 * clock.Second

// maxRecords limits the streams of one generation, at some 60 bytes each.
const maxRecords = 32 << 10

// Ledger keeps the origins of streams for WindowMs to twice as long: records move from one generation to the next.
// It is safe for concurrent use.
type Ledger struct {
	monotonic func() clock.Millis

	mu         sync.Mutex
	generation generation
	previous   generation
	sinceMs    clock.Millis
}

// generation holds the records of one window. An origin that was retracted is Unknown.
type generation struct {
	origins map[ID]OriginKey
	// own holds the streams that this box has begun.
	own map[ID]ownStream
}

// ownStream is a stream that this box has begun.
type ownStream struct {
	origin Origin
	// upstream is the ID of the upstream that sent the first event, at beganMs.
	upstream string
	beganMs  clock.Millis
	// told is set once other boxes were told the origin.
	told bool
}

func newGeneration() generation {
	return generation{origins: map[ID]OriginKey{}, own: map[ID]ownStream{}}
}

// NewLedger returns an empty ledger.
func NewLedger(monotonic func() clock.Millis) *Ledger {
	return &Ledger{
		monotonic: monotonic, generation: newGeneration(), previous: newGeneration(), sinceMs: monotonic(),
	}
}

// Add records the origins of streams that other boxes have told.
func (l *Ledger) Add(records ...Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotateLocked()
	for _, r := range records {
		l.generation.origins[r.ID] = r.Origin
	}
}

// AddOwn records a stream that this box has begun at an upstream, or continued, and whether it tells other boxes the
// origin. It returns false if the origin was retracted.
func (l *Ledger) AddOwn(id ID, origin Origin, upstream string, told bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotateLocked()
	key, known := l.originLocked(id)
	if known && key == Unknown {
		return false
	}
	own, began := l.ownLocked(id)
	if !began {
		own = ownStream{origin: origin, upstream: upstream, beganMs: l.monotonic()}
	}
	own.told = own.told || told
	l.generation.origins[id], l.generation.own[id] = origin.Key(), own
	delete(l.previous.own, id)
	return true
}

// Retract makes the origins of streams unknown that began at an upstream shortly before this box learned that the
// upstream runs another version. It returns the records to tell other boxes.
func (l *Ledger) Retract(upstream string) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotateLocked()
	records := []Record{}
	for _, g := range []generation{l.previous, l.generation} {
		for id, own := range g.own {
			if own.upstream == upstream && l.monotonic()-own.beganMs < doubtMs {
				records = append(records, Record{ID: id, Origin: Unknown})
				l.generation.origins[id] = Unknown
				delete(g.own, id)
			}
		}
	}
	return records
}

// Retracted reports whether the origin of a stream was retracted.
func (l *Ledger) Retracted(id ID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	key, known := l.originLocked(id)
	return known && key == Unknown
}

// TakeUntold returns the records of a pool's streams that this box has told no other box, and forgets that it has not.
func (l *Ledger) TakeUntold(pool string) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotateLocked()
	records := []Record{}
	for _, g := range []generation{l.previous, l.generation} {
		for id, own := range g.own {
			if own.origin.Pool == pool && !own.told {
				records = append(records, Record{ID: id, Origin: own.origin.Key()})
				own.told = true
				g.own[id] = own
			}
		}
	}
	return records
}

// Origin returns the origin of a stream, or Unknown.
func (l *Ledger) Origin(id ID) OriginKey {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotateLocked()
	origin, _ := l.originLocked(id)
	return origin
}

func (l *Ledger) originLocked(id ID) (OriginKey, bool) {
	if origin, known := l.generation.origins[id]; known {
		return origin, true
	}
	origin, known := l.previous.origins[id]
	return origin, known
}

func (l *Ledger) ownLocked(id ID) (ownStream, bool) {
	if own, known := l.generation.own[id]; known {
		return own, true
	}
	own, known := l.previous.own[id]
	return own, known
}

// Size returns the number of streams whose origins are kept.
func (l *Ledger) Size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.generation.origins) + len(l.previous.origins)
}

// rotateLocked starts a new generation once the current one has lasted for the window or is full.
func (l *Ledger) rotateLocked() {
	now := l.monotonic()
	if now-l.sinceMs < WindowMs && len(l.generation.origins) < maxRecords {
		return
	}
	l.previous, l.generation = l.generation, newGeneration()
	if now-l.sinceMs >= 2*WindowMs {
		l.previous = newGeneration()
	}
	l.sinceMs = now
}
