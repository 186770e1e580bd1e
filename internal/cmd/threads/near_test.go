package threads

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestNearLimitIsToldWhenThreadsGrow guards against boxes that end for want of a thread without a line before.
func TestNearLimitIsToldWhenThreadsGrow(t *testing.T) {
	looks := 0
	leaves := func(more int, limited bool) func() (int, bool) {
		return func() (int, bool) {
			looks++
			return more, limited
		}
	}
	w := watch{highest: 9}
	assert.Empty(t, w.nearLimit(9, leaves(0, true)))
	assert.Zero(t, looks)
	assert.Empty(t, w.nearLimit(10, leaves(fewThreads, true)))
	assert.Contains(t, w.nearLimit(11, leaves(fewThreads-1, true)), "11 threads, 3 more may be created, limit of the user's")
	assert.Empty(t, w.nearLimit(11, leaves(0, true)))
	assert.Empty(t, w.nearLimit(12, leaves(0, false)))
	assert.Equal(t, 3, looks)
}

func TestLimitOfUserThreads(t *testing.T) {
	more, limited := left()
	assert.GreaterOrEqual(t, more, 0)
	if !limited {
		assert.Zero(t, more)
	}
	assert.Positive(t, count())
}
