package balance

import (
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/occupancy"
)

// fakeOwner records the permits that a box requested from owners.
type fakeOwner struct {
	upstreams []string
	bounds    []int
	// refusals is how many permits are refused before one is granted.
	refusals int
	released int
}

func (owner *fakeOwner) acquire(lease *Lease, bound int) occupancy.Reply {
	owner.upstreams = append(owner.upstreams, lease.ID)
	owner.bounds = append(owner.bounds, bound)
	if len(owner.upstreams) <= owner.refusals {
		return occupancy.Reply{}
	}
	return occupancy.Reply{Granted: true, Release: func(bool) { owner.released++ }}
}

// inLargeFleet returns a fixture whose box knows how many requests all boxes run in the pool.
func inLargeFleet(t *testing.T, running int) *fixture {
	t.Helper()
	f := newFixture(t, 12)
	f.SetFleetInFlightByPool(map[namekey.Key]int{namekey.Of("p"): running})
	f.SetEnginePermits(true)
	return f
}

func TestPickWithPermit(t *testing.T) {
	t.Run("requests a permit under the multiple of the mean load of all boxes", func(t *testing.T) {
		f, owner := inLargeFleet(t, 120), &fakeOwner{}
		lease, err := f.PickWithPermit(sticky("s"), owner.acquire)
		require.NoError(t, err)
		assert.Equal(t, []int{17}, owner.bounds, "1.4 times 10, the request itself, and a slack of two")
		lease.Release(Succeeded)
		lease.Release(Succeeded)
		assert.Equal(t, 1, owner.released)
	})
	t.Run("continues with the session's next engine when a permit is refused", func(t *testing.T) {
		f, owner := inLargeFleet(t, 120), &fakeOwner{refusals: 2}
		lease, err := f.PickWithPermit(sticky("s"), owner.acquire)
		require.NoError(t, err)
		assert.Equal(t, 2, lease.Rank)
		assert.Len(t, f.InFlight(), 1, "refused picks are undone")
		assert.Equal(t, SkipOverloaded, lease.Skipped.Reason)
	})
	t.Run("fetches from the first engine, to which others have likely sent the session", func(t *testing.T) {
		f, owner := inLargeFleet(t, 120), &fakeOwner{refusals: 1}
		request := sticky("s")
		request.Transfers = true
		lease, err := f.PickWithPermit(request, owner.acquire)
		require.NoError(t, err)
		assert.Equal(t, f.byID[owner.upstreams[0]].Address, lease.FetchFrom)
	})
	t.Run("a refused pick keeps the known cache contents of the engine", func(t *testing.T) {
		f, owner := inLargeFleet(t, 120), &fakeOwner{}
		lease, err := f.PickWithPermit(sticky("s"), owner.acquire)
		require.NoError(t, err)
		first := lease.Member
		lease.Release(Succeeded)
		f.now += 2 * reannounceMs
		refused := &fakeOwner{refusals: 1}
		lease, err = f.PickWithPermit(sticky("s"), refused.acquire)
		require.NoError(t, err)
		assert.NotEqual(t, first, lease.Member)
		assert.Equal(t, 1000, first.parts.cachedTokens(lease.shared, f.now))
	})
	t.Run("after maxPermitRefusals refusals the least loaded engines are asked", func(t *testing.T) {
		f, owner := inLargeFleet(t, 120), &fakeOwner{refusals: maxPermitRefusals}
		order := rank("s", f.pools["p"])
		reports := map[namekey.Key]int{}
		for _, member := range order[:len(order)-1] {
			reports[member.key] = 10
		}
		f.SetOthersInFlight(reports)
		lease, err := f.PickWithPermit(sticky("s"), owner.acquire)
		require.NoError(t, err)
		assert.Equal(t, order[len(order)-1].ID, lease.ID)
		assert.Equal(t, OwnerPermit, lease.Permit.Source)
		assert.Equal(t, slices.Repeat([]int{17}, maxPermitRefusals+1), owner.bounds, "under the bound")
	})
	t.Run("after maxBoundedPermits refusals the least loaded engine is used regardless of its load", func(t *testing.T) {
		f, owner := inLargeFleet(t, 120), &fakeOwner{refusals: maxBoundedPermits}
		lease, err := f.PickWithPermit(sticky("s"), owner.acquire)
		require.NoError(t, err)
		assert.Equal(t, append(slices.Repeat([]int{17}, maxBoundedPermits), math.MaxInt16), owner.bounds)
		assert.Len(t, slices.Compact(slices.Sorted(slices.Values(owner.upstreams))), maxBoundedPermits+1, "each once")
		assert.Equal(t, UnboundedPermit, lease.Permit.Source)
	})
	t.Run("requests no permit in a small fleet or for requests that any upstream serves", func(t *testing.T) {
		f, owner := newFixture(t, 12), &fakeOwner{}
		_, err := f.PickWithPermit(sticky("s"), owner.acquire)
		require.NoError(t, err)
		_, err = inLargeFleet(t, 120).PickWithPermit(PickRequest{Pool: "p"}, owner.acquire)
		require.NoError(t, err)
		assert.Empty(t, owner.upstreams)
	})
	t.Run("returns an error if no upstream accepts the request", func(t *testing.T) {
		f, owner := inLargeFleet(t, 120), &fakeOwner{}
		_, err := f.PickWithPermit(PickRequest{Pool: "none"}, owner.acquire)
		require.ErrorIs(t, err, ErrNoUpstream)
	})
}

