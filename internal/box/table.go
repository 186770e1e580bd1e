package box

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"

	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/backing"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/logstream"
	"dooryard.example/dooryard/internal/membership"
	"dooryard.example/dooryard/internal/route"
	"dooryard.example/dooryard/internal/snapshot"
	"dooryard.example/dooryard/internal/table"
	"dooryard.example/dooryard/internal/tablestore"
)

// Times and counts of following the table.
const (
	// readers is how many boxes of a failure domain read the table from the
	// platform; the others take it from them.
	readers = 2
	// relayFanout is how many boxes take records from one, at first choice.
	relayFanout = 4
	// catchUpMs is how often a box looks whether others are ahead of it.
	catchUpMs = 500 * clock.Millis(1)
	// relaysTried bounds the peers that one read tries.
	relaysTried     = 2
	stateTimeoutMs  = 10 * clock.Second
	catchUpRecords  = 1000
	snapshotScan    = 256
	snapshotCheckMs = 10 * clock.Second
	// snapshotRecords is how many records the table grows before the next one.
	snapshotRecords = 500
	// snapshotTurnMs is how long a box waits for each box that is before it in
	// rank to write the snapshot.
	snapshotTurnMs = 30 * clock.Second
)

// relays are the boxes of this domain from which this one takes the table's
// records, and whether this box reads them from the platform itself. The boxes
// form a tree by rank, so that each serves a few others only.
func (b *Box) relays() (addresses []string, reads bool) {
	live := b.gossip.Live()
	hashes := make([]uint64, len(live))
	for i, name := range live {
		hashes[i] = route.HashName(name)
	}
	order := route.Rank(route.NewKey("", tablestore.Stream), hashes)
	own := slices.IndexFunc(order, func(at int) bool { return live[at] == b.settings.Box })
	for _, rank := range parents(own) {
		if address := b.peerAddress(live[order[rank]]); address != "" {
			addresses = append(addresses, address)
		}
	}
	return addresses, own < readers
}

// parents are the ranks that a rank takes records from: none for a reader, else
// two further up the tree.
func parents(rank int) []int {
	if rank < readers {
		return nil
	}
	first := (rank - readers) / relayFanout
	return []int{first, first + 1}
}

// peerAddress is the peers' listener of a live box of this domain, or "".
func (b *Box) peerAddress(name string) string {
	for _, member := range b.gossip.Members() {
		if member.Name == name && member.Status <= membership.Suspect {
			return member.PeerAddress
		}
	}
	return ""
}

// tableSources are the ways to the table's records, the best first.
func (b *Box) tableSources() []logstream.Source {
	addresses, reads := b.relays()
	direct := logstream.Source{Name: "platform", Read: b.readPlatform}
	sources := []logstream.Source{}
	if reads || len(addresses) == 0 {
		sources = append(sources, direct)
	}
	for _, address := range addresses {
		sources = append(sources, b.peerSource(address))
	}
	if !reads && len(addresses) > 0 {
		sources = append(sources, direct)
	}
	elsewhere := b.listedElsewhere()
	rand.Shuffle(len(elsewhere), func(i, j int) { elsewhere[i], elsewhere[j] = elsewhere[j], elsewhere[i] })
	for _, listed := range elsewhere[:min(relaysTried, len(elsewhere))] {
		sources = append(sources, b.peerSource(listed.PeerAddress))
	}
	return sources
}

// readPlatform bounds a read by its wait and the platform's timeout.
func (b *Box) readPlatform(
	ctx context.Context, from int64, limit int, waitMs clock.Millis,
) (backing.Page, error) {
	return b.readLog(ctx, tablestore.Stream, from, limit, waitMs)
}

func (b *Box) readLog(
	ctx context.Context, stream string, from int64, limit int, waitMs clock.Millis,
) (backing.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, (waitMs + clock.Millis(b.settings.Platform.TimeoutMs)).Duration())
	defer cancel()
	return b.log.Read(ctx, stream, from, limit, waitMs)
}

