package gateway

import (
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/evacuation"
)

// onEvacuation applies the start or the end of an evacuation, logs it and notifies the other boxes.
func (b *Box) onEvacuation(event evacuation.Change) {
	b.applyingEvacuations.Lock()
	b.balance.SetEvacuations(b.evacuations.Active())
	b.applyingEvacuations.Unlock()
	b.log.Record(decision.DomainEvacuated{
		FailureDomain: event.FailureDomain, Ended: event.Ended, Position: event.Position,
	})
	b.peering.mesh.Broadcast()
}
