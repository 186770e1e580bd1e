package logstream

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/backing"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/guard"
)

// TestRecordWhoseFunctionPanics guards against boxes that a record of the log ends, one after the other.
func TestRecordWhoseFunctionPanics(t *testing.T) {
	panics := 0
	defer guard.Handle(func(guard.Panic) { panics++ })()
	read := func(_ context.Context, from int64, _ int, _ clock.Millis) (page backing.Page, err error) {
		for offset := from; offset < 3; offset++ {
			page.Records = append(page.Records, backing.Record{Offset: offset})
		}
		return page, nil
	}
	applied := []int64{}
	f := NewFollower(func() []Source { return []Source{{Name: "log", Read: read}} }, func(r backing.Record) {
		if r.Offset == 1 {
			panic("broken")
		}
		applied = append(applied, r.Offset)
	})
	require.NoError(t, f.Poll(t.Context(), 0))
	require.NoError(t, f.Poll(t.Context(), 0))
	assert.Equal(t, []int64{0, 2}, applied)
	assert.Equal(t, 1, panics)
}
