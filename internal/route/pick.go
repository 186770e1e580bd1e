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

func (t *Tried) has(position int) bool {
	return slices.Contains(t.positions[:t.count], position)
}

// Policy is one way to choose among a view's members.
type Policy struct {
	Name string
	// pick returns a position, or none. It may change the view's sequence.
	pick func(v *View, key Key, tried *Tried) int
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
	if position := p.pick(v, key, &tried); position != none {
		return position, nil
	}
	for i := range v.Members {
		if v.Members[i].usable() && !tried.has(i) {
			return none, ErrSaturated
		}
	}
	return none, ErrNoUpstream
}

// open tells whether a member may take one more request from this box as far as
// its slots go. A box alone can't see the others' use, so it keeps to its part.
func (v *View) open(position int, tried *Tried) bool {
	m := &v.Members[position]
	return m.usable() && m.Used < v.slotShare(m) && !tried.has(position)
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
	mean := float64(v.total+1) * float64(m.Weight) / float64(max(1, v.totalWeight))
	return mean*float64(v.BoundPercent)/percent + m.offset
}

// withinOwnBound tells whether one more request on a member keeps this box's
// part of the load bound.
func (v *View) withinOwnBound(position int) bool {
	m := &v.Members[position]
	return m.InFlight+1 <= int(v.boundShare(m))
}

// Usable tells whether new work may go to a member that was not tried, its slots
// and load left aside.
func (v *View) Usable(position int, tried Tried) bool {
	return v.Members[position].usable() && !tried.has(position)
}

// WithinOwnBound tells whether one more request on a member keeps this box's
// part of the load bound.
func (v *View) WithinOwnBound(position int) bool { return v.withinOwnBound(position) }

// firstByScore returns the best ranked member among those that the filter takes.
func (v *View) firstByScore(key Key, tried *Tried, within func(v *View, position int) bool) int {
	best, bestScore := none, uint64(math.MaxUint64)
	for i := range v.Members {
		m := &v.Members[i]
		s := score(key, m.ID, m.inverseWeight)
		if s >= bestScore || !v.open(i, tried) || !within(v, i) {
			continue
		}
		best, bestScore = i, s
	}
	return best
}

// Ranked appends the positions of the first members in the order of their rank
// for a key, as many as the slice has room for. Members that take nothing now
// are among them.
func (v *View) Ranked(key Key, ranked []int) []int {
	var scores [MaxTried]uint64
	room := min(cap(ranked), len(scores))
	ranked = ranked[:0]
	for i := range v.Members {
		m := &v.Members[i]
		s := score(key, m.ID, m.inverseWeight)
		if m.TableWeight <= 0 || len(ranked) == room && s >= scores[room-1] {
			continue
		}
		if len(ranked) < room {
			ranked = append(ranked, i)
		}
		at := len(ranked) - 1
		for at > 0 && scores[at-1] > s {
			ranked[at], scores[at] = ranked[at-1], scores[at-1]
			at--
		}
		ranked[at], scores[at] = i, s
	}
	return ranked
}

// leastBy returns the open member with the least load per weight.
func (v *View) leastBy(tried *Tried, load func(m *Member) int) int {
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
