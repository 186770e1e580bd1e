package registry

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/position"
)

// The tests in this file run random histories: servers write records, drain, crash and restart
// under the same id, the store is restored from copies, and boxes read it and relay updates to
// each other. A box must never accept a record of a server older than one it has already seen,
// and all boxes must agree once everything has been written again.

// modelServer is the actual state of a server.
type modelServer struct {
	record
	alive bool
	// lost is set while the store lacks the server's newest record.
	lost bool
	// elapsedMs is the time since the server crashed or the store was restored.
	elapsedMs clock.Millis
}

const (
	// rewriteMs is the time after the store is restored within which servers write their
	// records again. entryExpiryMs is the time after which the store drops the entry of a
	// server that does not write.
	rewriteMs     clock.Millis = 2000
	entryExpiryMs clock.Millis = 3600
)

// modelLog is the store's log. A record with removed set removes the server's entry.
type modelLog struct {
	era     int64
	records []logRecord
}

type logRecord struct {
	record
	removed bool
}

// modelBox is a box with the position at which it continues reading.
type modelBox struct {
	*fixture
	at     position.Position
	filled bool
	// newestSeen is the newest record of each server that the box has accepted.
	newestSeen map[string]record
}

type history struct {
	random  *rand.Rand
	log     modelLog
	servers []*modelServer
	boxes   []*modelBox
	// settled is set once servers write no more.
	settled bool
}

func newHistory(seed uint64) *history {
	h := &history{random: rand.New(rand.NewPCG(seed, 7)), log: modelLog{era: 1}}
	for i := range 4 {
		h.servers = append(h.servers, &modelServer{record: record{id: fmt.Sprint("s", i)}})
	}
	for range 3 {
		h.boxes = append(h.boxes, &modelBox{fixture: newFixture(), newestSeen: map[string]record{}})
	}
	return h
}

// write writes the server's entry.
func (h *history) write(s *modelServer) {
	s.sequence++
	s.lost = false
	h.log.records = append(h.log.records, logRecord{record: s.record})
}

// stepServer starts, stops or changes a server.
func (h *history) stepServer(s *modelServer) {
	switch {
	case !s.alive:
		s.alive = true
		s.record = record{id: s.id, started: s.started + 10}
		h.write(s)
	case h.random.IntN(3) == 0:
		s.alive, s.elapsedMs = false, 0
		if h.random.IntN(2) == 0 {
			h.remove(s)
		}
	default:
		s.draining = s.draining || h.random.IntN(2) == 0
		h.write(s)
	}
}

// remove drops a server's entry from the store, if there is one.
func (h *history) remove(s *modelServer) {
	if newest, listed := h.newest()[s.id]; listed && !newest.removed {
		h.log.records = append(h.log.records, logRecord{record: record{id: s.id}, removed: true})
	}
}

// newest returns the newest record of each server.
func (h *history) newest() map[string]logRecord {
	newest := map[string]logRecord{}
	for _, r := range h.log.records {
		newest[r.id] = r
	}
	return newest
}

// restore replaces the store's log by an older copy.
func (h *history) restore() {
	h.log.era++
	h.log.records = h.log.records[:h.random.IntN(len(h.log.records)+1)]
	newest := h.newest()
	for _, s := range h.servers {
		s.lost, s.elapsedMs = s.alive && newest[s.id].record != s.record, 0
	}
}

// read makes a box continue reading the store, or read it in full if its offset is no longer
// valid.
func (h *history) read(b *modelBox) {
	b.at = position.Max(b.at, b.Position())
	end := int64(len(h.log.records))
	if !b.filled || b.at.Era != h.log.era || b.at.Offset > end {
		h.readWhole(b)
		return
	}
	changes := []Change{}
	for i := b.at.Offset; i < end; i++ {
		changes = append(changes, h.log.records[i].change(h.log.era, i+1))
	}
	b.Apply(changes)
	b.at.Offset = end
	b.Confirm(b.Position(), b.now)
}

func (r logRecord) change(era, offset int64) Change {
	if r.removed {
		return removalAt(r.id, era, offset)
	}
	return r.at(era, offset)
}

