package balance

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/namekey"
)

// asks are what a box asked owners for.
type asks struct {
	upstreams []string
	bounds    []int
	// refuse is how many asks are refused before one is granted.
	refuse   int
	released int
}

func (a *asks) take(lease *Lease, bound int) Place {
	a.upstreams = append(a.upstreams, lease.ID)
	a.bounds = append(a.bounds, bound)
	if len(a.upstreams) <= a.refuse {
		return Place{}
	}
	return Place{Granted: true, Release: func() { a.released++ }}
}

// inLargeFleet has a box know that all boxes run so much in the pool.
func inLargeFleet(t *testing.T, running int) *fixture {
	t.Helper()
	f := newFixture(t, 12)
	f.SetRunning(map[namekey.Key]int{namekey.Of("p"): running})
	return f
}

func TestPickPlace(t *testing.T) {
	t.Run("asks for a place under the multiple of the mean of all boxes", func(t *testing.T) {
		f, a := inLargeFleet(t, 120), &asks{}
		lease, err := f.PickPlace(sticky("s"), a.take)
		require.NoError(t, err)
		assert.Equal(t, []int{17}, a.bounds, "1.4 times 10, and the request itself, and two")
		lease.Release(Succeeded)
		lease.Release(Succeeded)
		assert.Equal(t, 1, a.released)
	})
	t.Run("goes on to the session's next engine where there is no place", func(t *testing.T) {
		f, a := inLargeFleet(t, 120), &asks{refuse: 2}
		lease, err := f.PickPlace(sticky("s"), a.take)
		require.NoError(t, err)
		assert.Equal(t, 2, lease.Rank)
		assert.Len(t, f.InFlight(), 1, "refused picks are undone")
		assert.Equal(t, PassedLoad, lease.Passed.Why)
	})
	t.Run("fetches from the first engine, which others have likely sent the session", func(t *testing.T) {
		f, a := inLargeFleet(t, 120), &asks{refuse: 1}
		request := sticky("s")
		request.Transfers = true
		lease, err := f.PickPlace(request, a.take)
		require.NoError(t, err)
		assert.Equal(t, f.byID[a.upstreams[0]].Address, lease.FetchFrom)
	})
	t.Run("a refused pick leaves what is known of the engine", func(t *testing.T) {
		f, a := inLargeFleet(t, 120), &asks{}
		lease, err := f.PickPlace(sticky("s"), a.take)
		require.NoError(t, err)
		first := lease.Member
		lease.Release(Succeeded)
		f.now += 2 * retellMs
		refused := &asks{refuse: 1}
		lease, err = f.PickPlace(sticky("s"), refused.take)
		require.NoError(t, err)
		assert.NotEqual(t, first, lease.Member)
		assert.Equal(t, 1000, first.parts.held(lease.shared, f.now))
	})
	t.Run("asks a few only, and then takes the engine that comes next", func(t *testing.T) {
		f, a := inLargeFleet(t, 120), &asks{refuse: maxFull}
		_, err := f.PickPlace(sticky("s"), a.take)
		require.NoError(t, err)
		assert.Len(t, a.upstreams, maxFull+1)
		assert.Equal(t, math.MaxInt16, a.bounds[maxFull])
	})
	t.Run("asks nobody in a small fleet, nor for requests that any upstream serves", func(t *testing.T) {
		f, a := newFixture(t, 12), &asks{}
		_, err := f.PickPlace(sticky("s"), a.take)
		require.NoError(t, err)
		_, err = inLargeFleet(t, 120).PickPlace(Ask{Pool: "p"}, a.take)
		require.NoError(t, err)
		assert.Empty(t, a.upstreams)
	})
	t.Run("says when no upstream takes the request", func(t *testing.T) {
		f, a := inLargeFleet(t, 120), &asks{}
		_, err := f.PickPlace(Ask{Pool: "none"}, a.take)
		require.ErrorIs(t, err, ErrNoUpstream)
	})
}

func TestRunning(t *testing.T) {
	f := newFixture(t, 12)
	for range 3 {
		f.pick(t, sticky("s"))
	}
	assert.Equal(t, map[namekey.Key]int{namekey.Of("p"): 3}, f.Running())
}