func (b *Box) peerSource(address string) logstream.Source {
	return logstream.Source{Name: "peer " + address, Read: func(
		ctx context.Context, from int64, limit int, waitMs clock.Millis,
	) (backing.Page, error) {
		ctx, cancel := context.WithTimeout(ctx, (waitMs + clock.Millis(b.settings.Platform.TimeoutMs)).Duration())
		defer cancel()
		return b.peers.Read(ctx, address, from, limit, waitMs)
	}}
}

// followTable takes a table to start from and follows the stream.
func (b *Box) followTable(ctx context.Context) {
	b.startTable(ctx)
	b.follower.Run(ctx)
}

// startTable takes the newest whole table that can be had, so that a box serves
// soon after its start, also while the log is down. A new fleet has none.
func (b *Box) startTable(ctx context.Context) {
	state := b.stateFromPeers(ctx)
	if state == nil {
		state = b.stateFromSnapshots(ctx)
	}
	if state != nil {
		b.follower.Advance(b.store.Adopt(state))
	}
}

// recoverTable goes on from a whole table when the log no longer keeps what the
// box needs.
func (b *Box) recoverTable(ctx context.Context, _ int64) (int64, error) {
	for _, source := range []func(context.Context) *table.State{b.stateFromSnapshots, b.stateFromPeers} {
		if state := source(ctx); state != nil && state.Offset() > b.store.State().Offset() {
			return b.store.Adopt(state), nil
		}
	}
	return 0, backing.ErrExpired
}

// stateFromPeers asks a few boxes that may have the table, or returns nil.
func (b *Box) stateFromPeers(ctx context.Context) *table.State {
	for _, address := range b.statePeers() {
		bounded, cancel := context.WithTimeout(ctx, stateTimeoutMs.Duration())
		state, err := b.peers.State(bounded, address)
		cancel()
		if err == nil {
			return state
		}
		b.logger.Debug("no table from peer", zap.String("peer", address), zap.Error(err))
	}
	return nil
}

func (b *Box) statePeers() []string {
	addresses := []string{}
	for _, member := range b.gossip.Members() {
		if member.Status <= membership.Suspect {
			addresses = append(addresses, member.PeerAddress)
		}
	}
	// Boxes that start together must not all ask the same ones.
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, listed := range b.listedElsewhere() {
		addresses = append(addresses, listed.PeerAddress)
	}
	return addresses[:min(2*relaysTried, len(addresses))]
}

// stateFromSnapshots reads the newest snapshot from the log, or returns nil.
func (b *Box) stateFromSnapshots(ctx context.Context) *table.State {
	chunks, err := b.newestChunks(ctx)
	if err != nil {
		b.logger.Debug("no snapshot", zap.Error(err))
		return nil
	}
	assembler := snapshot.NewAssembler()
	for _, chunk := range chunks {
		if err := assembler.Add(chunk); err != nil {
			b.metrics.SnapshotAlarms.Add(1)
			b.logger.Error("snapshots differ", zap.Error(err))
		}
	}
	state, err := assembler.Newest()
	if err != nil {
		b.metrics.SnapshotAlarms.Add(1)
		b.logger.Error("snapshot unusable", zap.Error(err))
	}
	return state
}

// newestChunks returns the newest chunks on the log, oldest first.
func (b *Box) newestChunks(ctx context.Context) ([]snapshot.Chunk, error) {
	head, err := b.readLog(ctx, snapshot.Stream, 0, 1, 0)
	if err != nil && !errors.Is(err, backing.ErrExpired) {
		return nil, err
	}
	from := max(head.FirstOffset, head.EndOffset-snapshotScan)
	chunks := []snapshot.Chunk{}
	for from < head.EndOffset {
		page, err := b.readLog(ctx, snapshot.Stream, from, snapshotScan, 0)
		if err != nil {
			return nil, err
		}
		if len(page.Records) == 0 {
			return chunks, nil
		}
		for _, record := range page.Records {
			var chunk snapshot.Chunk
			if err := json.Unmarshal(record.Data, &chunk); err == nil {
				chunks = append(chunks, chunk)
			}
		}
		from += int64(len(page.Records))
	}
	return chunks, nil
}

