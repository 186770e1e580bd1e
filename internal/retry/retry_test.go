package retry

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestBudget(t *testing.T) {
	t.Run("holds retries to a part of first attempts", func(t *testing.T) {
		b := NewBudget(20)
		retries := 0
		for range 10_000 {
			b.First()
			if b.Take() {
				retries++
			}
		}
		assert.InDelta(t, 2000, retries, reserve+1)
	})
	t.Run("lets a quiet box retry", func(t *testing.T) {
		assert.True(t, NewBudget(1).Take())
	})
}
