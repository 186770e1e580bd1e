package gateway

import (
	"context"

	"dooryard.example/dooryard/internal/balance"
)

// pick chooses an upstream. In a fleet where each engine is owned by a box that limits the engine's load, it also
// acquires a permit from that box.
func (b *Box) pick(ctx context.Context, request balance.PickRequest) (*balance.Lease, error) {
	return b.balance.PickWithPermit(request, func(lease *balance.Lease, bound int) balance.PermitReply {
		granted, release := b.peering.mesh.AcquirePermit(ctx, lease.Key(), lease.FailureDomain, bound)
		return balance.PermitReply{Granted: granted, Release: release}
	})
}
