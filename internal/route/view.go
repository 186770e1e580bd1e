// Package route decides which engine receives a request. A decision depends only on a View, the
// request's key and the members already tried; some policies also advance a sequence number in the
// View. Decisions use no clock, do no I/O and allocate no memory.
package route

import (
	"cmp"
	"slices"

	"dooryard.example/dooryard/internal/clock"
)

// Member is the state of one upstream in a View.
type Member struct {
	Name string
	// ID is the hash of the name.
	ID uint64
	// TableWeight is the weight by which the member is ranked for keys. It stays constant during slow
	// start and ejection, so that ranks do not change.
	TableWeight int
	// Weight is the effective weight; 100 units of it equal one unit of TableWeight. It determines the
	// member's part of the load. A member with weight 0 receives no requests.
	Weight int
	// InFlight is the number of requests that this box has in flight on the member for this model.
	InFlight int
	// Used is the number of requests that this box has in flight on the member for all models.
	Used int
	// Reported is the last reported number of requests from all boxes, which lags behind the actual one.
	Reported int
	// InFlightAtReport is the number of requests that this box had in flight on the member at the time
	// of the report.
	InFlightAtReport int
	// Slots is the number of requests from all boxes that the upstream runs concurrently.
	Slots int
	// Ejected is set while the upstream is ejected because of failures.
	Ejected bool
	// Draining is set when the upstream is draining and accepts no new work.
	Draining bool

	// roundingOffset is this box's rank in the split of the upstream's slots, scaled to 0 to 1.
	roundingOffset float64
	// boundFactor is the member's part of the pool's weight multiplied by the load bound.
	boundFactor float64
	// slotShare is this box's part of the slots.
	slotShare int
}

// usable reports whether the member accepts new work.
func (m *Member) usable() bool { return !m.Draining && !m.Ejected && m.Weight > 0 }

// View is the complete input of a decision. It must not be used by several goroutines at a time.
type View struct {
	Members []Member
	// BoundPercent is the load bound in percent of the mean load.
	BoundPercent int

	// groups holds the members by their weight in the table, for fast ranking.
	groups      []group
	total       int
	totalWeight int
	boxes       int
	sequence    uint64
}

// NewView returns a view of the members for this box, which is one of the boxes of the failure
// domain. The view orders the members by name, so callers must not rely on the order of the
// argument.
func NewView(members []Member, boundPercent int, boxes []string, self string) *View {
	v := &View{Members: slices.Clone(members), BoundPercent: boundPercent}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	for i := range v.Members {
		m := &v.Members[i]
		m.ID = HashName(m.Name)
		v.total += m.InFlight
	}
	v.buildGroups()
	v.assignRoundingOffsets(boxes, self)
	v.refreshWeights()
	return v
}

// group holds the members with one weight, laid out for a scan over their IDs.
type group struct {
	inverseWeight uint64
	ids           []uint64
	positions     []int
}

// buildGroups groups the members that take part in ranking by weight.
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

// refreshWeights recomputes the values that depend on the members' weights and health.
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
		m.boundFactor = v.WeightFraction(i) * float64(v.BoundPercent) / percent
		m.slotShare = v.slotShare(m)
	}
}

// assignRoundingOffsets ranks this box among the boxes for each member, so that some boxes round
// their parts of a bound up and others round them down.
func (v *View) assignRoundingOffsets(boxes []string, self string) {
	hashes := make([]uint64, len(boxes))
	for i, box := range boxes {
		hashes[i] = HashName(box)
	}
	v.boxes = max(1, len(boxes))
	selfHash := HashName(self)
	for i := range v.Members {
		m := &v.Members[i]
		rank := 0
		own := mix(m.ID ^ selfHash)
		for _, h := range hashes {
			if h != selfHash && mix(m.ID^h) < own {
				rank++
			}
		}
		m.roundingOffset = (float64(rank) + half) / float64(v.boxes)
	}
}

const half = 0.5

// Total returns the number of requests that this box has in flight on all members.
func (v *View) Total() int { return v.total }

// WeightFraction returns a member's fraction of the pool's weight, 0 to 1.
func (v *View) WeightFraction(index int) float64 {
	return float64(v.Members[index].Weight) / float64(max(1, v.totalWeight))
}

// Boxes returns the number of boxes that share the members.
func (v *View) Boxes() int { return v.boxes }

// Slots returns the total slots of all usable members.
func (v *View) Slots() int {
	slots := 0
	for i := range v.Members {
		if v.Members[i].usable() {
			slots += v.Members[i].Slots
		}
	}
	return slots
}

// Add changes the number of requests that this box has in flight on a member.
func (v *View) Add(index, change int) {
	v.Members[index].InFlight += change
	v.total += change
}

// Report records a lagging report of a member's load from all boxes, and the number of requests
// that this box had in flight there at the time of the report.
func (v *View) Report(index, inFlight, inFlightAtReport int) {
	v.Members[index].Reported = inFlight
	v.Members[index].InFlightAtReport = inFlightAtReport
}

// SetDraining sets whether a member is draining and accepts no new work.
func (v *View) SetDraining(index int, draining bool) {
	v.Members[index].Draining = draining
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

// SetEjected sets whether a member is ejected because of failures. At most panicPercent of the
// members that are not draining can be ejected at a time. Beyond that, the call has no effect.
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
	ejected, eligible := 1, 0
	for i := range v.Members {
		if v.Members[i].Draining {
			continue
		}
		eligible++
		if v.Members[i].Ejected {
			ejected++
		}
	}
	return ejected*percent <= eligible*panicPercent
}

const percent = 100

// SlowStartWeight returns the effective weight of an upstream that joined at joinedMs. It grows
// linearly to the full table weight over slowStartMs and is at least a tenth of the full weight.
func SlowStartWeight(weight int, joinedMs, now, slowStartMs clock.Millis) int {
	age := now - joinedMs
	if age >= slowStartMs || weight <= 0 {
		return weight * weightUnit
	}
	minWeight := max(1, weight*weightUnit/slowStartFloor)
	return max(minWeight, int(int64(weight)*weightUnit*int64(max(0, age))/int64(slowStartMs)))
}

const slowStartFloor = 10
