package table

import "maps"

// generationSize is how many verdicts one generation keeps. Between one and two
// generations are remembered, which is hours at the target's rate of edits. An
// even later second copy still changes nothing: its own first copy has moved the
// revisions that it is based on, so it meets a conflict.
const generationSize = 2048

// recentEdits remembers the verdicts of the newest edits in two generations. It
// is immutable and a pure function of the log, so that snapshots carry it whole.
type recentEdits struct {
	old, young map[string]Verdict
}

func newRecentEdits() *recentEdits {
	return &recentEdits{old: map[string]Verdict{}, young: map[string]Verdict{}}
}

func (r *recentEdits) find(id string) (Verdict, bool) {
	if verdict, found := r.young[id]; found {
		return verdict, true
	}
	verdict, found := r.old[id]
	return verdict, found
}

func (r *recentEdits) with(verdict Verdict) *recentEdits {
	next := &recentEdits{old: r.old, young: r.young}
	if len(r.young) >= generationSize {
		next.old = r.young
		next.young = map[string]Verdict{}
	}
	next.young = maps.Clone(next.young)
	next.young[verdict.ID] = verdict
	return next
}
