package routing

import (
	"sync"
	"sync/atomic"

	"dooryard.example/dooryard/internal/clock"
)

// resettleMs is the time after the store is restored from an older copy within which operators
// write again what they had written since the copy was made.
const resettleMs clock.Millis = 2300

// Confirmation states that nothing newer than a version existed at a point in time.
type Confirmation struct {
	Version int64
	// Era is the store's era at the time of its answer. A store restored from an older copy
	// does not know what was written since.
	Era int64
	// AtMs is a time on the monotonic clock of the box that holds the confirmation.
	AtMs clock.Millis
}

// StateTracker holds a box's current routing state, and the time at which it was last confirmed to
// be the newest. Readers never block.
type StateTracker struct {
	monotonic  func() clock.Millis
	adopted atomic.Pointer[adopted]
	// confirmed is the newest confirmation that the current state was the newest one written by
	// the operators.
	confirmed atomic.Pointer[Confirmation]

	mu sync.Mutex
	// newestEra is the newest era of the store seen so far. It is valid only if eraKnown is
	// set.
	newestEra int64
	eraKnown  bool
	// resettledMs is when a restored store holds again what operators wrote.
	resettledMs clock.Millis
}

// adopted is a state with the newest era in which the store reported it.
type adopted struct {
	state *State
	era   int64
}

// NewStateTracker returns a Belief without a state.
func NewStateTracker(monotonic func() clock.Millis) *StateTracker { return &StateTracker{monotonic: monotonic} }

// State returns the current state, or nil if there is none yet.
func (b *StateTracker) State() *State {
	if h := b.adopted.Load(); h != nil {
		return h.state
	}
	return nil
}

// StateEra returns the newest era in which the store reported the current state.
func (b *StateTracker) StateEra() int64 {
	if h := b.adopted.Load(); h != nil {
		return h.era
	}
	return 0
}

// Adopt makes a state reported by the store in an era the current one, unless the current one
// is at least as new. It reports whether the current state was replaced. A version lower than
// the current one is ignored, even after the store was restored from an older copy.
func (b *StateTracker) Adopt(s *State, era int64) bool {
	for {
		old := b.adopted.Load()
		newer := old == nil || old.state.version < s.version
		if !newer && (old.state.version > s.version || old.era >= era) {
			return false
		}
		next := &adopted{state: s, era: era}
		if !newer {
			next.state = old.state
		}
		if b.adopted.CompareAndSwap(old, next) {
			return newer
		}
	}
}

// ObserveEra records an era of the store. If the store has been restored from an older copy since
// the last call, it returns the previous era and true.
func (b *StateTracker) ObserveEra(era int64) (before int64, restored bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.eraKnown && era <= b.newestEra {
		return 0, false
	}
	before, restored = b.newestEra, b.eraKnown
	b.newestEra, b.eraKnown = era, true
	if restored {
		b.resettledMs = b.monotonic() + resettleMs
	}
	return before, restored
}

// operatorsMayRewrite reports whether, at a point in time in an era, operators may still have
// to write again what the restored store lost.
func (b *StateTracker) operatorsMayRewrite(era int64, atMs clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return era >= b.newestEra && atMs < b.resettledMs
}

// Confirm records a confirmation. A confirmation of a version lower than the current one
// counts only if its era is not newer than the current state's, because a restored store may
// hold a lower version.
func (b *StateTracker) Confirm(p Confirmation) {
	h := b.adopted.Load()
	switch {
	case h == nil || h.state.version < p.Version:
		return
	case h.state.version > p.Version && h.era < p.Era:
		return
	case b.operatorsMayRewrite(p.Era, p.AtMs):
		return
	}
	for {
		old := b.confirmed.Load()
		if old != nil && p.AtMs <= old.AtMs || b.confirmed.CompareAndSwap(old, &p) {
			return
		}
	}
}

// Confirmed returns the newest confirmation, if any.
func (b *StateTracker) Confirmed() (p Confirmation, ok bool) {
	if newest := b.confirmed.Load(); newest != nil {
		return *newest, true
	}
	return Confirmation{}, false
}

// ConfirmedMs returns the monotonic time of the newest confirmation, or 0 if there is none.
func (b *StateTracker) ConfirmedMs() clock.Millis {
	p, _ := b.Confirmed()
	return p.AtMs
}

// AgeMs returns the time since the current state was last confirmed to be the newest.
func (b *StateTracker) AgeMs() clock.Millis { return b.monotonic() - b.ConfirmedMs() }
