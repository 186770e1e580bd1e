package routing

import (
	"sync"
	"sync/atomic"

	"dooryard.example/dooryard/internal/clock"
)

// settleMs is how long after the store has come back from an older copy the operators write
// again what they had written since.
const settleMs clock.Millis = 2300

// Confirmation says that nothing newer than a version existed at an instant.
type Confirmation struct {
	Version int64
	// Era is that of the store's answer. A store that comes back from an older copy knows
	// nothing of what was written since.
	Era int64
	// AtMs is on the steady clock of the box that holds the confirmation.
	AtMs clock.Millis
}

// Belief is the routing state that a box holds in force, with how fresh it is
// known to be. Its readers never block.
type Belief struct {
	steady func() clock.Millis
	held   atomic.Pointer[held]
	// confirmed is the newest confirmation that the state in force was still the newest that the
	// operators had written.
	confirmed atomic.Pointer[Confirmation]

	mu sync.Mutex
	// era is the newest era of the store that was met, and met is set once one was.
	era int64
	met bool
	// settledMs is when a store that has come back from a copy holds again what operators
	// wrote.
	settledMs clock.Millis
}

// held is a state with the newest era in which the store told of it.
type held struct {
	state *State
	era   int64
}

// NewBelief returns a Belief without a state.
func NewBelief(steady func() clock.Millis) *Belief { return &Belief{steady: steady} }

// State returns the state in force, or nil before the first.
func (b *Belief) State() *State {
	if h := b.held.Load(); h != nil {
		return h.state
	}
	return nil
}

// StateEra returns the newest era in which the store told of the state in force.
func (b *Belief) StateEra() int64 {
	if h := b.held.Load(); h != nil {
		return h.era
	}
	return 0
}

// Adopt takes a state that the store told in an era into force, unless one as new is there
// already. It returns whether anything changed. A lower version than that in force is void,
// whatever the store has come back to.
func (b *Belief) Adopt(s *State, era int64) bool {
	for {
		old := b.held.Load()
		newer := old == nil || old.state.version < s.version
		if !newer && (old.state.version > s.version || old.era >= era) {
			return false
		}
		next := &held{state: s, era: era}
		if !newer {
			next.state = old.state
		}
		if b.held.CompareAndSwap(old, next) {
			return newer
		}
	}
}

// Meet notes an era of the store, and returns the one met before if the store has come back
// from an older copy since.
func (b *Belief) Meet(era int64) (before int64, restored bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.met && era <= b.era {
		return 0, false
	}
	before, restored = b.era, b.met
	b.era, b.met = era, true
	if restored {
		b.settledMs = b.steady() + settleMs
	}
	return before, restored
}

// unsettled reports whether operators may not have written yet again at an instant what the
// store had lost in an era.
func (b *Belief) unsettled(era int64, atMs clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return era >= b.era && atMs < b.settledMs
}

// Confirm takes in a confirmation. One of a lower version than that in force counts only if it is of
// no later era: a store's copy may hold a lower one.
func (b *Belief) Confirm(p Confirmation) {
	h := b.held.Load()
	switch {
	case h == nil || h.state.version < p.Version:
		return
	case h.state.version > p.Version && h.era < p.Era:
		return
	case b.unsettled(p.Era, p.AtMs):
		return
	}
	for {
		old := b.confirmed.Load()
		if old != nil && p.AtMs <= old.AtMs || b.confirmed.CompareAndSwap(old, &p) {
			return
		}
	}
}

// Confirmed returns the newest confirmation, if there is one.
func (b *Belief) Confirmed() (p Confirmation, ok bool) {
	if newest := b.confirmed.Load(); newest != nil {
		return *newest, true
	}
	return Confirmation{}, false
}

// ConfirmedMs returns the steady instant of the newest confirmation, or 0.
func (b *Belief) ConfirmedMs() clock.Millis {
	p, _ := b.Confirmed()
	return p.AtMs
}

// AgeMs returns how long ago the state in force was confirmed to be the newest.
func (b *Belief) AgeMs() clock.Millis { return b.steady() - b.ConfirmedMs() }
