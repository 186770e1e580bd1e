package gateway

import (
	"context"

	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/upstream"
)

// mayHaveCrashed reports whether an upstream may have crashed that has just closed a connection in order, as the
// kernel does for a process that is gone. Its host refuses new connections then. So do the hosts of all upstreams
// while this box is partitioned from them; that the response was whole is not known then either. An upstream that is
// draining may end at any time once it has sent its last response, so a refusal proves nothing about it.
func (b *Box) mayHaveCrashed(ctx context.Context, lease *balance.Lease) bool {
	return !lease.IsDraining() && lease.Client().ProbeLiveness(ctx) == upstream.Dead
}

// refusedByOthers reports whether none of some other upstreams accepts connections. A refusal by all of them shows that
// this box is partitioned from the upstreams, rather than that each of them has crashed.
func (b *Box) refusedByOthers(ctx context.Context, member *balance.Member) bool {
	others := b.balance.ProbeTargetsExcept(member)
	return len(others) > 0 && !anyAlive(ctx, others)
}

// anyAlive opens connections to some upstreams in parallel, and reports whether any of them accepted.
func anyAlive(ctx context.Context, clients []*upstream.Client) bool {
	return anyOf(clients, func(c *upstream.Client) bool { return c.ProbeLiveness(ctx) == upstream.Alive })
}
