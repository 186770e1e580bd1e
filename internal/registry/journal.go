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
}

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
	j.changes = slices.Clone(j.changes[excess:])
}

// reach notes that everything up to a position was taken in as a whole, so that
// single changes before it may be missing.
func (j *journal) reach(upTo position.Position) {
	j.position = position.Max(j.position, upTo)
	j.from = position.Max(j.from, upTo)
}

// since returns the changes after a position, or false when some are missing. Boxes that stand in
// an era before may have known what the store has lost.
func (j *journal) since(after position.Position) ([]Change, bool) {
	if after.Before(j.from) || !after.IsZero() && after.Era < j.position.Era {
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
