package gateway

import (
	"context"

	"dooryard.example/dooryard/internal/balance"
)

// pick chooses an upstream. In a fleet where each engine is owned by a box that limits its load, it also reserves a
// slot there.
func (b *Box) pick(ctx context.Context, a balance.Ask) (*balance.Lease, error) {
	return b.balance.PickPlace(a, func(lease *balance.Lease, bound int) balance.Place {
		granted, release := b.peering.mesh.TakePlace(ctx, lease.Key(), lease.FailureDomain, bound)
		return balance.Place{Granted: granted, Release: release}
	})
}
