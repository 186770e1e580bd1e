package routing

import (
	"math"
	"sync"
	"sync/atomic"

	"dooryard.example/dooryard/internal/clock"
)

// resettleMs is the time after the store is restored from an older copy within which operators
// write again what they had written since the copy was made.
const resettleMs clock.Millis = 2300

// UnknownAgeMs is the age of a state that was never confirmed. It exceeds every bound.
const UnknownAgeMs clock.Millis = math.MaxInt64

// Confirmation states that nothing newer than a version existed at a point in time.
type Confirmation struct {
	Version int64
	// Era is the store's era at the time of its answer. A store restored from an older copy
	// does not know what was written since.
	Era int64
	// AtMs is a time on the monotonic clock of the box that holds the confirmation. It is negative if it is from before
	// that clock's start, as in a box that has just started and was told of it by another one.
	AtMs clock.Millis
	// Relayed is set if another box told of it, which had accepted it.
	Relayed bool
}

// StateTracker holds a box's current routing state, and the time at which it was last confirmed to
// be the newest. Readers never block.
type StateTracker struct {
	monotonic func() clock.Millis
	adopted   atomic.Pointer[adopted]
	// confirmed is the newest confirmation that the current state was the newest one written by
	// the operators.
	confirmed atomic.Pointer[Confirmation]

	mu sync.Mutex
	// newestEra is the newest era of the store seen so far. It is valid only if eraKnown is
	// set.
	newestEra int64
	eraKnown  bool
	// resettledMs is the monotonic time by which operators are expected to have written again
	// what a restored store lost. It is valid only if restored or maybeRestored is set.
	resettledMs clock.Millis
	restored    bool
	// maybeRestored is set if the store was restored before this box knew of its era: nobody tells how long before.
	maybeRestored bool
}

// adopted is a state with the newest era in which the store reported it.
type adopted struct {
	state *State
	era   int64
}

// NewStateTracker returns a StateTracker without a state.
func NewStateTracker(monotonic func() clock.Millis) *StateTracker {
	return &StateTracker{monotonic: monotonic}
}

// State returns the current state, or nil if there is none yet.
func (t *StateTracker) State() *State {
	if h := t.adopted.Load(); h != nil {
		return h.state
	}
	return nil
}

// StateEra returns the newest era in which the store reported the current state.
func (t *StateTracker) StateEra() int64 {
	if h := t.adopted.Load(); h != nil {
		return h.era
	}
	return 0
}

// Adopt makes a state reported by the store in an era the current one, unless the current one is
// at least as new. If the version is the current one, only its era is raised, which does not count
// as a replacement. It reports whether the current state was replaced. A version lower than the
// current one is ignored, even after the store was restored from an older copy.
func (t *StateTracker) Adopt(s *State, era int64) bool {
	for {
		old := t.adopted.Load()
		newer := old == nil || old.state.version < s.version
		if !newer && (old.state.version > s.version || old.era >= era) {
			return false
		}
		next := &adopted{state: s, era: era}
		if !newer {
			next.state = old.state
		}
		if t.adopted.CompareAndSwap(old, next) {
			return newer
		}
	}
}

// ObserveEra records an era of the store. If the era is newer than the newest one observed so far,
// the store has been restored from an older copy, and it returns that previous era and true. For
// the first era it returns false, although the store may have been restored just before if it ever was.
func (t *StateTracker) ObserveEra(era int64) (before int64, restored bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.eraKnown && era <= t.newestEra {
		return 0, false
	}
	before, restored = t.newestEra, t.eraKnown
	t.newestEra, t.eraKnown = era, true
	if restored || era > 0 {
		t.resettledMs, t.restored, t.maybeRestored = t.monotonic()+resettleMs, restored, !restored
	}
	return before, restored
}

// operatorsMayRewrite reports whether, at the time of a confirmation, operators may still have
// to write again what the restored store lost. A box that was told by another one relies on it for a restore before
// it knew of the era itself.
func (t *StateTracker) operatorsMayRewrite(p Confirmation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	doubted := t.restored || t.maybeRestored && !p.Relayed
	return doubted && p.Era >= t.newestEra && p.AtMs < t.resettledMs
}

// Confirm records a confirmation. A confirmation of a version lower than the current one
// counts only if its era is not newer than the current state's, because a restored store may
// hold a lower version. A confirmation of a higher version is ignored, and so is one from the
// time in which operators may still have to write again what a restored store lost, or from the future.
func (t *StateTracker) Confirm(p Confirmation) {
	h := t.adopted.Load()
	switch {
	case h == nil || h.state.version < p.Version || p.AtMs > t.monotonic():
		return
	case h.state.version > p.Version && h.era < p.Era:
		return
	case t.operatorsMayRewrite(p):
		return
	}
	for {
		old := t.confirmed.Load()
		if old != nil && p.AtMs <= old.AtMs || t.confirmed.CompareAndSwap(old, &p) {
			return
		}
	}
}

// Confirmed returns the newest confirmation, if any.
func (t *StateTracker) Confirmed() (p Confirmation, ok bool) {
	if newest := t.confirmed.Load(); newest != nil {
		return *newest, true
	}
	return Confirmation{}, false
}

// AgeMs returns the time since the current state was last confirmed to be the newest, or UnknownAgeMs if it never was.
func (t *StateTracker) AgeMs() clock.Millis {
	if p, ok := t.Confirmed(); ok {
		return t.monotonic() - p.AtMs
	}
	return UnknownAgeMs
}