// readWhole reads the newest record of each server in two pages, between which servers may write.
func (h *history) readWhole(b *modelBox) {
	b.at = position.At(h.log.era, int64(len(h.log.records)))
	all := h.page(h.servers[:len(h.servers)/2])
	for range h.random.IntN(4) {
		if h.settled {
			break
		}
		h.stepServer(h.servers[h.random.IntN(len(h.servers))])
	}
	all = append(all, h.page(h.servers[len(h.servers)/2:])...)
	b.ApplySnapshot(all, b.at, reappearMs)
	b.Confirm(b.at, b.now)
	b.filled = true
}

// page returns the newest records of some servers.
func (h *history) page(servers []*modelServer) []Change {
	offsets := map[string]int64{}
	for i, r := range h.log.records {
		offsets[r.id] = int64(i)
	}
	list := []Change{}
	for _, s := range servers {
		if i, known := offsets[s.id]; known && !h.log.records[i].removed {
			list = append(list, h.log.records[i].copied(h.log.era, i+1))
		}
	}
	return list
}

// relay sends a box's newer changes to another box.
func (h *history) relay(from, to *modelBox) {
	if to.Position().Before(from.Position()) {
		to.Merge(from.Since(to.Position()))
		to.filled = to.filled || to.Synced()
		to.Confirm(from.Position(), from.ConfirmedMs())
	}
}

func (h *history) advance(span clock.Millis) {
	for _, s := range h.servers {
		s.elapsedMs += span
		switch {
		case s.lost && s.elapsedMs >= rewriteMs:
			h.write(s)
		case !s.alive && s.elapsedMs >= entryExpiryMs:
			h.remove(s)
		}
	}
	for _, b := range h.boxes {
		b.now += span
		b.Expire()
	}
}

func (h *history) step() {
	box := func() *modelBox { return h.boxes[h.random.IntN(len(h.boxes))] }
	switch h.random.IntN(8) {
	case 0, 1, 2:
		h.stepServer(h.servers[h.random.IntN(len(h.servers))])
	case 3, 4:
		h.read(box())
	case 5:
		h.relay(box(), box())
	case 6:
		h.advance(clock.Millis(h.random.IntN(800)))
	default:
		if h.random.IntN(4) == 0 {
			h.restore()
		}
	}
}

// check verifies that no box has replaced a record by an older one.
func (h *history) check(t *testing.T) {
	t.Helper()
	for i, b := range h.boxes {
		for id, e := range b.entries {
			if e.tombstone {
				continue
			}
			newestSeen, now := b.newestSeen[id], record{id: id, started: e.startedMs, sequence: e.sequence, draining: e.upstream.Draining}
			older := now.started < newestSeen.started || now.started == newestSeen.started && now.sequence < newestSeen.sequence
			require.False(t, older, "box %d accepted %+v after %+v", i, now, newestSeen)
			b.newestSeen[id] = now
		}
	}
}

// settle makes the running servers write the records again that the store has lost, drops the entries
// of the others, and updates the boxes.
func (h *history) settle() {
	for _, s := range h.servers {
		switch {
		case s.alive && s.lost:
			h.write(s)
		case !s.alive:
			h.remove(s)
		}
	}
	h.settled = true
	h.read(h.boxes[0])
	for _, b := range h.boxes[1:] {
		h.relay(h.boxes[0], b)
		h.read(b)
	}
	h.advance(reappearMs)
}

func (h *history) assertConverged(t *testing.T) {
	t.Helper()
	want := map[string]bool{}
	for _, s := range h.servers {
		if s.alive {
			want[s.id] = s.draining
		}
	}
	for i, b := range h.boxes {
		got := map[string]bool{}
		for _, u := range b.All() {
			got[u.ID] = u.Draining
		}
		assert.Equal(t, want, got, "box %d", i)
	}
}

func TestHistories(t *testing.T) {
	const seeds, steps = 400, 120
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			h := newHistory(seed)
			for range steps {
				h.step()
				h.check(t)
			}
			h.settle()
			h.assertConverged(t)
		})
	}
}
