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

// Parameters of table replication.
const (
	// tableReaders is the number of boxes of a failure domain that read the table from the
	// platform. The others read it from these boxes.
	tableReaders = 2
	// relayFanout is the number of boxes that have the same box as their preferred relay.
	relayFanout = 4
	// catchUpIntervalMs is how often a box checks whether others are ahead of it.
	catchUpIntervalMs = 500 * clock.Millis(1)
	// maxRelaysTried is the maximum number of boxes of other failure domains that one read of
	// records tries. A request for the complete table tries up to twice as many peers.
	maxRelaysTried      = 2
	stateTimeoutMs      = 10 * clock.Second
	catchUpRecords      = 1000
	snapshotScanRecords = 256
	snapshotCheckMs     = 10 * clock.Second
	// snapshotIntervalRecords is the number of table records between two snapshots.
	snapshotIntervalRecords = 500
	// snapshotRankDelayMs is how long a box waits, for each box ranked before it, before it
	// writes a snapshot itself.
	snapshotRankDelayMs = 30 * clock.Second
)

// tableRelays returns the boxes of this failure domain from which this box reads the table's
// records, and whether it reads them from the platform itself. The boxes form a tree by rank,
// so that each box serves only a few others.
func (b *Box) tableRelays() (addresses []string, reads bool) {
	live := b.gossip.Live()
	hashes := make([]uint64, len(live))
	for i, name := range live {
		hashes[i] = route.HashName(name)
	}
	order := route.Rank(route.NewKey("", tablestore.Stream), hashes)
	own := slices.IndexFunc(order, func(at int) bool { return live[at] == b.settings.Box })
	for _, rank := range parentRanks(own) {
		if address := b.peerAddress(live[order[rank]]); address != "" {
			addresses = append(addresses, address)
		}
	}
	return addresses, own < tableReaders
}

// parentRanks returns the ranks from which a rank reads records: none for a reader, otherwise
// two adjacent ranks on the level above.
func parentRanks(rank int) []int {
	if rank < tableReaders {
		return nil
	}
	first := (rank - tableReaders) / relayFanout
	return []int{first, first + 1}
}

// peerAddress returns the address of the peer listener of a live box of this failure domain,
// or "".
func (b *Box) peerAddress(name string) string {
	for _, member := range b.gossip.Members() {
		if member.Name == name && member.Status <= membership.Suspect {
			return member.PeerAddress
		}
	}
	return ""
}

// tableSources returns the sources of the table's records in order of preference.
func (b *Box) tableSources() []logstream.Source {
	addresses, reads := b.tableRelays()
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
	remotes := b.remoteBoxes()
	rand.Shuffle(len(remotes), func(i, j int) { remotes[i], remotes[j] = remotes[j], remotes[i] })
	for _, listed := range remotes[:min(maxRelaysTried, len(remotes))] {
		sources = append(sources, b.peerSource(listed.PeerAddress))
	}
	return sources
}

// readPlatform reads the table's records from the platform. The read is bounded by its
// long-poll wait plus the platform timeout.
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

// followTable loads an initial table and follows the stream.
func (b *Box) followTable(ctx context.Context) {
	b.bootstrapTable(ctx)
	b.follower.Run(ctx)
}

// bootstrapTable loads the newest complete table available, so that a box can serve soon after
// its start, even while the log is unavailable. A new fleet has none.
func (b *Box) bootstrapTable(ctx context.Context) {
	state := b.stateFromPeers(ctx)
	if state == nil {
		state = b.stateFromSnapshots(ctx)
	}
	if state != nil {
		b.follower.Advance(b.store.Adopt(state))
	}
}

// recoverTable loads a complete table when the log no longer retains the records that the box
// needs.
func (b *Box) recoverTable(ctx context.Context, _ int64) (int64, error) {
	for _, source := range []func(context.Context) *table.State{b.stateFromSnapshots, b.stateFromPeers} {
		if state := source(ctx); state != nil && state.Offset() > b.store.State().Offset() {
			return b.store.Adopt(state), nil
		}
	}
	return 0, backing.ErrExpired
}

