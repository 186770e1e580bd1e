package tablestore

import (
	"encoding/json"
	"fmt"
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
	s := New(nil, WithVerdictCallback(func(table.Verdict) { panic("broken") }))
	s.OnChange(func(*table.State) { panic("broken") })
	s.OnChange(func(*table.State) { others++ })
	for offset := range int64(3) {
		edit := fmt.Sprintf(`{"id":"%d","operator":"o","changes":[{"sheet":"s","row":"r","remove":true}]}`, offset)
		s.ApplyRecord(backing.Record{Offset: offset, Data: json.RawMessage(edit)})
	}
	assert.EqualValues(t, 3, s.State().Offset())
	require.NoError(t, s.WaitFor(t.Context(), 3))
	assert.Equal(t, 2*3, panics)
	assert.Equal(t, 3, others)
}
