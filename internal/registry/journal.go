package registry

import (
	"slices"

	"dooryard.example/dooryard/internal/position"
)

// journalLength is how many changes a registry can at least tell other boxes one by
// one: more than come while a box misses a few rounds.
const journalLength = 256

// journal is the newest changes.
type journal struct {
	position position.Position
	// from is the position after which no change is missing.
	from    position.Position
	changes []Change
	// former is the stretch of the era before from within which no change is missing either:
	// a box that stands there needs no whole list when the store comes back from a copy.
	former stretch
}

// stretch is the positions from one to another, both included.
type stretch struct{ from, to position.Position }

func (s stretch) holds(p position.Position) bool { return !p.Before(s.from) && !s.to.Before(p) }

func (j *journal) add(c Change) {
	j.changes = append(j.changes, c)
	j.position = position.Max(j.position, c.Position)
	if len(j.changes) < 2*journalLength {
		return
	}
	// The older half goes at once, so that a long list costs one copy now and then.
	excess := len(j.changes) - journalLength
	for _, dropped := range j.changes[:excess] {
		j.from = position.Max(j.from, dropped.Position)
	}
	j.former = stretch{}
	j.changes = slices.Clone(j.changes[excess:])
}

// reach notes that everything up to a position was taken in as a whole, when the journal stood
// at another one, so that single changes between the two may be missing.
func (j *journal) reach(before, upTo position.Position) {
	if before.Era < upTo.Era {
		j.former = stretch{from: j.from, to: before}
	}
	j.position = position.Max(j.position, upTo)
	j.from = position.Max(j.from, upTo)
}

// since returns the changes after a position, or false when some are missing.
func (j *journal) since(after position.Position) ([]Change, bool) {
	if after.Before(j.from) && (after.IsZero() || !j.former.holds(after)) {
		return nil, false
	}
	changes := []Change{}
	for _, c := range j.changes {
		if after.Before(c.Position) {
			changes = append(changes, c)
		}
	}
	return changes, true
}
