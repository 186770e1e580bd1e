package tablefile

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/operators"
	"dooryard.example/dooryard/internal/table"
)

// applyEdits applies edits, each a list of changes, to an empty table. It returns
// the state and the reply that operators get.
func applyEdits(t *testing.T, edits ...[]table.Change) (*table.State, Baseline) {
	t.Helper()
	state := table.New()
	for i, changes := range edits {
		data, err := json.Marshal(table.Edit{ID: string(rune('a' + i)), Changes: changes})
		require.NoError(t, err)
		var verdict table.Verdict
		state, verdict = state.Apply(state.Offset(), data)
		require.Equal(t, table.Accepted, verdict.Result, "%+v", verdict)
	}
	return state, Baseline{Table: operators.NewTableResponse(state), History: state.History()}
}

func change(row, column, value string, basedOn int64) table.Change {
	return table.Change{Sheet: table.Models, Row: row, Column: column, Value: value, BasedOn: basedOn}
}

func firstEdit() []table.Change {
	return []table.Change{change("m", "deadline_ms", "100", 0), change("n", "deadline_ms", "200", 0)}
}

func TestRoundTrip(t *testing.T) {
	_, current := applyEdits(t, firstEdit())
	file := FromTable(current.Table)
	t.Run("through YAML yields no changes", func(t *testing.T) {
		data, err := file.EncodeYAML()
		require.NoError(t, err)
		decoded, err := DecodeYAML("f", data)
		require.NoError(t, err)
		assert.Empty(t, Diff(decoded, current, true))
	})
	t.Run("through CSV yields no changes", func(t *testing.T) {
		data, err := file.EncodeCSV(table.Models)
		require.NoError(t, err)
		decoded, err := DecodeCSV("f", table.Models, data)
		require.NoError(t, err)
		assert.Empty(t, Diff(decoded, current, true))
	})
	t.Run("of an edited CSV file yields the edited cells", func(t *testing.T) {
		data, err := file.EncodeCSV(table.Models)
		require.NoError(t, err)
		decoded, err := DecodeCSV("f", table.Models, []byte(strings.Replace(string(data), "n,200", "n,300", 1)))
		require.NoError(t, err)
		assert.Equal(t, []table.Change{change("n", "deadline_ms", "300", 1)}, Diff(decoded, current, true))
	})
	t.Run("decodes the example table", func(t *testing.T) {
		data, err := os.ReadFile("../../examples/three-boxes/table.yaml")
		require.NoError(t, err)
		decoded, err := DecodeYAML("table.yaml", data)
		require.NoError(t, err)
		assert.Len(t, decoded.Sheets[table.Upstreams], 4)
	})
}

func TestImportAfterOthersEdited(t *testing.T) {
	_, exported := applyEdits(t, firstEdit())
	file := FromTable(exported.Table)
	_, current := applyEdits(t, firstEdit(), []table.Change{change("m", "deadline_ms", "150", 1)})
	t.Run("skips cells that only they changed", func(t *testing.T) {
		assert.Empty(t, Diff(file, current, false))
	})
	t.Run("conflicts on cells that both changed", func(t *testing.T) {
		file := FromTable(exported.Table)
		file.Sheets[table.Models]["m"]["deadline_ms"] = "111"
		changes := Diff(file, current, false)
		require.Len(t, changes, 1)
		state, _ := applyEdits(t, firstEdit(), []table.Change{change("m", "deadline_ms", "150", 1)})
		data, err := json.Marshal(table.Edit{ID: "z", Changes: changes})
		require.NoError(t, err)
		_, verdict := state.Apply(state.Offset(), data)
		assert.Equal(t, table.Conflict, verdict.Result)
		assert.Equal(t, "150", verdict.Issues[0].Current)
	})
	t.Run("removes rows only if prune is set", func(t *testing.T) {
		file := FromTable(exported.Table)
		delete(file.Sheets[table.Models], "n")
		assert.Empty(t, Diff(file, exported, false))
		changes := Diff(file, exported, true)
		require.Len(t, changes, 1)
		assert.True(t, changes[0].Remove)
	})
}

func TestUndo(t *testing.T) {
	undo := func(t *testing.T, edits ...[]table.Change) *table.State {
		t.Helper()
		state, current := applyEdits(t, edits...)
		changes := Undo(state.History()[len(state.History())-1], current.Table)
		state, _ = applyEdits(t, append(edits, changes)...)
		return state
	}
	t.Run("restores the previous values of cells", func(t *testing.T) {
		state := undo(t, firstEdit(), []table.Change{change("m", "deadline_ms", "150", 1)})
		assert.EqualValues(t, 100, state.Model("m").DeadlineMs)
	})
	t.Run("removes rows that the edit created", func(t *testing.T) {
		assert.Nil(t, undo(t, firstEdit()).Model("m"))
	})
	t.Run("restores rows that the edit removed", func(t *testing.T) {
		state := undo(t, firstEdit(), []table.Change{{Sheet: table.Models, Row: "m", Remove: true, BasedOn: 1}})
		assert.EqualValues(t, 100, state.Model("m").DeadlineMs)
	})
}

func TestErrorsNameTheLine(t *testing.T) {
	t.Run("in YAML", func(t *testing.T) {
		_, err := DecodeYAML("f.yaml", []byte("models:\n  m:\n    deadline_ms: soon\n"))
		require.ErrorIs(t, err, ErrMalformed)
		assert.Contains(t, err.Error(), "f.yaml:3: ")
	})
	t.Run("in CSV", func(t *testing.T) {
		_, err := DecodeCSV("f.csv", table.Models, []byte("row,deadline_ms\nm,1\nm,2\n"))
		require.ErrorIs(t, err, ErrMalformed)
		assert.Contains(t, err.Error(), "f.csv:3: row \"m\": duplicate")
	})
	t.Run("of an unknown sheet", func(t *testing.T) {
		_, err := DecodeYAML("f.yaml", []byte("modles:\n  m:\n    deadline_ms: 1\n"))
		assert.ErrorIs(t, err, ErrMalformed)
	})
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("models:\n  m:\n    deadline_ms: 1\n"))
	f.Add([]byte("row,deadline_ms,offset\nm,1,4\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := DecodeYAML("f", data); err != nil {
			require.ErrorIs(t, err, ErrMalformed)
		}
		if _, err := DecodeCSV("f", table.Models, data); err != nil {
			require.ErrorIs(t, err, ErrMalformed)
		}
	})
}
