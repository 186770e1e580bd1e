package gateway

import (
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
)

// meetEra takes in of which era the store is, by an answer of its own or by another box's word.
// A later era than was met before means that it has come back from an older copy.
func (b *Box) meetEra(era int64, source string) {
	before, restored := b.belief.Meet(era)
	if !restored {
		return
	}
	b.restored.Store(int64(b.clock.Steady()))
	b.metrics.StoreRestored()
	b.log.Tell(decision.StoreRestored{
		Before: before, Era: era, Source: source, Position: b.registry.Position(), Version: b.knowledge().Version,
	})
}

// restoredMs is when this box last met a store that had come back from an older copy, 0 for
// never.
func (b *Box) restoredMs() clock.Millis { return clock.Millis(b.restored.Load()) }
