package box

import (
	"context"

	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/claim"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/route"
)

// gatherTimeoutMs is how long a box waits for the one that gathers a shard's
// records, on top of which it claims by itself. Settle and release records need
// no verdict.
const gatherTimeoutMs = 1500 * clock.Millis(1)

// gatherer returns the box that gathers a shard's records: the first in rank
// among the live boxes of this failure domain and those known of others. Boxes
// whose views differ pick different ones, which costs appends and no promise.
func (b *Box) gatherer(shard int) (address string, remote bool) {
	type candidate struct{ name, address string }
	candidates := []candidate{}
	for _, name := range b.gossip.Live() {
		candidates = append(candidates, candidate{name: name, address: b.peerAddress(name)})
	}
	for _, listed := range b.listedElsewhere() {
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

// remoteClaim hands a record to the box that gathers its shard.
func (b *Box) remoteClaim(ctx context.Context, shard int, record claim.Record) (claim.Verdict, bool) {
	address, remote := b.gatherer(shard)
	if !remote {
		return claim.Verdict{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, gatherTimeoutMs.Duration())
	defer cancel()
	verdict, err := b.peers.Claim(ctx, address, record)
	if err != nil {
		b.logger.Debug("claim not gathered", zap.String("peer", address), zap.Error(err))
		return claim.Verdict{}, false
	}
	return verdict, true
}
