package gateway

import (
	"context"

	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/mesh"
)

// pick chooses an upstream. It also acquires a permit from the box that owns the upstream, for a request to a plain
// service with a latency objective and, in a large fleet, for a prompt.
func (b *Box) pick(ctx context.Context, request balance.PickRequest) (*balance.Lease, error) {
	return b.balance.PickWithPermit(request, func(lease *balance.Lease, bound int) balance.PermitReply {
		granted, release := b.peering.mesh.AcquirePermit(ctx, mesh.PermitRequest{
			Upstream: lease.Key(), FailureDomain: lease.FailureDomain, Bound: bound, WithinMs: lease.WithinMs(),
		})
		return balance.PermitReply{Granted: granted, Release: release}
	})
}
