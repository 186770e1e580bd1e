package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/position"
	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/routing"
)

// errStoreAway is what reads of a store that was cut off get.
var errStoreAway = errors.New("store away")

// store is the tests' source of routing state. Boxes poll it.
type store struct {
	mu      sync.Mutex
	state   *routing.State
	changes []registry.Change
	// revision counts the changes so far, in an era.
	revision int64
	era      int64
	away     map[string]bool
	silent   map[string]bool
	reads    map[string]int
	notes    map[string][]byte
	// slowMs is how long each read takes.
	slowMs clock.Millis
}

func newStore() *store {
	return &store{away: map[string]bool{}, silent: map[string]bool{}, reads: map[string]int{}, notes: map[string][]byte{}}
}

func (s *store) setState(t *testing.T, c routing.Content) {
	t.Helper()
	state, err := routing.New(c)
	require.NoError(t, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

func (s *store) put(u registry.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.changes = append(s.changes, registry.Change{Upstream: u, Position: position.At(s.era, s.revision)})
}

// remove takes an upstream's entry away.
func (s *store) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.changes = slices.DeleteFunc(s.changes, func(c registry.Change) bool { return c.Upstream.ID == id })
}

// copied is what a store comes back with.
type copied struct {
	state    *routing.State
	changes  []registry.Change
	revision int64
	notes    map[string][]byte
}

// copy keeps what the store holds now.
func (s *store) copy() copied {
	s.mu.Lock()
	defer s.mu.Unlock()
	return copied{state: s.state, changes: slices.Clone(s.changes), revision: s.revision, notes: maps.Clone(s.notes)}
}

// restore lets the store come back from a copy. Its positions are of a new era then.
func (s *store) restore(c copied) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.state, s.revision, s.notes = c.state, c.revision, maps.Clone(c.notes)
	s.changes = slices.Clone(c.changes)
	for i := range s.changes {
		s.changes[i].Position.Era = s.era
	}
}

// setAway cuts the store off from a box.
func (s *store) setAway(box string, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away[box] = away
}

// setSlow has each read take a while.
func (s *store) setSlow(span clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowMs = span
}

// setSilent has the store leave a box's reads without an answer.
func (s *store) setSilent(box string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[box] = silent
}

// readsOf is how often some boxes have read so far.
func (s *store) readsOf(boxes []*running) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0
	for _, b := range boxes {
		sum += s.reads[b.settings.Box]
	}
	return sum
}

const (
	pollMs clock.Millis = 500
	// lookMs is how often a box looks whether it should read.
	lookMs clock.Millis = 100
	// silenceMs is how long a read without an answer lasts.
	silenceMs clock.Millis = 2200
)

func (s *store) source(box string, c clock.Clock) Source {
	return Source{Name: "store", Notes: s.notesOf(box), Run: func(ctx context.Context, sink Sink) {
		nextMs := c.Steady()
		look := func(clock.Millis) {
			if c.Steady() >= nextMs && sink.Wanted("all") {
				s.poll(ctx, box, c, sink)
				nextMs = c.Steady() + pollMs
			}
		}
		look(nextMs)
		c.Every(ctx, lookMs, look)
	}}
}

// notesOf are the notes as a box sees them.
func (s *store) notesOf(box string) Notes {
	return Notes{
		Keep: func(_ context.Context, name string, note []byte) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.away[box] || s.silent[box] {
				return errStoreAway
			}
			s.notes[name] = note
			if len(note) == 0 {
				delete(s.notes, name)
			}
			return nil
		},
		Era: func() int64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.era
		},
		All: func(context.Context) (map[string][]byte, int64, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.away[box] || s.silent[box] {
				return nil, 0, errStoreAway
			}
			return maps.Clone(s.notes), s.era, nil
		},
	}
}

func (s *store) poll(ctx context.Context, box string, c clock.Clock, sink Sink) {
	s.mu.Lock()
	state, changes, away := s.state, append([]registry.Change(nil), s.changes...), s.away[box]
	at := position.At(s.era, s.revision)
	silent, slowMs := s.silent[box], s.slowMs
	s.reads[box]++
	s.mu.Unlock()
	sentMs := c.Steady()
	if slowMs > 0 {
		// The end of the context shows at the next poll.
		_ = c.Sleep(ctx, slowMs)
	}
	if silent {
		// The end of the context shows at the next poll.
		_ = c.Sleep(ctx, silenceMs)
		away = true
	}
	if away {
		sink.Reached("all", errStoreAway)
		return
	}
	sink.Reached("all", nil)
	for i := range changes {
		changes[i].Copied = true
	}
	sink.Met(at.Era)
	sink.AllUpstreams(changes, at)
	if state != nil {
		sink.Adopt(state, at.Era)
		sink.Confirm(sentMs, at.Era)
	}
}

// entry returns an upstream's newest entry.
func (s *store) entry(id string) registry.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range slices.Backward(s.changes) {
		if c.Upstream.ID == id && !c.Gone {
			return c.Upstream
		}
	}
	return registry.Upstream{}
}
