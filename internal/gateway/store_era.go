package gateway

import (
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
)

// observeEra processes the era of the store, as read from the store or reported by another box. A later era than the
// last one means that the store was restored from an older snapshot.
func (b *Box) observeEra(era int64, source string) {
	before, restored := b.routingState.ObserveEra(era)
	if !restored {
		return
	}
	b.storeRestoredMs.Store(int64(b.clock.Monotonic()))
	b.metrics.StoreRestored()
	b.log.Record(decision.StoreRestored{
		Before: before, Era: era, Source: source, Position: b.registry.Position(), Version: b.stateSummary().Version,
	})
}

// restoredMs returns when this box last found the store restored from an older snapshot, or 0 if never.
func (b *Box) restoredMs() clock.Millis { return clock.Millis(b.storeRestoredMs.Load()) }
