package tablefile

import (
	"maps"
	"slices"

	"dooryard.example/dooryard/internal/operators"
	"dooryard.example/dooryard/internal/table"
)

// Baseline is the current table with its history, to which a file is compared.
type Baseline struct {
	Table   operators.TableResponse
	History []table.HistoryEntry
}

// Diff returns the changes that turn the current table into that of the file.
// It skips a cell that others changed since the export if the file still has the
// exported value. If both sides changed a cell, it returns a change that the table
// rejects as a conflict, reporting both values. Rows that are missing in the file
// are removed only if prune is set.
func Diff(file File, current Baseline, prune bool) []table.Change {
	changes := []table.Change{}
	for _, sheet := range current.Table.Sheets {
		wanted, present := file.Sheets[sheet.Name]
		if !present {
			continue
		}
		changes = append(changes, sheetChanges(file, wanted, sheet, current.History)...)
		if prune {
			changes = append(changes, removals(wanted, sheet)...)
		}
	}
	return changes
}

func sheetChanges(file File, wanted Rows, sheet operators.Sheet, history []table.HistoryEntry) []table.Change {
	cells := map[string]map[string]table.Cell{}
	for _, row := range sheet.Rows {
		cells[row.Name] = map[string]table.Cell{}
		for i, cell := range row.Cells {
			cells[row.Name][sheet.Columns[i]] = cell
		}
	}
	changes := []table.Change{}
	for _, row := range slices.Sorted(maps.Keys(wanted)) {
		for _, column := range sheet.Columns {
			value, present := wanted[row][column]
			cell := cells[row][column]
			if !present || value == cell.Value {
				continue
			}
			change := table.Change{Sheet: sheet.Name, Row: row, Column: column, Value: value, BasedOn: cell.Revision}
			if !rebase(&change, file.Offset, cell, history) {
				continue
			}
			changes = append(changes, change)
		}
	}
	return changes
}

// rebase adjusts the base revision of a change to the state that was exported at
// the given offset. It reports whether the change is needed: it is not if the
// cell changed since then and the file still has the exported value.
func rebase(change *table.Change, offset int64, cell table.Cell, history []table.HistoryEntry) bool {
	if offset == 0 || cell.Revision <= offset {
		return true
	}
	if valueAt(change.Address(), offset, history) == change.Value {
		return false
	}
	change.BasedOn = unknownRevision
	return true
}

// unknownRevision is a revision that no cell has. The table rejects a change that
// is based on it as a conflict.
const unknownRevision = -1

// valueAt returns the value of a cell when the table was at an offset.
func valueAt(address string, offset int64, history []table.HistoryEntry) string {
	for _, entry := range history {
		if entry.Offset < offset {
			continue
		}
		for i, change := range entry.Changes {
			if change.Address() == address {
				return entry.PreviousValues[i]
			}
		}
	}
	return ""
}

func removals(wanted Rows, sheet operators.Sheet) []table.Change {
	changes := []table.Change{}
	for _, row := range sheet.Rows {
		if _, kept := wanted[row.Name]; kept {
			continue
		}
		newest := int64(0)
		for _, cell := range row.Cells {
			newest = max(newest, cell.Revision)
		}
		changes = append(changes, table.Change{Sheet: sheet.Name, Row: row.Name, Remove: true, BasedOn: newest})
	}
	return changes
}
