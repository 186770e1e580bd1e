package route

import (
	"cmp"
	"slices"
)

// Explanation describes the rank and state of one member for a key.
type Explanation struct {
	Rank     int    `json:"rank"`
	Name     string `json:"name"`
	Picked   bool   `json:"picked"`
	Reason   string `json:"reason"`
	InFlight int    `json:"in_flight"`
	// Bound is the number of requests that this box may currently have in flight on the member.
	Bound    int `json:"bound"`
	Reported int `json:"reported"`
	Weight   int `json:"weight"`
	// Owner is the box that counts the requests of all boxes on the member.
	Owner string `json:"owner,omitempty"`
}

// Values of Explanation.Reason.
const (
	ReasonOpen     = "open"
	ReasonDraining = "leaving"
	ReasonEjected  = "ejected"
	ReasonNoWeight = "weight is 0"
	ReasonSlots    = "at this box's part of its slots"
	ReasonBound    = "at this box's part of the load bound"
)

// Explain returns the members in rank order for a key, highest ranked first, and marks the one that
// the policy currently picks. It omits members with table weight 0 and does not set Owner.
func (p Policy) Explain(v *View, key Key) []Explanation {
	order := []int{}
	for i := range v.Members {
		if v.Members[i].TableWeight > 0 {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		x, y := &v.Members[a], &v.Members[b]
		return cmp.Compare(score(key, x.ID, x.TableWeight), score(key, y.ID, y.TableWeight))
	})
	copied := *v
	picked, err := p.Pick(&copied, key, Tried{})
	explanations := make([]Explanation, 0, len(order))
	for rank, position := range order {
		m := &v.Members[position]
		explanations = append(explanations, Explanation{
			Rank: rank + 1, Name: m.Name, Picked: err == nil && position == picked,
			Reason: v.reason(position), InFlight: m.InFlight,
			Bound: int(v.boundShare(m)), Reported: m.Reported, Weight: m.Weight / weightUnit,
		})
	}
	return explanations
}

func (v *View) reason(position int) string {
	m := &v.Members[position]
	switch {
	case m.Draining:
		return ReasonDraining
	case m.Ejected:
		return ReasonEjected
	case m.Weight <= 0:
		return ReasonNoWeight
	case m.Used >= m.slotShare:
		return ReasonSlots
	case !v.withinLocalBound(position):
		return ReasonBound
	default:
		return ReasonOpen
	}
}
