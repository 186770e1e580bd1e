package table

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// encodedState is the JSON form of a State. encoding/json sorts the keys of maps,
// so equal states have equal encodings. The JSON names are part of the snapshot
// format and must not change.
type encodedState struct {
	Offset           int64                        `json:"offset"`
	Columns          map[string][]string          `json:"columns"`
	Sheets           map[string]map[string][]Cell `json:"sheets"`
	PreviousVerdicts map[string]Verdict           `json:"old_verdicts"`
	CurrentVerdicts  map[string]Verdict           `json:"young_verdicts"`
	History          []HistoryEntry               `json:"history"`
}

// Encode returns the complete state as JSON. Two boxes that applied the same log
// up to the same offset return the same bytes.
func (s *State) Encode() ([]byte, error) {
	encoded := encodedState{
		Offset: s.offset, Columns: map[string][]string{}, Sheets: map[string]map[string][]Cell{},
		PreviousVerdicts: s.recent.previous, CurrentVerdicts: s.recent.current, History: s.history,
	}
	for name, rows := range s.sheets {
		encoded.Columns[name] = Columns(name)
		encoded.Sheets[name] = map[string][]Cell{}
		for rowName, r := range rows {
			encoded.Sheets[name][rowName] = r.cells
		}
	}
	data, err := json.Marshal(encoded)
	if err != nil {
		return nil, fmt.Errorf("encode table: %w", err)
	}
	return data, nil
}

// Decode restores a state from the output of Encode. It rejects columns that this
// version does not know, because dropping them would lose accepted edits.
func Decode(data []byte) (*State, error) {
	var encoded encodedState
	if err := json.Unmarshal(data, &encoded); err != nil {
		return nil, fmt.Errorf("%w: table state: %w", ErrMalformed, err)
	}
	if encoded.Offset < 0 || encoded.PreviousVerdicts == nil || encoded.CurrentVerdicts == nil {
		return nil, fmt.Errorf("%w: table state: missing or invalid offset or verdicts", ErrMalformed)
	}
	s := New()
	s.offset = encoded.Offset
	s.recent = &recentVerdicts{previous: encoded.PreviousVerdicts, current: encoded.CurrentVerdicts}
	s.history = encoded.History
	for name, rows := range encoded.Sheets {
		if err := s.restoreSheet(name, encoded.Columns[name], rows); err != nil {
			return nil, err
		}
	}
	s.rebuildTyped(New(), s.allRowNames())
	return s, nil
}

func (s *State) restoreSheet(name string, columnNames []string, rows map[string][]Cell) error {
	columns, known := schema[name]
	if !known {
		return fmt.Errorf("%w: table state: unknown sheet %q", ErrMalformed, name)
	}
	indexes := make([]int, len(columnNames))
	for i, columnName := range columnNames {
		indexes[i] = columns.index(columnName)
		if indexes[i] < 0 {
			return fmt.Errorf("%w: table state: unknown column %s/%s", ErrMalformed, name, columnName)
		}
	}
	for rowName, cells := range rows {
		if len(cells) != len(indexes) {
			return fmt.Errorf("%w: table state: row %s/%s has %d cells", ErrMalformed, name, rowName, len(cells))
		}
		restored := &row{columns: columns, cells: make([]Cell, len(columns))}
		for i, cell := range cells {
			if err := CheckCell(name, rowName, columnNames[i], cell.Value); err != nil {
				return fmt.Errorf("table state: %w", err)
			}
			restored.cells[indexes[i]] = cell
		}
		if missing := restored.missingCells(name + "/" + rowName); len(missing) > 0 {
			return fmt.Errorf("%w: table state: %s: %s", ErrMalformed, missing[0].Address, missing[0].Reason)
		}
		s.sheets[name][rowName] = restored
	}
	return nil
}

func (s *State) allRowNames() map[string]map[string]bool {
	names := map[string]map[string]bool{}
	for name, rows := range s.sheets {
		names[name] = map[string]bool{}
		for _, rowName := range slices.Collect(maps.Keys(rows)) {
			names[name][rowName] = true
		}
	}
	return names
}
