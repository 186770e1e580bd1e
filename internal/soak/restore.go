package soak

import (
	"context"
	"time"

	"dooryard.example/dooryard/platform/standin"
)

// Bounds of a copy from which the store comes back.
const (
	// maxCopyAgeMs is how old it is at most.
	maxCopyAgeMs = 7000
	// writtenAgainMs is within which time all is written again.
	writtenAgainMs = 1500
)

// restoreStore has the store go away and come back from a copy. Servers and operators write theirs
// again a little later each.
func restoreStore(f *fleet) (func(*fleet) error, error) {
	undisturb := f.disturb(everywhere)
	f.store.SetFault(standin.StoreReset)
	return func(f *fleet) error {
		f.store.Restore(time.Duration(f.draw(maxCopyAgeMs)) * time.Millisecond)
		f.store.SetFault(standin.StoreWell)
		f.later(func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.store.PutConfig(f.config)
		})
		for _, s := range f.servers {
			f.later(func() {
				f.entries.Lock()
				defer f.entries.Unlock()
				f.announceAgain(s)
			})
		}
		f.ends.Go(func() {
			time.Sleep(writtenAgainMs * time.Millisecond)
			undisturb()
		})
		return nil
	}, nil
}

// later does something within the time in which all is written again.
func (f *fleet) later(do func()) {
	wait := time.Duration(f.draw(writtenAgainMs)) * time.Millisecond
	f.ends.Go(func() {
		time.Sleep(wait)
		do()
	})
}

// announceAgain lets a server that lives, and whose entry no other writer holds, write its entry.
func (f *fleet) announceAgain(s *server) {
	s.mu.Lock()
	down, leaving, replaced := s.down, s.leaving, s.replaced
	s.mu.Unlock()
	if !down && !replaced {
		f.announce(s, leaving)
	}
}

// heartbeatMs is how often servers write their entries, so that a copy lacks many of them.
const heartbeatMs = 400

// heartbeats lets servers write their entries while the store takes them.
func (f *fleet) heartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatMs * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if f.store.Fault() != standin.StoreWell {
			continue
		}
		for _, s := range f.servers {
			f.entries.Lock()
			f.announceAgain(s)
			f.entries.Unlock()
		}
	}
}

func (s *server) setLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

func (s *server) setReplaced(replaced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaced = replaced
}
