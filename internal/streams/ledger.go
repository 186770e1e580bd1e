package streams

import (
	"sync"

	"dooryard.example/dooryard/internal/clock"
)

// WindowMs is how long a stream can be taken up after its last record. A caller that lost its connection returns
// within seconds. The origin of older streams may be unknown.
const WindowMs = 30 * clock.Second

// maxRecords limits the streams of one generation, at some 40 bytes each.
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

// generation holds the records of one window.
type generation struct {
	origins map[ID]OriginKey
	// untold holds the streams of this box whose origin it has told no other box.
	untold map[ID]Origin
}

func newGeneration() generation {
	return generation{origins: map[ID]OriginKey{}, untold: map[ID]Origin{}}
}

// NewLedger returns an empty ledger.
func NewLedger(monotonic func() clock.Millis) *Ledger {
	return &Ledger{
		monotonic: monotonic, generation: newGeneration(), previous: newGeneration(), sinceMs: monotonic(),
	}
}

// Add records the origins of streams that other boxes have told, or that this box has told them.
func (l *Ledger) Add(records ...Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotateLocked()
	for _, r := range records {
		l.generation.origins[r.ID] = r.Origin
	}
}

// AddUntold records the origin of a stream of this box that it has told no other box.
func (l *Ledger) AddUntold(id ID, origin Origin) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotateLocked()
	l.generation.origins[id] = origin.Key()
	l.generation.untold[id] = origin
}

// TakeUntold returns the records of a pool's streams that this box has told no other box, and forgets that it has not.
func (l *Ledger) TakeUntold(pool string) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotateLocked()
	records := []Record{}
	for _, g := range []generation{l.previous, l.generation} {
		for id, origin := range g.untold {
			if origin.Pool == pool {
				records = append(records, Record{ID: id, Origin: origin.Key()})
				delete(g.untold, id)
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
	if origin, known := l.generation.origins[id]; known {
		return origin
	}
	return l.previous.origins[id]
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
