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
	"dooryard.example/dooryard/internal/evacuation"
	"dooryard.example/dooryard/internal/position"
	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/routing"
)

// errStoreUnavailable is the error of reads while the store is unavailable.
var errStoreUnavailable = errors.New("store unavailable")

// store is the source of routing state in tests. Boxes poll it.
type store struct {
	mu      sync.Mutex
	state   *routing.State
	changes []registry.Change
	// evacuated holds the evacuated failure domains.
	evacuated map[string]bool
	// revision counts the changes in the current era.
	revision     int64
	era          int64
	unavailable  map[string]bool
	unresponsive map[string]bool
	reads        map[string]int
	notes        map[string][]byte
	// readDelayMs is how long each read takes.
	readDelayMs clock.Millis
	// confirmDelayMs is how long after a state a read confirms it.
	confirmDelayMs clock.Millis
}

func newStore() *store {
	return &store{evacuated: map[string]bool{}, unavailable: map[string]bool{}, unresponsive: map[string]bool{}, reads: map[string]int{}, notes: map[string][]byte{}}
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

// setEvacuated starts or ends the evacuation of a failure domain.
func (s *store) setEvacuated(domain string, evacuated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.evacuated[domain] = evacuated
}

// remove removes an upstream's entry.
func (s *store) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.changes = slices.DeleteFunc(s.changes, func(c registry.Change) bool { return c.Upstream.ID == id })
}

// storeSnapshot is a snapshot of the store.
type storeSnapshot struct {
	state     *routing.State
	changes   []registry.Change
	evacuated map[string]bool
	revision  int64
	notes     map[string][]byte
}

// copy returns a snapshot of the current contents.
func (s *store) copy() storeSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeSnapshot{
		state: s.state, changes: slices.Clone(s.changes), evacuated: maps.Clone(s.evacuated), revision: s.revision,
		notes: maps.Clone(s.notes),
	}
}

// restore restores the store from a snapshot and starts a new era.
func (s *store) restore(c storeSnapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.state, s.revision, s.notes, s.evacuated = c.state, c.revision, maps.Clone(c.notes), maps.Clone(c.evacuated)
	s.changes = slices.Clone(c.changes)
	for i := range s.changes {
		s.changes[i].Position.Era = s.era
	}
}

// setUnavailable makes the store fail the reads and writes of a box.
func (s *store) setUnavailable(box string, unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable[box] = unavailable
}

// setReadDelay delays each read.
func (s *store) setReadDelay(span clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readDelayMs = span
}

// setConfirmDelay delays the confirmation of each state that is read.
func (s *store) setConfirmDelay(span clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmDelayMs = span
}

// setUnresponsive makes the store leave the reads of a box without a response.
func (s *store) setUnresponsive(box string, unresponsive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive[box] = unresponsive
}

// readCount returns the number of reads by some boxes so far.
func (s *store) readCount(boxes []*running) int {
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
	// sourceCheckIntervalMs is how often a box checks whether it should read.
	sourceCheckIntervalMs clock.Millis = 100
	// unresponsiveReadMs is how long a read without a response lasts.
	unresponsiveReadMs clock.Millis = 2200
)

func (s *store) source(box string, c clock.Clock) Source {
	return Source{Name: "store", Notes: s.notesFor(box), Run: func(ctx context.Context, sink Sink) {
		nextMs := c.Monotonic()
		check := func(clock.Millis) {
			if c.Monotonic() >= nextMs && sink.ShouldRead("all") {
				s.poll(ctx, box, c, sink)
				nextMs = c.Monotonic() + pollMs
			}
		}
		check(nextMs)
		c.Every(ctx, sourceCheckIntervalMs, check)
	}}
}

// notesFor returns the functions with which a box accesses the notes in the store.
func (s *store) notesFor(box string) Notes {
	return Notes{
		Put: func(_ context.Context, name string, note []byte) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.unavailable[box] || s.unresponsive[box] {
				return errStoreUnavailable
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
		List: func(ctx context.Context) (map[string][]byte, int64, error) {
			s.mu.Lock()
			readDelayMs := s.readDelayMs
			s.mu.Unlock()
			if err := clock.New().Sleep(ctx, readDelayMs); err != nil {
				return nil, 0, err
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.unavailable[box] || s.unresponsive[box] {
				return nil, 0, errStoreUnavailable
			}
			return maps.Clone(s.notes), s.era, nil
		},
	}
}

func (s *store) poll(ctx context.Context, box string, c clock.Clock, sink Sink) {
	s.mu.Lock()
	state, changes, unavailable := s.state, append([]registry.Change(nil), s.changes...), s.unavailable[box]
	at := position.At(s.era, s.revision)
	evacuations := evacuation.Update{Position: at}
	for domain, evacuated := range s.evacuated {
		if evacuated {
			evacuations.Evacuations = append(evacuations.Evacuations, evacuation.Evacuation{FailureDomain: domain, AgeMs: -1})
		}
	}
	unresponsive, readDelayMs, confirmDelayMs := s.unresponsive[box], s.readDelayMs, s.confirmDelayMs
	s.reads[box]++
	s.mu.Unlock()
	sentMs := c.Monotonic()
	if readDelayMs > 0 {
		// The next poll handles the end of the context.
		_ = c.Sleep(ctx, readDelayMs)
	}
	if unresponsive {
		// The next poll handles the end of the context.
		_ = c.Sleep(ctx, unresponsiveReadMs)
		unavailable = true
	}
	if unavailable {
		sink.ReportRead("all", errStoreUnavailable)
		return
	}
	sink.ReportRead("all", nil)
	for i := range changes {
		changes[i].Copied = true
	}
	sink.ObserveEra(at.Era)
	sink.AllEvacuations(evacuations)
	sink.AllUpstreams(changes, at, sentMs)
	if state != nil {
		sink.Adopt(state, at.Era)
		// The next poll handles the end of the context.
		_ = c.Sleep(ctx, confirmDelayMs)
		sink.Confirm(sentMs, at.Era)
	}
}

// idAt returns the ID of the entry that was put last for an address.
func (s *store) idAt(address string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range slices.Backward(s.changes) {
		if c.Upstream.Address == address {
			return c.Upstream.ID
		}
	}
	return ""
}

// entry returns an upstream's newest entry.
func (s *store) entry(id string) registry.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range slices.Backward(s.changes) {
		if c.Upstream.ID == id && !c.Removed {
			return c.Upstream
		}
	}
	return registry.Upstream{}
}
