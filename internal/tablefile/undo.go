package tablefile

import (
	"dooryard.example/dooryard/internal/operators"
	"dooryard.example/dooryard/internal/table"
)

// Undo returns the changes that revert an accepted edit. They conflict on cells
// that were changed again since. A row that the edit created is removed, and a
// row that it removed is restored.
func Undo(entry table.HistoryEntry, current operators.TableResponse) []table.Change {
	changes := []table.Change{}
	removed := map[string]bool{}
	for i, change := range entry.Changes {
		row := change.Sheet + "/" + change.Row
		switch {
		case change.Remove:
			changes = append(changes, restoreRow(change, entry.Removed[row])...)
		case removed[row]:
		case wasEmpty(entry, row) && createdBy(entry, change, current):
			removed[row] = true
			changes = append(changes, table.Change{
				Sheet: change.Sheet, Row: change.Row, Remove: true, BasedOn: entry.Offset + 1,
			})
		default:
			changes = append(changes, table.Change{
				Sheet: change.Sheet, Row: change.Row, Column: change.Column,
				Value: entry.PreviousValues[i], BasedOn: entry.Offset + 1,
			})
		}
	}
	return changes
}

func restoreRow(change table.Change, values []string) []table.Change {
	changes := []table.Change{}
	for i, column := range table.Columns(change.Sheet) {
		if i < len(values) && values[i] != "" {
			changes = append(changes, table.Change{
				Sheet: change.Sheet, Row: change.Row, Column: column, Value: values[i],
			})
		}
	}
	return changes
}

// wasEmpty reports whether all cells of a row that the edit changed were empty
// before it.
func wasEmpty(entry table.HistoryEntry, row string) bool {
	for i, change := range entry.Changes {
		if change.Sheet+"/"+change.Row == row && entry.PreviousValues[i] != "" {
			return false
		}
	}
	return true
}

// createdBy reports whether the edit set every non-empty cell of the current row.
func createdBy(entry table.HistoryEntry, change table.Change, current operators.TableResponse) bool {
	for _, sheet := range current.Sheets {
		if sheet.Name != change.Sheet {
			continue
		}
		for _, row := range sheet.Rows {
			if row.Name == change.Row {
				return allSetAt(row.Cells, entry.Offset+1)
			}
		}
	}
	return false
}

func allSetAt(cells []table.Cell, revision int64) bool {
	for _, cell := range cells {
		if cell.Revision != 0 && cell.Revision != revision {
			return false
		}
	}
	return true
}
