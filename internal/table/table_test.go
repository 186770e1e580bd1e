package table_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dooryard.example/dooryard/internal/table"
)

func set(row, column, value string, basedOn int64) table.Change {
	return table.Change{Sheet: table.Organisations, Row: row, Column: column, Value: value, BasedOn: basedOn}
}

func hash(digit string) string { return strings.Repeat(digit, 64) }

// applyEdits applies edits in order and returns the final state and the last
// verdict.
func applyEdits(t require.TestingT, state *table.State, edits ...table.Edit) (*table.State, table.Verdict) {
	verdict := table.Verdict{}
	for _, edit := range edits {
		data, err := json.Marshal(edit)
		require.NoError(t, err)
		state, verdict = state.Apply(state.Offset(), data)
	}
	return state, verdict
}

func edit(id string, changes ...table.Change) table.Edit {
	return table.Edit{ID: id, Operator: "test", Changes: changes}
}

// newTableWithChoir returns a table with the single organisation "choir", at
// offset 1.
func newTableWithChoir(t require.TestingT) *table.State {
	state, verdict := applyEdits(t, table.New(), edit("first", set("choir", "key_sha256", hash("a"), 0)))
	require.Equal(t, table.Accepted, verdict.Result)
	return state
}

func assertRejected(t *testing.T, verdict table.Verdict, result table.Result, address, reason string) {
	t.Helper()
	assert.Equal(t, result, verdict.Result)
	require.NotEmpty(t, verdict.Issues)
	assert.Equal(t, address, verdict.Issues[0].Address)
	assert.Contains(t, verdict.Issues[0].Reason, reason)
}

