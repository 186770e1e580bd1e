package soak

import (
	"context"
	"time"

	"dooryard.example/dooryard/platform/standin"
)

// Bounds of a restore of the store from a backup.
const (
	// maxBackupAgeMs is the maximum age of the backup.
	maxBackupAgeMs = 7000
	// rewriteSpanMs is the time within which servers and operators rewrite their data after the
	// restore.
	rewriteSpanMs = 1500
)

// restoreStore makes the store unavailable and restores it from a backup. Servers and operators
// rewrite their data after the restore, each after a random delay.
func restoreStore(f *fleet) (func(*fleet) error, error) {
	endDisturbance := f.disturb(allBoxes)
	f.store.SetFault(standin.StoreReset)
	return func(f *fleet) error {
		f.store.Restore(time.Duration(f.draw(maxBackupAgeMs)) * time.Millisecond)
		f.store.SetFault(standin.StoreHealthy)
		f.runLater(func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.store.PutConfig(f.config)
		})
		f.runLater(f.rewriteEvacuations)
		for _, s := range f.servers {
			f.runLater(func() {
				f.entriesMu.Lock()
				defer f.entriesMu.Unlock()
				f.refreshEntry(s)
			})
		}
		f.background.Go(func() {
			time.Sleep(rewriteSpanMs * time.Millisecond)
			endDisturbance()
		})
		return nil
	}, nil
}

// runLater runs fn in the background after a random delay within rewriteSpanMs.
func (f *fleet) runLater(fn func()) {
	wait := time.Duration(f.draw(rewriteSpanMs)) * time.Millisecond
	f.background.Go(func() {
		time.Sleep(wait)
		fn()
	})
}

// refreshEntry rewrites a server's entry unless the server is down or another writer's entry
// replaces it.
func (f *fleet) refreshEntry(s *server) {
	s.mu.Lock()
	down, draining, replaced := s.down, s.draining, s.replaced
	s.mu.Unlock()
	if !down && !replaced {
		f.writeEntry(s, draining)
	}
}

// heartbeatMs is the interval at which servers rewrite their entries, so that a backup lacks many
// recent writes.
const heartbeatMs = 400

// writeHeartbeats rewrites the entries of all servers periodically while the store has no fault.
func (f *fleet) writeHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatMs * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if f.store.Fault() != standin.StoreHealthy {
			continue
		}
		for _, s := range f.servers {
			f.entriesMu.Lock()
			f.refreshEntry(s)
			f.entriesMu.Unlock()
		}
	}
}

func (s *server) setDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
}

func (s *server) setReplaced(replaced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaced = replaced
}
