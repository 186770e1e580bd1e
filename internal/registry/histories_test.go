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

// Random histories of servers that write, leave, crash and start again under their id, of a store
// that comes back from copies, and of boxes that read it and tell each other. No box may believe of
// a server what is older than what it knew, and once all is written again all boxes are level.

// modelServer is a server as it is.
type modelServer struct {
	record
	alive bool
	// lost is set while the store does not hold what it wrote last.
	lost bool
	// sinceMs is how long ago it crashed, or the store came back.
	sinceMs clock.Millis
}

const (
	// writtenMs is within which time of the store's return servers have written again, and
	// droppedMs that in which the store drops the entry of one that does not write.
	writtenMs clock.Millis = 2000
	droppedMs clock.Millis = 3600
)

// modelLog is the store's log. A record without a server is an entry that went.
type modelLog struct {
	era     int64
	records []logged
}

type logged struct {
	record
	gone bool
}

// modelBox is a box with where it reads on.
type modelBox struct {
	*fixture
	at     position.Position
	filled bool
	// knew is the newest record of each server that the box has believed.
	knew map[string]record
}

type history struct {
	random  *rand.Rand
	log     modelLog
	servers []*modelServer
	boxes   []*modelBox
}

func newHistory(seed uint64) *history {
	h := &history{random: rand.New(rand.NewPCG(seed, 7)), log: modelLog{era: 1}}
	for i := range 4 {
		h.servers = append(h.servers, &modelServer{record: record{id: fmt.Sprint("s", i)}})
	}
	for range 3 {
		h.boxes = append(h.boxes, &modelBox{fixture: newFixture(), knew: map[string]record{}})
	}
	return h
}

// write lets a server write its entry.
func (h *history) write(s *modelServer) {
	s.sequence++
	s.lost = false
	h.log.records = append(h.log.records, logged{record: s.record})
}

// act lets a server do something.
func (h *history) act(s *modelServer) {
	switch {
	case !s.alive:
		s.alive = true
		s.record = record{id: s.id, started: s.started + 10}
		h.write(s)
	case h.random.IntN(3) == 0:
		s.alive, s.sinceMs = false, 0
		if h.random.IntN(2) == 0 {
			h.remove(s)
		}
	default:
		s.draining = s.draining || h.random.IntN(2) == 0
		h.write(s)
	}
}

// remove lets the store drop a server's entry, if it has one.
func (h *history) remove(s *modelServer) {
	if newest, listed := h.newest()[s.id]; listed && !newest.gone {
		h.log.records = append(h.log.records, logged{record: record{id: s.id}, gone: true})
	}
}

// newest returns the newest record of each server.
func (h *history) newest() map[string]logged {
	newest := map[string]logged{}
	for _, r := range h.log.records {
		newest[r.id] = r
	}
	return newest
}

// restore lets the store come back from a copy.
func (h *history) restore() {
	h.log.era++
	h.log.records = h.log.records[:h.random.IntN(len(h.log.records)+1)]
	newest := h.newest()
	for _, s := range h.servers {
		s.lost, s.sinceMs = s.alive && newest[s.id].record != s.record, 0
	}
}

// read lets a box read the store on, or whole if its offsets hold no longer.
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
}

func (r logged) change(era, offset int64) Change {
	if r.gone {
		return goneAt(r.id, era, offset)
	}
	return r.at(era, offset)
}

func (h *history) readWhole(b *modelBox) {
	offsets := map[string]int64{}
	for i, r := range h.log.records {
		offsets[r.id] = int64(i)
	}
	all := []Change{}
	for _, i := range offsets {
		if r := h.log.records[i]; !r.gone {
			all = append(all, r.copied(h.log.era, i+1))
		}
	}
	b.at = position.At(h.log.era, int64(len(h.log.records)))
	b.Replace(all, b.at, reappearMs)
	b.filled = true
}

// relay lets a box take over what another one knows more.
func (h *history) relay(from, to *modelBox) {
	if to.Position().Before(from.Position()) {
		to.Merge(from.Since(to.Position()))
		to.filled = to.filled || to.Filled()
	}
}

func (h *history) pass(span clock.Millis) {
	for _, s := range h.servers {
		s.sinceMs += span
		switch {
		case s.lost && s.sinceMs >= writtenMs:
			h.write(s)
		case !s.alive && s.sinceMs >= droppedMs:
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
		h.act(h.servers[h.random.IntN(len(h.servers))])
	case 3, 4:
		h.read(box())
	case 5:
		h.relay(box(), box())
	case 6:
		h.pass(clock.Millis(h.random.IntN(800)))
	default:
		if h.random.IntN(4) == 0 {
			h.restore()
		}
	}
}

// check compares what each box believes with what it knew before.
func (h *history) check(t *testing.T) {
	t.Helper()
	for i, b := range h.boxes {
		for id, e := range b.entries {
			if e.gone {
				continue
			}
			knew, now := b.knew[id], record{id: id, started: e.startedMs, sequence: e.sequence, draining: e.upstream.Draining}
			older := now.started < knew.started || now.started == knew.started && now.sequence < knew.sequence
			require.False(t, older, "box %d believes %+v after %+v", i, now, knew)
			b.knew[id] = now
		}
	}
}

// settle lets all that lives write again, the store drop the rest, and the boxes hear of it.
func (h *history) settle() {
	for _, s := range h.servers {
		switch {
		case s.alive && s.lost:
			h.write(s)
		case !s.alive:
			h.remove(s)
		}
	}
	h.read(h.boxes[0])
	for _, b := range h.boxes[1:] {
		h.relay(h.boxes[0], b)
		h.read(b)
	}
	h.pass(reappearMs)
}

func (h *history) assertLevel(t *testing.T) {
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
			h.assertLevel(t)
		})
	}
}
