package gateway

import (
	"context"

	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/mesh"
	"dooryard.example/dooryard/internal/occupancy"
)

// pick chooses an upstream. It also acquires a permit from the box that owns the upstream, for a request to a plain
// service with a latency objective and, except in a small fleet, for a prompt.
func (b *Box) pick(ctx context.Context, request balance.PickRequest) (*balance.Lease, error) {
	return b.balance.PickWithPermit(request, func(lease *balance.Lease, bound int) occupancy.Reply {
		return b.peering.mesh.AcquirePermit(ctx, mesh.PermitRequest{
			Upstream: lease.Key(), FailureDomain: lease.FailureDomain, Bound: bound, WithinMs: lease.WithinMs(),
		})
	})
}
