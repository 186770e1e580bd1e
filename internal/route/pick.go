package route

import (
	"cmp"
	"errors"
	"math"
	"slices"
)

// Errors of a decision.
var (
	// ErrNoUpstream means that no upstream accepts new work.
	ErrNoUpstream = errors.New("no upstream serves this")
	// ErrSaturated means that all usable upstreams have reached this box's part of their slots.
	ErrSaturated = errors.New("all upstreams are at their limit")
	// ErrUnknownPolicy means that there is no policy with this name.
	ErrUnknownPolicy = errors.New("unknown policy")
)

// none is the position returned when no member is found.
const none = -1

// MaxTried is the maximum number of members that one request can exclude.
const MaxTried = 10

// Tried is the set of positions of the members that one request has already tried.
type Tried struct {
	positions [MaxTried]int
	count     int
}

// With returns the set with one more member, or the unchanged set if it is full.
func (t Tried) With(position int) Tried {
	if t.count < MaxTried {
		t.positions[t.count] = position
		t.count++
	}
	return t
}

func (t Tried) has(position int) bool {
	return slices.Contains(t.positions[:t.count], position)
}

// Policy selects one of a view's members.
type Policy struct {
	Name string
	// pick returns a position, or none. It may advance the view's sequence.
	pick func(v *View, key Key, tried Tried) int
}

// PolicyByName returns the policy with a name that Policies lists.
func PolicyByName(name string) (Policy, error) {
	for _, policy := range Policies() {
		if policy.Name == name {
			return policy, nil
		}
	}
	return Policy{}, ErrUnknownPolicy
}

// Pick returns the position of the member that receives a request. If there is none, it returns
// ErrNoUpstream or ErrSaturated.
func (p Policy) Pick(v *View, key Key, tried Tried) (int, error) {
	if position := p.pick(v, key, tried); position != none {
		return position, nil
	}
	for i := range v.Members {
		if v.Members[i].usable() && !tried.has(i) {
			return none, ErrSaturated
		}
	}
	return none, ErrNoUpstream
}

// open reports whether a member can accept one more request from this box within its slots. A box
// can't see how many slots the other boxes use, so it keeps to its own part.
func (v *View) open(position int, tried Tried) bool {
	m := &v.Members[position]
	return m.usable() && m.Used < m.slotShare && !tried.has(position)
}

// slotShare returns this box's part of a member's slots. The parts of all boxes add up to the
// slots, except that each box gets at least one slot if there are fewer slots than boxes.
func (v *View) slotShare(m *Member) int {
	share := float64(m.Slots)/float64(v.boxes) + m.roundingOffset
	return max(1, int(share))
}

// boundShare returns the maximum number of requests that this box may have in flight on a member,
// counting one more request. If no box exceeds the bound relative to its own mean load, the sum
// over all boxes does not exceed the bound relative to the total mean load. The result includes this
// box's rounding offset and is rounded down by the callers. The offsets of the boxes differ, so that
// the rounding errors of the boxes do not add up: the sum is rounded only once.
func (v *View) boundShare(m *Member) float64 {
	return float64(v.total+1)*m.boundFactor + m.roundingOffset
}

// withinLocalBound reports whether one more request on a member stays within this box's part of the
// load bound.
func (v *View) withinLocalBound(position int) bool {
	m := &v.Members[position]
	return m.InFlight+1 <= int(v.boundShare(m))
}

// Usable reports whether a member accepts new work and was not tried. It ignores the member's slots
// and load.
func (v *View) Usable(position int, tried Tried) bool {
	return v.Members[position].usable() && !tried.has(position)
}

// WithinLocalBound reports whether one more request on a member stays within this box's part of the
// load bound.
func (v *View) WithinLocalBound(position int) bool { return v.withinLocalBound(position) }

// firstByScore returns the highest ranked open member that passes the filter.
func (v *View) firstByScore(key Key, tried Tried, filter func(v *View, position int) bool) int {
	best, bestScore := none, uint64(math.MaxUint64)
	for _, g := range v.groups {
		position, hash := v.firstOfGroup(g, key, tried, filter)
		if position == none {
			continue
		}
		if s := negativeLog(hash) * g.inverseWeight; s < bestScore {
			best, bestScore = position, s
		}
	}
	return best
}

// firstOfGroup returns the highest ranked open member of a group that passes the filter. Within a
// group, the member with the highest hash has the lowest score, so no logarithm is needed.
func (v *View) firstOfGroup(
	g group, key Key, tried Tried, filter func(v *View, position int) bool,
) (position int, hash uint64) {
	position = none
	for i, id := range g.ids {
		h := mix(uint64(key)^id) | 1
		if h <= hash || !v.open(g.positions[i], tried) || !filter(v, g.positions[i]) {
			continue
		}
		position, hash = g.positions[i], h
	}
	return position, hash
}

// Ranked fills the slice, up to its capacity and at most MaxTried, with the positions of the
// highest ranked members for a key, in rank order. It includes members that do not accept new work.
func (v *View) Ranked(key Key, ranked []int) []int {
	top := topRanks{limit: min(cap(ranked), MaxTried)}
	for _, g := range v.groups {
		top.addGroup(g, key)
	}
	return append(ranked[:0], top.positions[:top.count]...)
}

// topRanks holds the highest ranked members found so far, best first.
type topRanks struct {
	positions [MaxTried]int
	scores    [MaxTried]uint64
	count     int
	limit     int
}

// addGroup adds the highest ranked members of a group. Only the members with the highest hashes of
// the group can be among them.
func (t *topRanks) addGroup(g group, key Key) {
	var hashes [MaxTried]uint64
	var positions [MaxTried]int
	count := 0
	for i, id := range g.ids {
		h := mix(uint64(key)^id) | 1
		if count == t.limit && h <= hashes[count-1] {
			continue
		}
		if count < t.limit {
			count++
		}
		index := count - 1
		for index > 0 && hashes[index-1] < h {
			hashes[index], positions[index] = hashes[index-1], positions[index-1]
			index--
		}
		hashes[index], positions[index] = h, g.positions[i]
	}
	for i := range count {
		t.add(positions[i], negativeLog(hashes[i])*g.inverseWeight)
	}
}

func (t *topRanks) add(position int, s uint64) {
	if t.count == t.limit && s >= t.scores[t.count-1] {
		return
	}
	if t.count < t.limit {
		t.count++
	}
	index := t.count - 1
	for index > 0 && t.scores[index-1] > s {
		t.scores[index], t.positions[index] = t.scores[index-1], t.positions[index-1]
		index--
	}
	t.scores[index], t.positions[index] = s, position
}

// leastLoaded returns the open member with the lowest load relative to its weight.
func (v *View) leastLoaded(tried Tried, load func(m *Member) int) int {
	best, bestLoad := none, math.Inf(1)
	for i := range v.Members {
		if !v.open(i, tried) {
			continue
		}
		m := &v.Members[i]
		if relative := float64(load(m)) / float64(m.Weight); relative < bestLoad {
			best, bestLoad = i, relative
		}
	}
	return best
}

func sortByScore(order []int, scores, members []uint64) {
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(scores[a], scores[b]), cmp.Compare(members[a], members[b]))
	})
}