func TestApply(t *testing.T) {
	t.Run("accepts an edit and rebuilds the typed row", func(t *testing.T) {
		state, verdict := applyEdits(t, newTableWithChoir(t), edit("e", set("choir", "weight", "7", 0)))
		assert.Equal(t, table.Accepted, verdict.Result)
		assert.Equal(t, 7, state.Organisation("choir").Weight)
		assert.Equal(t, "choir", state.OrganisationByKeyHash(hash("a")).Name)
	})
	t.Run("accepts the first of two edits of a cell and returns both values to the second", func(t *testing.T) {
		state, _ := applyEdits(t, newTableWithChoir(t), edit("one", set("choir", "weight", "7", 0)))
		state, verdict := applyEdits(t, state, edit("two", set("choir", "weight", "8", 0)))
		assertRejected(t, verdict, table.Conflict, "organisations/choir/weight", "changed since")
		assert.Equal(t, "8", verdict.Issues[0].Wanted)
		assert.Equal(t, "7", verdict.Issues[0].Current)
		assert.Equal(t, 7, state.Organisation("choir").Weight)
	})
	t.Run("accepts two edits of different cells", func(t *testing.T) {
		state, verdict := applyEdits(t, newTableWithChoir(t),
			edit("one", set("choir", "weight", "7", 0)), edit("two", set("choir", "priority", "3", 0)))
		assert.Equal(t, table.Accepted, verdict.Result)
		assert.Equal(t, 7, state.Organisation("choir").Weight)
		assert.Equal(t, 3, state.Organisation("choir").Priority)
	})
	t.Run("applies the changes of an edit atomically", func(t *testing.T) {
		state, _ := applyEdits(t, newTableWithChoir(t), edit("one", set("choir", "weight", "7", 0)))
		state, verdict := applyEdits(t, state, edit("two", set("choir", "priority", "3", 0), set("choir", "weight", "8", 0)))
		assert.Equal(t, table.Conflict, verdict.Result)
		assert.Zero(t, state.Organisation("choir").Priority)
	})
	t.Run("ignores a duplicate edit", func(t *testing.T) {
		one := edit("one", set("choir", "weight", "7", 0))
		state, verdict := applyEdits(t, newTableWithChoir(t), one, one)
		assert.Empty(t, verdict.ID)
		known, found := state.Verdict("one")
		assert.True(t, found)
		assert.Equal(t, table.Accepted, known.Result)
	})
	t.Run("reports row, column and reason of an invalid value", func(t *testing.T) {
		_, verdict := applyEdits(t, newTableWithChoir(t), edit("e", set("choir", "weight", "many", 0)))
		assertRejected(t, verdict, table.Invalid, "organisations/choir/weight", `"many" is not a whole number`)
	})
	t.Run("rejects a row that lacks a required cell", func(t *testing.T) {
		_, verdict := applyEdits(t, table.New(), edit("e", set("band", "weight", "1", 0)))
		assertRejected(t, verdict, table.Invalid, "organisations/band/key_sha256", "required")
	})
	t.Run("rejects a key of another organisation", func(t *testing.T) {
		_, verdict := applyEdits(t, newTableWithChoir(t), edit("e", set("band", "key_sha256", hash("a"), 0)))
		assertRejected(t, verdict, table.Invalid, "organisations/band/key_sha256", "another organisation")
	})
	t.Run("rejects an edit that assigns one key to two organisations", func(t *testing.T) {
		_, verdict := applyEdits(t, table.New(), edit("e",
			set("choir", "key_sha256", hash("a"), 0), set("band", "key_sha256", hash("a"), 0)))
		assertRejected(t, verdict, table.Invalid, "organisations/choir/key_sha256", "another organisation")
	})
	t.Run("accepts an edit that swaps the keys of two organisations", func(t *testing.T) {
		state, _ := applyEdits(t, newTableWithChoir(t), edit("b", set("band", "key_sha256", hash("b"), 0)))
		state, verdict := applyEdits(t, state, edit("e",
			set("choir", "key_sha256", hash("b"), 1), set("band", "key_sha256", hash("a"), 2)))
		assert.Equal(t, table.Accepted, verdict.Result)
		assert.Equal(t, "band", state.OrganisationByKeyHash(hash("a")).Name)
		assert.Equal(t, "choir", state.OrganisationByKeyHash(hash("b")).Name)
	})
	t.Run("removes a row only if it is unchanged since it was read", func(t *testing.T) {
		remove := table.Change{Sheet: table.Organisations, Row: "choir", Remove: true, BasedOn: 1}
		changed, _ := applyEdits(t, newTableWithChoir(t), edit("w", set("choir", "weight", "7", 0)))
		_, verdict := applyEdits(t, changed, edit("r", remove))
		assert.Equal(t, table.Conflict, verdict.Result)
		state, verdict := applyEdits(t, newTableWithChoir(t), edit("r", remove))
		assert.Equal(t, table.Accepted, verdict.Result)
		assert.Nil(t, state.Organisation("choir"))
		assert.Nil(t, state.OrganisationByKeyHash(hash("a")))
	})
	t.Run("skips a malformed record", func(t *testing.T) {
		state, verdict := newTableWithChoir(t).Apply(1, []byte(`{"id":""}`))
		assert.Empty(t, verdict.ID)
		assert.EqualValues(t, 2, state.Offset())
	})
}

// drawEdit draws an edit with a few changes, some of them based on an outdated
// revision.
func drawEdit(t *rapid.T, state *table.State, number int) table.Edit {
	drawn := table.Edit{ID: fmt.Sprint("e", rapid.IntRange(max(0, number-3), number).Draw(t, "id")), Operator: "o"}
	for range rapid.IntRange(1, 3).Draw(t, "changes") {
		row := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "row")
		column := rapid.SampledFrom([]string{"key_sha256", "weight", "priority"}).Draw(t, "column")
		value := rapid.SampledFrom([]string{"", "1", "9", "x", hash("a"), hash("b")}).Draw(t, "value")
		change := set(row, column, value, state.Cell(table.Organisations, row, column).Revision)
		if rapid.IntRange(0, 3).Draw(t, "outdated") == 0 {
			change.BasedOn = 0
		}
		if rapid.IntRange(0, 9).Draw(t, "remove") == 0 {
			change = table.Change{Sheet: table.Organisations, Row: row, Remove: true, BasedOn: change.BasedOn}
		}
		drawn.Changes = append(drawn.Changes, change)
	}
	return drawn
}

