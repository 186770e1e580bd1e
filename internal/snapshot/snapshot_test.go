package snapshot

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/table"
)

// newLargeTable returns a table whose snapshot has several chunks.
func newLargeTable(t *testing.T) *table.State {
	t.Helper()
	state := table.New()
	for part := range 6 {
		edit := table.Edit{ID: fmt.Sprint(part)}
		for i := range 2000 {
			name := fmt.Sprintf("o-%d-%d", part, i)
			edit.Changes = append(edit.Changes, table.Change{
				Sheet: table.Organisations, Row: name, Column: "key_sha256", Value: table.HashKey(name),
			})
		}
		data, err := json.Marshal(edit)
		require.NoError(t, err)
		state, _ = state.Apply(state.Offset(), data)
	}
	return state
}

func TestSnapshot(t *testing.T) {
	chunks, err := Make(newLargeTable(t))
	require.NoError(t, err)
	require.Greater(t, len(chunks), 1)
	add := func(a *Assembler, list []Chunk) {
		for i := range list {
			require.NoError(t, a.Add(list[len(list)-1-i]))
		}
	}
	t.Run("is assembled from chunks in any order and with duplicates", func(t *testing.T) {
		a := NewAssembler()
		add(a, chunks)
		add(a, chunks)
		state, err := a.Newest()
		require.NoError(t, err)
		assert.Len(t, state.RowNames(table.Organisations), 12_000)
	})
	t.Run("is not returned while a chunk is missing", func(t *testing.T) {
		a := NewAssembler()
		add(a, chunks[1:])
		state, err := a.Newest()
		require.NoError(t, err)
		assert.Nil(t, state)
	})
	t.Run("is rejected if its hash does not match", func(t *testing.T) {
		a := NewAssembler()
		changed := append([]Chunk(nil), chunks...)
		changed[0].Hash = changed[0].Hash[:63] + "x"
		for i := range changed {
			changed[i].Hash = changed[0].Hash
		}
		add(a, changed)
		_, err := a.Newest()
		assert.ErrorIs(t, err, ErrMalformed)
	})
	t.Run("is deterministic", func(t *testing.T) {
		again, err := Make(newLargeTable(t))
		require.NoError(t, err)
		assert.Equal(t, chunks, again)
	})
}

func FuzzChunk(f *testing.F) {
	f.Add([]byte(`{"offset":1,"hash":"","index":0,"count":1,"data":"AA=="}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var c Chunk
		if json.Unmarshal(data, &c) != nil {
			return
		}
		a := NewAssembler()
		require.NoError(t, a.Add(c))
		if _, err := a.Newest(); err != nil {
			require.Error(t, err)
		}
	})
}
