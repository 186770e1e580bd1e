package table

import "maps"

// generationSize is the number of verdicts in one full generation. The state
// keeps between one and two generations, which cover hours at the target rate of
// edits. A duplicate that arrives even later still changes nothing: its original
// advanced the revisions that both are based on, so it is rejected as a conflict.
const generationSize = 2048

// recentVerdicts holds the verdicts on the newest edits in two generations. It is
// immutable. It depends only on the log, so snapshots include all of it.
type recentVerdicts struct {
	previous, current map[string]Verdict
}

func newRecentVerdicts() *recentVerdicts {
	return &recentVerdicts{previous: map[string]Verdict{}, current: map[string]Verdict{}}
}

func (r *recentVerdicts) lookup(id string) (Verdict, bool) {
	if verdict, found := r.current[id]; found {
		return verdict, true
	}
	verdict, found := r.previous[id]
	return verdict, found
}

func (r *recentVerdicts) with(verdict Verdict) *recentVerdicts {
	next := &recentVerdicts{previous: r.previous, current: r.current}
	if len(r.current) >= generationSize {
		next.previous = r.current
		next.current = map[string]Verdict{}
	}
	next.current = maps.Clone(next.current)
	next.current[verdict.ID] = verdict
	return next
}
