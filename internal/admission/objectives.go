package admission

import "dooryard.example/dooryard/internal/clock"

const (
	// objectiveTTLMs is how long a kind of request counts for the target after its last ask.
	objectiveTTLMs = 10 * clock.Second
	// defaultObjectiveMs holds while no ask with an objective is known.
	defaultObjectiveMs = clock.Second
	maxKinds           = 64
	// kindStepMs tolerates that a box reads its clock between the two times of an ask.
	kindStepMs clock.Millis = 100
)

// kind identifies requests of one objective by urgency and by the time between objective and time limit, which is the
// same for a caller's first request and when it returns after a refusal.
type kind struct {
	urgency int
	slack   clock.Millis
}

type objective struct {
	ms, seenMs clock.Millis
}

// objectives finds the objectives of the kinds of request in a pool. An ask tells only the time that is left, so the
// objective of a kind is the longest time that was left recently.
type objectives struct {
	kinds map[kind]objective
}

// observe records an ask and returns the objective of its kind.
func (o *objectives) observe(a Ask, now clock.Millis) clock.Millis {
	if o.kinds == nil {
		o.kinds = map[kind]objective{}
	}
	k := kind{urgency: a.Urgency, slack: (a.PatienceMs - a.InTimeMs + kindStepMs/2) / kindStepMs}
	known, found := o.kinds[k]
	if !found && a.Force {
		// What is left to a retry says nothing of the objective.
		return max(0, a.InTimeMs)
	}
	if !found {
		o.evict(now)
		if len(o.kinds) >= maxKinds {
			return max(0, a.InTimeMs)
		}
	}
	if a.InTimeMs >= known.ms || now-known.seenMs > objectiveTTLMs {
		known = objective{ms: max(0, a.InTimeMs), seenMs: now}
		o.kinds[k] = known
	} else if a.InTimeMs > known.ms-kindStepMs {
		known.seenMs = now
		o.kinds[k] = known
	}
	return known.ms
}

func (o *objectives) evict(now clock.Millis) {
	for k, known := range o.kinds {
		if now-known.seenMs > objectiveTTLMs {
			delete(o.kinds, k)
		}
	}
}

// targetMs is the backlog up to which requests are granted: half of the shortest objective, so that an urgent request
// finds an engine at most that far behind.
func (o *objectives) targetMs(now clock.Millis) float64 {
	shortest := clock.Millis(0)
	for _, known := range o.kinds {
		if known.ms > 0 && now-known.seenMs <= objectiveTTLMs && (shortest == 0 || known.ms < shortest) {
			shortest = known.ms
		}
	}
	if shortest == 0 {
		shortest = defaultObjectiveMs
	}
	return float64(shortest) / 2
}
