// Package route decides which engine takes a request. Decisions are pure
// functions of a View: no clock, no I/O, no allocation.
package route

import (
	"cmp"
	"slices"

	"dooryard.example/dooryard/internal/clock"
)

// Member is one upstream as a decision sees it.
type Member struct {
	Name string
	// ID is the hash of the name.
	ID uint64
	// TableWeight is the weight that ranks the member for keys. It does not
	// change while the member warms up or is out, so that ranks stay.
	TableWeight int
	// Weight is the effective weight in 1/100 of the table's, which sets the
	// member's part of the load; 0 takes nothing.
	Weight int
	// InFlight is what this box has running there for this model.
	InFlight int
	// Used is what this box has running there for all models.
	Used int
	// Reported is the newest known load from all boxes, which lags.
	Reported int
	// OwnThen is what this box had running there when Reported was true.
	OwnThen int
	// Slots is how many requests the upstream runs at once, from all boxes.
	Slots int
	// Ejected is set while the upstream is out for failures.
	Ejected bool
	// Leaving is set when the upstream takes no new work.
	Leaving bool

	// offset is this box's place in the split of the upstream's slots, 0 to 1.
	offset float64
	// boundPart is the set multiple of the member's part of the pool's weight.
	boundPart float64
	// slotShare is this box's part of the slots.
	slotShare int
}

// usable reports whether new work may go to the member.
func (m *Member) usable() bool { return !m.Leaving && !m.Ejected && m.Weight > 0 }

// View is all that a decision depends on. It belongs to one goroutine at a time.
type View struct {
	Members []Member
	// BoundPercent is the set multiple of the mean load.
	BoundPercent int

	// groups are the members by their weight in the table, for fast ranking.
	groups      []group
	total       int
	totalWeight int
	boxes       int
	sequence    uint64
}

// NewView returns a view on the members with this box's place among the boxes
// of the failure domain. The members' order must not matter to callers: it is
// by name.
func NewView(members []Member, boundPercent int, boxes []string, self string) *View {
	v := &View{Members: slices.Clone(members), BoundPercent: boundPercent}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	for i := range v.Members {
		m := &v.Members[i]
		m.ID = HashName(m.Name)
		v.total += m.InFlight
	}
	v.buildGroups()
	v.placeBoxes(boxes, self)
	v.refreshWeights()
	return v
}

// group is members of one weight, laid out for a scan over their ids.
type group struct {
	inverseWeight uint64
	ids           []uint64
	positions     []int
}

// buildGroups gathers the members that take part in ranking.
func (v *View) buildGroups() {
	byWeight := map[int]*group{}
	weights := []int{}
	for i := range v.Members {
		m := &v.Members[i]
		if m.TableWeight <= 0 {
			continue
		}
		g := byWeight[m.TableWeight]
		if g == nil {
			g = &group{inverseWeight: inverseOne / uint64(m.TableWeight)}
			byWeight[m.TableWeight] = g
			weights = append(weights, m.TableWeight)
		}
		g.ids = append(g.ids, m.ID)
		g.positions = append(g.positions, i)
	}
	slices.Sort(weights)
	for _, weight := range weights {
		v.groups = append(v.groups, *byWeight[weight])
	}
}

// refreshWeights recomputes what depends on the members' weights and health.
func (v *View) refreshWeights() {
	v.totalWeight = 0
	for i := range v.Members {
		m := &v.Members[i]
		if m.usable() {
			v.totalWeight += m.Weight
		}
	}
	for i := range v.Members {
		m := &v.Members[i]
		m.boundPart = v.Part(i) * float64(v.BoundPercent) / percent
		m.slotShare = v.slotShare(m)
	}
}

// placeBoxes gives this box a place among the boxes for each member, so that
// the boxes round their parts of one bound up and down in turn.
func (v *View) placeBoxes(boxes []string, self string) {
	hashes := make([]uint64, len(boxes))
	for i, box := range boxes {
		hashes[i] = HashName(box)
	}
	v.boxes = max(1, len(boxes))
	selfHash := HashName(self)
	for i := range v.Members {
		m := &v.Members[i]
		place := 0
		own := mix(m.ID ^ selfHash)
		for _, h := range hashes {
			if h != selfHash && mix(m.ID^h) < own {
				place++
			}
		}
		m.offset = (float64(place) + half) / float64(v.boxes)
	}
}

const half = 0.5

// Total returns what this box has in flight on all members.
func (v *View) Total() int { return v.total }

// Part returns a member's part of the pool's weight, 0 to 1.
func (v *View) Part(index int) float64 {
	return float64(v.Members[index].Weight) / float64(max(1, v.totalWeight))
}

// Boxes returns how many boxes share the members.
func (v *View) Boxes() int { return v.boxes }

// Slots returns the slots of all usable members.
func (v *View) Slots() int {
	slots := 0
	for i := range v.Members {
		if v.Members[i].usable() {
			slots += v.Members[i].Slots
		}
	}
	return slots
}

// Add changes this box's count in flight on a member.
func (v *View) Add(index, change int) {
	v.Members[index].InFlight += change
	v.total += change
}

// Report takes in a member's load from all boxes as it was some time ago, and
// what this box had running there at that time.
func (v *View) Report(index, inFlight, ownThen int) {
	v.Members[index].Reported = inFlight
	v.Members[index].OwnThen = ownThen
}

// SetLeaving changes whether a member takes new work.
func (v *View) SetLeaving(index int, leaving bool) {
	v.Members[index].Leaving = leaving
	v.refreshWeights()
}

// SetWeight changes the effective weight of a member.
func (v *View) SetWeight(index, weight int) {
	if v.Members[index].Weight == weight {
		return
	}
	v.Members[index].Weight = weight
	v.refreshWeights()
}

// SetEjected changes whether a member is out for failures. At most panicPercent
// of the members may be out at once; the call has no effect beyond that.
func (v *View) SetEjected(index int, ejected bool, panicPercent int) {
	if v.Members[index].Ejected == ejected {
		return
	}
	if ejected && !v.mayEject(panicPercent) {
		return
	}
	v.Members[index].Ejected = ejected
	v.refreshWeights()
}

func (v *View) mayEject(panicPercent int) bool {
	out, all := 1, 0
	for i := range v.Members {
		if v.Members[i].Leaving {
			continue
		}
		all++
		if v.Members[i].Ejected {
			out++
		}
	}
	return out*percent <= all*panicPercent
}

const percent = 100

// SlowStartWeight returns the effective weight of an upstream that joined at an
// instant: it grows from a tenth to the whole of the table's weight.
func SlowStartWeight(weight int, joinedMs, now, slowStartMs clock.Millis) int {
	age := now - joinedMs
	if age >= slowStartMs || weight <= 0 {
		return weight * weightUnit
	}
	least := max(1, weight*weightUnit/slowStartFloor)
	return max(least, int(int64(weight)*weightUnit*int64(max(0, age))/int64(slowStartMs)))
}

const slowStartFloor = 10