// catchUp reads from a box that is ahead of this one. It makes good what a hung
// read of the log holds back.
func (b *Box) catchUp(ctx context.Context) {
	b.clock.Every(ctx, catchUpMs, func(clock.Millis) {
		address, ahead := b.aheadOf(b.store.State().Offset())
		if !ahead {
			return
		}
		page, err := b.peerSource(address).Read(ctx, b.store.State().Offset(), catchUpRecords, 0)
		if errors.Is(err, backing.ErrExpired) {
			b.startTable(ctx)
			return
		}
		for _, record := range page.Records {
			b.store.Record(record)
		}
		b.follower.Advance(b.store.State().Offset())
	})
}

// aheadOf returns a box whose table has gone further than an offset.
func (b *Box) aheadOf(offset int64) (address string, found bool) {
	for name, facts := range b.gossip.FactsOf() {
		if facts.TableOffset > offset {
			if address := b.peerAddress(name); address != "" {
				return address, true
			}
		}
	}
	sums := b.gossip.DomainFacts(domainFactsMs)
	for _, listed := range b.listedElsewhere() {
		if sums[membership.NewID(listed.FailureDomain)].TableOffset > offset {
			return listed.PeerAddress, true
		}
	}
	return "", false
}

// snapshotLoop lets the box that rendezvous hashing picks write snapshots well
// inside the log's retention; the next one does when it doesn't come.
func (b *Box) snapshotLoop(ctx context.Context) {
	due := clock.Millis(0)
	b.clock.Every(ctx, snapshotCheckMs, func(now clock.Millis) {
		if !b.snapshotDue(ctx) {
			due = 0
			return
		}
		if due == 0 {
			due = now + snapshotTurnMs*clock.Millis(b.snapshotRank())
		}
		if now >= due {
			b.writeSnapshot(ctx)
			due = 0
		}
	})
}

// snapshotDue reports whether the table has grown enough since the newest one.
func (b *Box) snapshotDue(ctx context.Context) bool {
	offset := b.store.State().Offset()
	if offset < b.snapshotted.Load()+snapshotRecords {
		return false
	}
	chunks, err := b.newestChunks(ctx)
	if err != nil {
		return false
	}
	for _, chunk := range chunks {
		b.snapshotted.Store(max(b.snapshotted.Load(), chunk.Offset))
	}
	return offset >= b.snapshotted.Load()+snapshotRecords
}

// snapshotRank is this box's place among all boxes that may write snapshots.
func (b *Box) snapshotRank() int {
	names := b.gossip.Live()
	for _, listed := range b.listedElsewhere() {
		names = append(names, listed.Name)
	}
	hashes := make([]uint64, len(names))
	for i, name := range names {
		hashes[i] = route.HashName(name)
	}
	for rank, at := range route.Rank(route.NewKey("", snapshot.Stream), hashes) {
		if names[at] == b.settings.Box {
			return rank
		}
	}
	return len(names)
}

func (b *Box) writeSnapshot(ctx context.Context) {
	state := b.store.State()
	chunks, err := snapshot.Make(state)
	if err != nil {
		b.logger.Error("snapshot failed", zap.Error(err))
		return
	}
	for _, chunk := range chunks {
		data, err := json.Marshal(chunk)
		if err != nil {
			b.logger.Error("snapshot failed", zap.Error(err))
			return
		}
		if _, err := b.append(ctx, snapshot.Stream, data); err != nil {
			b.logger.Warn("snapshot not written", zap.Error(err))
			return
		}
	}
	b.snapshotted.Store(state.Offset())
	b.metrics.SnapshotsMade.Add(1)
	b.logger.Info("snapshot written", zap.Int64("offset", state.Offset()), zap.Int("chunks", len(chunks)))
}
