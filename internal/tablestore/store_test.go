package tablestore

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/backing"
	"dooryard.example/dooryard/internal/guard"
	"dooryard.example/dooryard/internal/table"
)

// TestListenerThatPanics guards against a table that stands still, or a box that ends, because a part of the box can't
// use a record.
func TestListenerThatPanics(t *testing.T) {
	panics, others := 0, 0
	defer guard.Handle(func(guard.Panic) { panics++ })()
	s := New(nil)
	s.OnChange(func(*table.State) { panic("broken") })
	s.OnChange(func(*table.State) { others++ })
	for offset := range int64(3) {
		s.ApplyRecord(backing.Record{Offset: offset, Data: json.RawMessage("{}")})
	}
	assert.EqualValues(t, 3, s.State().Offset())
	require.NoError(t, s.WaitFor(t.Context(), 3))
	assert.Equal(t, 3, panics)
	assert.Equal(t, 3, others)
}
