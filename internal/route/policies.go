package route

// Names of the policies.
const (
	PolicyRandom          = "random"
	PolicyRoundRobin      = "round-robin"
	PolicyLeastReported   = "least-reported"
	PolicyTwoChoices      = "two-choices"
	PolicyRendezvous      = "rendezvous"
	PolicyRendezvousBound = "rendezvous-own-bound"
	// PolicyGrants asks the boxes that own the engines for slots. Package picker implements it.
	// Without grants, and for services other than engines, PolicyRendezvousBound is used instead.
	PolicyGrants = "grants"
)

// DefaultPolicy is the policy of a box whose settings name none.
const DefaultPolicy = PolicyGrants

// Policies returns the policies that need only a box's own view. The first ones serve as baselines
// in benchmarks.
func Policies() []Policy {
	return []Policy{
		{Name: PolicyRandom, pick: pickRandom},
		{Name: PolicyRoundRobin, pick: pickRoundRobin},
		{Name: PolicyLeastReported, pick: pickLeastReported},
		{Name: PolicyTwoChoices, pick: pickTwoChoices},
		{Name: PolicyRendezvous, pick: pickRendezvous},
		{Name: PolicyRendezvousBound, pick: pickRendezvousOwnBound},
	}
}

// nextRandom returns a pseudorandom 64-bit number that differs between calls.
func (v *View) nextRandom(key Key) uint64 {
	v.sequence++
	return mix(uint64(key) ^ v.sequence*0x9e3779b97f4a7c15)
}

// firstOpenFrom returns the first open member at or after a position, wrapping around at the end.
func (v *View) firstOpenFrom(start int, tried Tried) int {
	for i := range v.Members {
		position := (start + i) % len(v.Members)
		if v.open(position, tried) {
			return position
		}
	}
	return none
}

func pickRandom(v *View, key Key, tried Tried) int {
	if len(v.Members) == 0 {
		return none
	}
	return v.firstOpenFrom(int(v.nextRandom(key)%uint64(len(v.Members))), tried)
}

func pickRoundRobin(v *View, _ Key, tried Tried) int {
	if len(v.Members) == 0 {
		return none
	}
	v.sequence++
	return v.firstOpenFrom(int(v.sequence%uint64(len(v.Members))), tried)
}

func reportedLoad(m *Member) int { return m.Reported }

func pickLeastReported(v *View, _ Key, tried Tried) int {
	return v.leastLoaded(tried, reportedLoad)
}

func pickTwoChoices(v *View, key Key, tried Tried) int {
	first := pickRandom(v, key, tried)
	second := pickRandom(v, key, tried)
	if first == none || v.lessLoaded(second, first) {
		return second
	}
	return first
}

func (v *View) lessLoaded(a, b int) bool {
	x, y := &v.Members[a], &v.Members[b]
	return (x.Reported+x.InFlight)*y.Weight < (y.Reported+y.InFlight)*x.Weight
}

func always(*View, int) bool { return true }

func pickRendezvous(v *View, key Key, tried Tried) int {
	return v.firstByScore(key, tried, always)
}

func pickRendezvousOwnBound(v *View, key Key, tried Tried) int {
	position := v.firstByScore(key, tried, (*View).withinLocalBound)
	if position != none {
		return position
	}
	return v.leastLoaded(tried, ownLoad)
}

func ownLoad(m *Member) int { return m.InFlight }
