package supervisor

import (
	"sync"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/guard"
)

// TestRestarts guards against parts that stay away after a panic, and against a daemon that serves on while one panics
// again and again.
func TestRestarts(t *testing.T) {
	defer guard.Handle(func(guard.Panic) {})()
	// failing returns a part that panics a number of times, and how often it ran.
	failing := func(panics int) (part func(), runs *int) {
		runs = new(int)
		return func() {
			if *runs++; *runs <= panics {
				panic("broken")
			}
		}, runs
	}
	for _, c := range []struct {
		name   string
		panics int
		failed bool
	}{{"few panics", MaxRestarts - 1, false}, {"too many panics", MaxRestarts, true}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var running sync.WaitGroup
				s := New(clock.New(), &running)
				part, runs := failing(c.panics)
				s.Run(t.Context(), "part", part)
				running.Wait()
				assert.Equal(t, c.panics+1, *runs)
				if c.failed {
					require.ErrorIs(t, <-s.Failed(), ErrFails)
				}
				assert.Empty(t, s.Failed())
			})
		})
	}
	t.Run("a part of a part", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			part, runs := failing(2 * MaxRestarts)
			Repeat(t.Context(), clock.New(), "part", part)
			assert.Equal(t, 2*MaxRestarts+1, *runs)
		})
	})
}