// stateFromPeers requests the table from a few peers. It returns nil if none of them has it.
func (b *Box) stateFromPeers(ctx context.Context) *table.State {
	for _, address := range b.statePeers() {
		bounded, cancel := context.WithTimeout(ctx, stateTimeoutMs.Duration())
		state, err := b.peers.State(bounded, address)
		cancel()
		if err == nil {
			return state
		}
		b.logger.Debug("reading table from peer failed", zap.String("peer", address), zap.Error(err))
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
	// Shuffling prevents boxes that start together from all asking the same peers.
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, listed := range b.remoteBoxes() {
		addresses = append(addresses, listed.PeerAddress)
	}
	return addresses[:min(2*maxRelaysTried, len(addresses))]
}

// stateFromSnapshots reads the newest snapshot from the log. It returns nil if there is none.
func (b *Box) stateFromSnapshots(ctx context.Context) *table.State {
	chunks, err := b.newestChunks(ctx)
	if err != nil {
		b.logger.Debug("reading snapshots failed", zap.Error(err))
		return nil
	}
	assembler := snapshot.NewAssembler()
	for _, chunk := range chunks {
		if err := assembler.Add(chunk); err != nil {
			b.metrics.SnapshotAlarms.Add(1)
			b.logger.Error("snapshots of the same offset differ", zap.Error(err))
		}
	}
	state, err := assembler.Newest()
	if err != nil {
		b.metrics.SnapshotAlarms.Add(1)
		b.logger.Error("snapshot unusable", zap.Error(err))
	}
	return state
}

// newestChunks returns the newest snapshot chunks in the log, oldest first.
func (b *Box) newestChunks(ctx context.Context) ([]snapshot.Chunk, error) {
	head, err := b.readLog(ctx, snapshot.Stream, 0, 1, 0)
	if err != nil && !errors.Is(err, backing.ErrExpired) {
		return nil, err
	}
	from := max(head.FirstOffset, head.EndOffset-snapshotScanRecords)
	chunks := []snapshot.Chunk{}
	for from < head.EndOffset {
		page, err := b.readLog(ctx, snapshot.Stream, from, snapshotScanRecords, 0)
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

// catchUp reads records from a box that is ahead of this one, so that this box's table stays
// current even while its own read of the log hangs.
func (b *Box) catchUp(ctx context.Context) {
	b.clock.Every(ctx, catchUpIntervalMs, func(clock.Millis) {
		address, ahead := b.peerAheadOf(b.store.State().Offset())
		if !ahead {
			return
		}
		page, err := b.peerSource(address).Read(ctx, b.store.State().Offset(), catchUpRecords, 0)
		if errors.Is(err, backing.ErrExpired) {
			b.bootstrapTable(ctx)
			return
		}
		for _, record := range page.Records {
			b.store.ApplyRecord(record)
		}
		b.follower.Advance(b.store.State().Offset())
	})
}

// peerAheadOf returns a box whose table is ahead of an offset.
func (b *Box) peerAheadOf(offset int64) (address string, found bool) {
	for name, facts := range b.gossip.FactsOf() {
		if facts.TableOffset > offset {
			if address := b.peerAddress(name); address != "" {
				return address, true
			}
		}
	}
	sums := b.gossip.DomainFacts(domainFactsTTLMs)
	for _, listed := range b.remoteBoxes() {
		if sums[membership.NewID(listed.FailureDomain)].TableOffset > offset {
			return listed.PeerAddress, true
		}
	}
	return "", false
}

// snapshotLoop writes snapshots often enough that the newest one is always well within the
// log's retention. Rendezvous hashing ranks the boxes. The first one writes, and the next one
// takes over if no snapshot appears.
func (b *Box) snapshotLoop(ctx context.Context) {
	due := clock.Millis(0)
	b.clock.Every(ctx, snapshotCheckMs, func(now clock.Millis) {
		if !b.snapshotDue(ctx) {
			due = 0
			return
		}
		if due == 0 {
			due = now + snapshotRankDelayMs*clock.Millis(b.snapshotRank())
		}
		if now >= due {
			b.writeSnapshot(ctx)
			due = 0
		}
	})
}

// snapshotDue reports whether the table has grown enough since the newest snapshot.
func (b *Box) snapshotDue(ctx context.Context) bool {
	offset := b.store.State().Offset()
	if offset < b.lastSnapshotOffset.Load()+snapshotIntervalRecords {
		return false
	}
	chunks, err := b.newestChunks(ctx)
	if err != nil {
		return false
	}
	for _, chunk := range chunks {
		b.lastSnapshotOffset.Store(max(b.lastSnapshotOffset.Load(), chunk.Offset))
	}
	return offset >= b.lastSnapshotOffset.Load()+snapshotIntervalRecords
}

// snapshotRank returns this box's rank among all boxes that may write snapshots.
func (b *Box) snapshotRank() int {
	names := b.gossip.Live()
	for _, listed := range b.remoteBoxes() {
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
			b.logger.Warn("writing snapshot failed", zap.Error(err))
			return
		}
	}
	b.lastSnapshotOffset.Store(state.Offset())
	b.metrics.SnapshotsMade.Add(1)
	b.logger.Info("snapshot written", zap.Int64("offset", state.Offset()), zap.Int("chunks", len(chunks)))
}
