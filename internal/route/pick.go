package route

import (
	"cmp"
	"errors"
	"math"
	"slices"
)

// Errors of a decision.
var (
	// ErrNoUpstream means that no upstream takes this work at all.
	ErrNoUpstream = errors.New("no upstream serves this")
	// ErrSaturated means that all usable upstreams are at their slots.
	ErrSaturated = errors.New("all upstreams are at their limit")
	// ErrUnknownPolicy means that no policy has this name.
	ErrUnknownPolicy = errors.New("unknown policy")
)

// none is the position of no member.
const none = -1

// MaxTried is how many members one request may exclude.
const MaxTried = 10

// Tried is the set of members that one request has tried, by position.
type Tried struct {
	positions [MaxTried]int
	count     int
}

// With returns the set with one more member.
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

// Policy is one way to choose among a view's members.
type Policy struct {
	Name string
	// pick returns a position, or none. It may change the view's sequence.
	pick func(v *View, key Key, tried Tried) int
}

// PolicyByName returns a policy that Policies lists.
func PolicyByName(name string) (Policy, error) {
	for _, policy := range Policies() {
		if policy.Name == name {
			return policy, nil
		}
	}
	return Policy{}, ErrUnknownPolicy
}

// Pick returns the position of the member that takes a request.
// ErrNoUpstream and ErrSaturated tell why there is none.
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

// open reports whether a member may take one more request from this box as far as
// its slots go. A box alone can't see the others' use, so it keeps to its part.
func (v *View) open(position int, tried Tried) bool {
	m := &v.Members[position]
	return m.usable() && m.Used < m.slotShare && !tried.has(position)
}

// slotShare is this box's part of a member's slots. The boxes' parts add up to
// the slots, but each box keeps one when there are fewer slots than boxes.
func (v *View) slotShare(m *Member) int {
	part := float64(m.Slots)/float64(v.boxes) + m.offset
	return max(1, int(part))
}

// boundShare is how many requests this box may have on a member, if one more
// comes, so that the sum over boxes keeps the set multiple of the mean: when no
// box is above the multiple of its own mean, their sum is not above the multiple
// of the common mean. Boxes round by their places, so the sum is rounded once.
func (v *View) boundShare(m *Member) float64 {
	return float64(v.total+1)*m.boundPart + m.offset
}

// withinOwnBound reports whether one more request on a member keeps this box's
// part of the load bound.
func (v *View) withinOwnBound(position int) bool {
	m := &v.Members[position]
	return m.InFlight+1 <= int(v.boundShare(m))
}

// Usable reports whether new work may go to a member that was not tried, its slots
// and load left aside.
func (v *View) Usable(position int, tried Tried) bool {
	return v.Members[position].usable() && !tried.has(position)
}

// WithinOwnBound reports whether one more request on a member keeps this box's
// part of the load bound.
func (v *View) WithinOwnBound(position int) bool { return v.withinOwnBound(position) }

// firstByScore returns the best ranked member among those that the filter takes.
func (v *View) firstByScore(key Key, tried Tried, within func(v *View, position int) bool) int {
	best, bestScore := none, uint64(math.MaxUint64)
	for _, g := range v.groups {
		position, hash := v.firstOfGroup(g, key, tried, within)
		if position == none {
			continue
		}
		if s := negativeLog(hash) * g.inverseWeight; s < bestScore {
			best, bestScore = position, s
		}
	}
	return best
}

// firstOfGroup finds the best of equally weighted members: their scores order
// them as their hashes do, so that no logarithm is needed.
func (v *View) firstOfGroup(
	g group, key Key, tried Tried, within func(v *View, position int) bool,
) (position int, hash uint64) {
	position = none
	for i, id := range g.ids {
		h := mix(uint64(key)^id) | 1
		if h <= hash || !v.open(g.positions[i], tried) || !within(v, g.positions[i]) {
			continue
		}
		position, hash = g.positions[i], h
	}
	return position, hash
}

// Ranked appends the positions of the first members in the order of their rank
// for a key, as many as the slice has room for. Members that take nothing now
// are among them.
func (v *View) Ranked(key Key, ranked []int) []int {
	top := topRanks{limit: min(cap(ranked), MaxTried)}
	for _, g := range v.groups {
		top.addGroup(g, key)
	}
	return append(ranked[:0], top.positions[:top.count]...)
}

// topRanks is the best ranked members so far, best first.
type topRanks struct {
	positions [MaxTried]int
	scores    [MaxTried]uint64
	count     int
	limit     int
}

// addGroup takes in the best of a group. Within the group a member can only be
// among them when its hash is among the group's highest.
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
		at := count - 1
		for at > 0 && hashes[at-1] < h {
			hashes[at], positions[at] = hashes[at-1], positions[at-1]
			at--
		}
		hashes[at], positions[at] = h, g.positions[i]
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
	at := t.count - 1
	for at > 0 && t.scores[at-1] > s {
		t.scores[at], t.positions[at] = t.scores[at-1], t.positions[at-1]
		at--
	}
	t.scores[at], t.positions[at] = s, position
}

// leastBy returns the open member with the least load per weight.
func (v *View) leastBy(tried Tried, load func(m *Member) int) int {
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