// TestApplyRandomHistories checks that every box reaches the same state and
// verdicts, whether it applies the complete log or starts from an encoded state
// in the middle, and that an edit that is not accepted changes no cell.
func TestApplyRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full, restored := table.New(), table.New()
		start := rapid.IntRange(0, 20).Draw(t, "start")
		for number := range 25 {
			if number == start {
				encoded, err := full.Encode()
				require.NoError(t, err)
				restored, err = table.Decode(encoded)
				require.NoError(t, err)
			}
			drawn := drawEdit(t, full, number)
			before, err := full.Encode()
			require.NoError(t, err)
			var verdict table.Verdict
			full, verdict = applyEdits(t, full, drawn)
			if verdict.Result != table.Accepted {
				requireSameCells(t, before, full)
			}
			if number >= start {
				var restoredVerdict table.Verdict
				restored, restoredVerdict = applyEdits(t, restored, drawn)
				require.Equal(t, verdict, restoredVerdict)
			}
		}
		fullEncoded, err := full.Encode()
		require.NoError(t, err)
		restoredEncoded, err := restored.Encode()
		require.NoError(t, err)
		require.Equal(t, string(fullEncoded), string(restoredEncoded))
	})
}

func requireSameCells(t require.TestingT, before []byte, after *table.State) {
	old, err := table.Decode(before)
	require.NoError(t, err)
	for _, row := range old.RowNames(table.Organisations) {
		require.Equal(t, old.Row(table.Organisations, row), after.Row(table.Organisations, row))
	}
	require.Equal(t, old.RowNames(table.Organisations), after.RowNames(table.Organisations))
}

func TestDecode(t *testing.T) {
	t.Run("rejects a column that this version does not know", func(t *testing.T) {
		encoded, err := newTableWithChoir(t).Encode()
		require.NoError(t, err)
		changed := strings.Replace(string(encoded), `"rate_per_s"`, `"rate_per_h"`, 1)
		_, err = table.Decode([]byte(changed))
		assert.ErrorIs(t, err, table.ErrMalformed)
	})
}

func FuzzEdit(f *testing.F) {
	f.Add([]byte(`{"id":"a","operator":"o","changes":[{"sheet":"organisations","row":"r","column":"weight","value":"1"}]}`))
	f.Add([]byte(`{"id":"a","changes":[{"sheet":"upstreams","row":"r","remove":true}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		state, _ := table.New().Apply(0, data)
		if state.Offset() != 1 {
			t.Fatal("a record must advance the offset by one")
		}
	})
}

func FuzzDecode(f *testing.F) {
	encoded, err := newTableWithChoir(f).Encode()
	require.NoError(f, err)
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, data []byte) {
		state, err := table.Decode(data)
		if err != nil {
			return
		}
		again, err := state.Encode()
		require.NoError(t, err)
		_, err = table.Decode(again)
		require.NoError(t, err)
	})
}

// TestIsRepeatable guards against a call that is sent again because of another path's rule.
func TestIsRepeatable(t *testing.T) {
	s := &table.Service{RepeatableRules: []table.Rule{{Method: "POST", Prefix: "/search/é/"}}}
	for path, want := range map[string]bool{
		"/search/%C3%A9/x": true, "/s%65arch/é/a%2Fb": true, "/search/é%2Fx": false, "/search%2fé/x": false,
		"/search/é/../charge": false, "/search/é/%2E%2e/charge": false, "/search/é/..%2Fcharge": false,
		"/search/é/..;a=b/charge": false, "/search/é/..%5Ccharge": false, "/search/é/x;a=b": true,
	} {
		assert.Equal(t, want, s.IsRepeatable("POST", path), path)
	}
}