// TestPickWithPermitInMidSizeFleet guards against moving sessions away from engines that have room, because reports of
// other boxes are old, and against overloading engines whose owners don't answer.
func TestPickWithPermitInMidSizeFleet(t *testing.T) {
	const othersAtFirst = 30
	inMidSizeFleet := func(t *testing.T) (f *fixture, first string) {
		t.Helper()
		f = newFixture(t, 12)
		f.SetEnginePermits(true)
		first = f.pick(t, sticky("s")).ID
		f.SetOthersInFlight(map[namekey.Key]int{namekey.Of(first): othersAtFirst})
		return f, first
	}
	t.Run("the owner decides whether the session's first engine has room", func(t *testing.T) {
		f, first := inMidSizeFleet(t)
		lease, err := f.PickWithPermit(sticky("s"), (&fakeOwner{}).acquire)
		require.NoError(t, err)
		assert.Equal(t, first, lease.ID)
	})
	t.Run("the box's own estimate decides if no owner answers", func(t *testing.T) {
		f, first := inMidSizeFleet(t)
		released := 0
		lease, err := f.PickWithPermit(sticky("s"), func(*Lease, int) occupancy.Reply {
			return occupancy.Reply{Granted: true, Provisional: true, Release: func(bool) { released++ }}
		})
		require.NoError(t, err)
		assert.NotEqual(t, first, lease.ID)
		assert.Equal(t, 1, released, "the owner may have counted the request that was sent elsewhere")
	})
	t.Run("requests of this box alone can fill an engine", func(t *testing.T) {
		f, owner := newFixture(t, 12), &fakeOwner{}
		f.SetEnginePermits(true)
		used := map[string]bool{}
		for range 20 {
			lease, err := f.PickWithPermit(sticky("s"), owner.acquire)
			require.NoError(t, err)
			used[lease.ID] = true
		}
		assert.Greater(t, len(used), 1)
	})
	t.Run("no permit is requested without owners", func(t *testing.T) {
		f, owner := newFixture(t, 12), &fakeOwner{}
		_, err := f.PickWithPermit(sticky("s"), owner.acquire)
		require.NoError(t, err)
		assert.Empty(t, owner.upstreams)
	})
}

func TestInFlightByPool(t *testing.T) {
	f := newFixture(t, 12)
	for range 3 {
		f.pick(t, sticky("s"))
	}
	assert.Equal(t, map[namekey.Key]int{namekey.Of("p"): 3}, f.InFlightByPool())
}
