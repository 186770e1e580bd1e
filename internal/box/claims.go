package box

import (
	"context"

	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/claim"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/route"
)

// forwardTimeoutMs is how long a box waits for the reply of a shard's coordinator before it
// handles the record itself. The coordinator replies to a claim with its verdict, and to a
// settle or release record as soon as it has queued it, because these need no verdict.
const forwardTimeoutMs = 1500 * clock.Millis(1)

// shardCoordinator returns the box that batches a shard's appends: the highest-ranked one
// among the live boxes of this failure domain and the known boxes of others. Boxes with
// different views pick different coordinators, which costs additional appends but does not
// affect correctness.
func (b *Box) shardCoordinator(shard int) (address string, remote bool) {
	type candidate struct{ name, address string }
	candidates := []candidate{}
	for _, name := range b.gossip.Live() {
		candidates = append(candidates, candidate{name: name, address: b.peerAddress(name)})
	}
	for _, listed := range b.remoteBoxes() {
		candidates = append(candidates, candidate{name: listed.Name, address: listed.PeerAddress})
	}
	hashes := make([]uint64, len(candidates))
	for i, c := range candidates {
		hashes[i] = route.HashName(c.name)
	}
	if len(candidates) == 0 {
		return "", false
	}
	first := candidates[route.First(route.NewKey("", claim.StreamName(shard)), hashes)]
	return first.address, first.name != b.settings.Box && first.address != ""
}

// forwardClaim sends a record to its shard's coordinator.
func (b *Box) forwardClaim(ctx context.Context, shard int, record claim.Record) (claim.Verdict, bool) {
	address, remote := b.shardCoordinator(shard)
	if !remote {
		return claim.Verdict{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeoutMs.Duration())
	defer cancel()
	verdict, err := b.peers.Claim(ctx, address, record)
	if err != nil {
		b.logger.Debug("forwarding claim to shard coordinator failed", zap.String("peer", address), zap.Error(err))
		return claim.Verdict{}, false
	}
	return verdict, true
}
