package registry

import (
	"slices"

	"dooryard.example/dooryard/internal/position"
)

// minJournalLength is the minimum number of changes that a registry can send to other boxes
// one by one. It exceeds the number of changes that arrive while a box misses a few gossip
// rounds.
const minJournalLength = 256

// journal keeps the most recent changes.
type journal struct {
	// position is the position up to which every change was applied. The journal may hold later changes, which a list
	// that is no snapshot of the log has shown.
	position position.Position
	// completeFrom is the position after which the journal holds every change.
	completeFrom position.Position
	changes      []Change
}

func (j *journal) add(c Change) {
	j.changes = append(j.changes, c)
	if len(j.changes) < 2*minJournalLength {
		return
	}
	// Drops the older half at once, so that a long journal is copied only rarely.
	excess := len(j.changes) - minJournalLength
	for _, dropped := range j.changes[:excess] {
		j.completeFrom = position.Max(j.completeFrom, dropped.Position)
	}
	j.changes = slices.Clone(j.changes[excess:])
}

// advance records that every change up to a position was applied.
func (j *journal) advance(upTo position.Position) { j.position = position.Max(j.position, upTo) }

// skipTo records that everything up to a position was applied as a snapshot. Individual
// changes before it may be missing from the journal.
func (j *journal) skipTo(upTo position.Position) {
	j.advance(upTo)
	j.completeFrom = position.Max(j.completeFrom, upTo)
}

// since returns the changes after a position, up to that of the journal, or false if some are missing. It
// also returns false for a position of an earlier era: a box at such a position may know changes that the
// store has lost.
func (j *journal) since(after position.Position) ([]Change, bool) {
	if after.Before(j.completeFrom) || !after.IsZero() && after.Era < j.position.Era {
		return nil, false
	}
	changes := []Change{}
	for _, c := range j.changes {
		if after.Before(c.Position) && !j.position.Before(c.Position) {
			changes = append(changes, c)
		}
	}
	return changes, true
}
