package balance

import (
	"slices"

	"dooryard.example/dooryard/internal/clock"
)

// Passed is an engine that comes first for a session and was not taken, and why.
type Passed struct {
	// Upstream is the engine's ID, or "" when the first one was taken.
	Upstream string
	Why      PassedWhy
}

// PassedWhy says why an engine was passed over.
type PassedWhy string

// Reasons for passing an engine over.
const (
	// PassedTried means that the request was sent there before.
	PassedTried PassedWhy = "tried before"
	// PassedLeaving means that the engine leaves.
	PassedLeaving PassedWhy = "leaving"
	// PassedRest means that the engine asked this box for rest.
	PassedRest PassedWhy = "at rest"
	// PassedEjected means that the engine failed, and is out of its pool or tried by
	// single requests only.
	PassedEjected PassedWhy = "ejected"
	// PassedDomain means that the path to its failure domain is cut.
	PassedDomain PassedWhy = "failure domain unreachable"
	// PassedSpread means that the session needs several engines, of which one was drawn.
	PassedSpread PassedWhy = "one of several for a popular session"
	// PassedLoad means that the engine holds as much as it may.
	PassedLoad PassedWhy = "over the load bound"
)

// passedOver is the first engine in the session's order of all, unless it is the one
// that was taken.
func (m *Manager) passedOver(taken *Lease, a Ask, now clock.Millis) Passed {
	first := rank(a.Prompt.Session(), m.pools[a.Pool])[0]
	if first == taken.Member {
		return Passed{}
	}
	why := m.whyPassed(first, a, now)
	if why == PassedLoad && taken.Spread > 1 {
		why = PassedSpread
	}
	return Passed{Upstream: first.ID, Why: why}
}

func (m *Manager) whyPassed(member *Member, a Ask, now clock.Millis) PassedWhy {
	switch {
	case slices.Contains(a.Tried, member.ID):
		return PassedTried
	case member.leaves():
		return PassedLeaving
	case member.said.resting(now):
		return PassedRest
	case m.pathTo(member.FailureDomain).cut:
		return PassedDomain
	case !member.open(now):
		return PassedEjected
	default:
		return PassedLoad
	}
}
