// Package grant lets one box of a failure domain count what all its boxes run on
// an engine, and remember where sessions are warm. Each engine has an owner, the
// box that rendezvous hashing picks; a box asks the owner for a slot before it
// sends, and tells it when the slot is free. So the load bound holds although
// each box sees only a sliver of the traffic and load reports are old. A box
// whose owner does not answer decides by itself.
package grant

import (
	"math"
	"slices"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/membership"
)

// Box names a box on the wire.
type Box = membership.ID

// Place names an upstream within a pool on the wire.
type Place uint32

// Settings bound a ledger.
type Settings struct {
	// TotalsMs is how long a box's last told total counts.
	TotalsMs clock.Millis
	// HoldMs is how long a box's last told count on one upstream counts. Boxes
	// tell it again in less.
	HoldMs clock.Millis
}

// DefaultSettings suit requests that take seconds.
func DefaultSettings() Settings {
	return Settings{TotalsMs: clock.Second, HoldMs: 60 * clock.Second}
}

// Ledger is what an owner knows of its upstreams. It belongs to one goroutine at
// a time.
type Ledger struct {
	settings Settings
	places   map[Place]*holds
	totals   map[totalKey]told
	// heard is scratch space.
	heard []int
}

// holds is what runs on one upstream, by box. Boxes tell absolute counts, so
// that a lost message is made good by the next one.
type holds struct {
	sum   int
	byBox map[Box]told
}

type told struct {
	count int
	atMs  clock.Millis
}

// totalKey names what one box runs on a whole pool.
type totalKey struct {
	pool uint32
	box  Box
}

// NewLedger returns a ledger that has granted nothing.
func NewLedger(settings Settings) *Ledger {
	return &Ledger{settings: settings, places: map[Place]*holds{}, totals: map[totalKey]told{}}
}

// Ask is a box's question for one slot.
type Ask struct {
	Place Place
	Box   Box
	// Held is what the box runs there if it gets the slot.
	Held int
	// Total is what the box runs on the whole pool if it gets the slot.
	Total int
	// Settle asks for a slot only where the load is below the mean.
	Settle bool
}

// Standing is how an upstream stands in its pool, as its owner sees it.
type Standing struct {
	Pool uint32
	// Part is the upstream's part of the pool's weight, 0 to 1.
	Part float64
	// Boxes is how many boxes send to the pool.
	Boxes int
	// BoundPercent is the set multiple of the mean load.
	BoundPercent int
	// Slots is how many requests the upstream runs at once.
	Slots int
	// Closed is set when the upstream takes no new work.
	Closed bool
}

// Ask grants a slot when the upstream stays within the bound with it. Over is by
// how many requests it would be above the bound; at most 0 when granted.
func (l *Ledger) Ask(a Ask, s Standing, now clock.Millis) (granted bool, over int) {
	l.totals[totalKey{pool: s.Pool, box: a.Box}] = told{count: a.Total, atMs: now}
	h := l.holds(a.Place)
	h.set(a.Box, a.Held, now)
	l.expire(h, now)
	mean := l.mean(s, now)
	over = h.sum - min(Limit(mean, s.BoundPercent), s.Slots)
	if over <= 0 && (!a.Settle || float64(h.sum) <= math.Ceil(settlePart*mean)) {
		return true, over
	}
	h.set(a.Box, a.Held-1, now)
	return false, over
}

func (l *Ledger) holds(place Place) *holds {
	h := l.places[place]
	if h == nil {
		h = &holds{byBox: map[Box]told{}}
		l.places[place] = h
	}
	return h
}

func (h *holds) set(box Box, count int, now clock.Millis) {
	h.sum += count - h.byBox[box].count
	if count <= 0 {
		h.sum -= count
		delete(h.byBox, box)
		return
	}
	h.byBox[box] = told{count: count, atMs: now}
}

// expire forgets counts that were not told again.
func (l *Ledger) expire(h *holds, now clock.Millis) {
	for box, t := range h.byBox {
		if now-t.atMs > l.settings.HoldMs {
			h.set(box, 0, now)
		}
	}
}

// mean is an upstream's part of the pool's load. The load is estimated from the
// newest totals of the boxes that asked lately. The others are taken to run the
// median of those: boxes that were not heard are rather quiet ones, and the mean
// would let one busy box count for them too.
func (l *Ledger) mean(s Standing, now clock.Millis) float64 {
	heard := l.heard[:0]
	sum := 0
	for key, t := range l.totals {
		if now-t.atMs > l.settings.TotalsMs {
			delete(l.totals, key)
			continue
		}
		if key.pool == s.Pool {
			sum += t.count
			heard = append(heard, t.count)
		}
	}
	l.heard = heard
	load := float64(sum)
	if unheard := s.Boxes - len(heard); unheard > 0 && len(heard) > 0 {
		slices.Sort(heard)
		load += float64(unheard * heard[len(heard)/2])
	}
	return load * s.Part
}

// settlePart is how full, as a part of the mean, an upstream may be for a session
// that gets a new home there. Below the mean, later turns of the sessions that are
// already there find room.
const settlePart = 0.9

// smallMean is the mean below which the bound is rounded up: there a whole
// request is more than an eighth of the mean, and rounding down would leave
// upstreams no room above the mean at all.
const smallMean = 8

// Limit is the most requests in flight on an upstream that a mean allows.
func Limit(mean float64, boundPercent int) int {
	const percent = 100
	bound := mean * float64(boundPercent) / percent
	if mean < smallMean {
		return max(1, int(math.Ceil(bound)))
	}
	return int(bound)
}

// Hold takes in what a box runs on an upstream.
func (l *Ledger) Hold(place Place, box Box, held int, now clock.Millis) {
	l.holds(place).set(box, held, now)
}

// Forget frees all slots of a box that is gone.
func (l *Ledger) Forget(box Box) {
	for key := range l.totals {
		if key.box == box {
			delete(l.totals, key)
		}
	}
	for place, h := range l.places {
		h.set(box, 0, 0)
		if len(h.byBox) == 0 {
			delete(l.places, place)
		}
	}
}

// InFlight returns what runs on an upstream as far as this owner was told.
func (l *Ledger) InFlight(place Place) int {
	if h := l.places[place]; h != nil {
		return h.sum
	}
	return 0
}
