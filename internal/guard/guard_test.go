package guard

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// handled returns the panics that a function of this package reports.
func handled(t *testing.T) *[]Panic {
	t.Helper()
	all := &[]Panic{}
	t.Cleanup(Handle(func(p Panic) { *all = append(*all, p) }))
	return all
}

func fail() { panic("broken") }

func TestDo(t *testing.T) {
	t.Run("a panic is reported with its place", func(t *testing.T) {
		all := handled(t)
		assert.False(t, Do("part", fail))
		assert.Len(t, *all, 1)
		assert.Equal(t, "part", (*all)[0].Part)
		assert.Equal(t, "broken", (*all)[0].Value)
		assert.Contains(t, string((*all)[0].Trace), "guard.fail")
	})
	t.Run("a return is not", func(t *testing.T) {
		all := handled(t)
		assert.True(t, Do("part", func() {}))
		assert.Empty(t, *all)
	})
	t.Run("without a handler panics go on", func(t *testing.T) {
		assert.PanicsWithValue(t, "broken", func() { Do("part", fail) })
	})
	t.Run("an earlier handler is restored", func(t *testing.T) {
		all := handled(t)
		Handle(func(Panic) { t.Error("was replaced") })()
		Do("part", fail)
		assert.Len(t, *all, 1)
	})
}

func TestGoroutineThatPanicsEndsAlone(t *testing.T) {
	panics := make(chan Panic)
	defer Handle(func(p Panic) { panics <- p })()
	Go("part", fail)
	assert.Equal(t, "broken", (<-panics).Value)
}
