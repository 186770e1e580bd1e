package balance

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/prompt"
	"dooryard.example/dooryard/internal/registry"
)

// These tests guard against using the state of a server's previous incarnation. A server that restarts
// under the same ID has lost its cache and its requests. Boxes that identified it by the ID alone
// fetched from it what its previous incarnation had prefilled, skipped it because of a load that was
// gone, and kept it ejected.

// restart restarts an upstream with the same ID and address.
func (f *fixture) restart(id string) {
	f.setEntry(id, func(u *registry.Upstream) { u.StartedMs += 1000 })
}

// withStartTimes gives all upstreams a start time.
func (f *fixture) withStartTimes() *fixture {
	for i := range f.list {
		f.list[i].StartedMs = 1
	}
	f.SetUpstreams(f.list)
	return f
}

func keyOf(list []registry.Upstream, id string) namekey.Key {
	at := slices.IndexFunc(list, func(u registry.Upstream) bool { return u.ID == id })
	return list[at].Key()
}

func TestRestart(t *testing.T) {
	ask := sticky("s")
	ask.Transfers = true
	t.Run("its cache is empty", func(t *testing.T) {
		f := newFixture(t, 6).withStartTimes()
		previous := f.pick(t, ask)
		previous.RecordResponseStart()
		previous.Release(Succeeded)
		f.restart(previous.ID)
		again := f.pick(t, ask)
		assert.Equal(t, previous.ID, again.ID)
		assert.Equal(t, 1000, again.Prefill.Tokens, "it prefills the prompt again")
		assert.Equal(t, PrefillEngineGone, again.Prefill.Reason)
	})
	t.Run("nothing is fetched from its previous incarnation", func(t *testing.T) {
		f := newFixture(t, 6).withStartTimes()
		previous := f.pick(t, ask)
		previous.RecordResponseStart()
		previous.Release(Succeeded)
		f.restart(previous.ID)
		f.SetOthersInFlight(map[namekey.Key]int{keyOf(f.list, previous.ID): 30})
		elsewhere := f.pick(t, ask)
		assert.NotEqual(t, previous.ID, elsewhere.ID)
		assert.Empty(t, elsewhere.FetchFrom)
	})
	t.Run("its load and the reports of other boxes on its previous incarnation are discarded", func(t *testing.T) {
		f := newFixture(t, 3).withStartTimes()
		previous := f.pick(t, ask)
		old := keyOf(f.list, previous.ID)
		f.SetOthersInFlight(map[namekey.Key]int{old: 30})
		f.restart(previous.ID)
		f.SetOthersInFlight(map[namekey.Key]int{old: 30})
		again := f.pick(t, ask)
		assert.Equal(t, previous.ID, again.ID)
		assert.Zero(t, again.Load)
		previous.Release(Broken)
		assert.Equal(t, 1, f.InFlight()[keyOf(f.list, previous.ID)], "a request of the previous incarnation ended")
	})
	t.Run("a load report of its previous incarnation is ignored", func(t *testing.T) {
		f := newFixture(t, 3).withStartTimes()
		previous := f.pick(t, ask)
		f.restart(previous.ID)
		previous.RecordLoad(30)
		assert.Zero(t, f.pick(t, ask).Load)
	})
	t.Run("a late announcement of a part that the previous incarnation cached is ignored", func(t *testing.T) {
		f := newFixture(t, 6).withStartTimes()
		previous := f.pick(t, ask)
		old := keyOf(f.list, previous.ID)
		f.restart(previous.ID)
		f.RecordAnnouncements([]prompt.CachedPart{{Part: namekey.Of("s"), Upstream: old}})
		assert.Equal(t, 1000, f.pick(t, ask).Prefill.Tokens)
	})
	t.Run("it is not ejected for failures of its previous incarnation", func(t *testing.T) {
		f := newFixture(t, 6).withStartTimes()
		previous := f.pick(t, ask)
		previous.Release(Unreachable)
		assert.NotEqual(t, previous.ID, f.pick(t, ask).ID)
		f.restart(previous.ID)
		assert.Equal(t, previous.ID, f.pick(t, ask).ID)
	})
}

// TestBackoffHeardAfterRestart guards against a backoff that is lost because the upstream's restart was told while the
// response was on its way: the new incarnation may have sent it.
func TestBackoffHeardAfterRestart(t *testing.T) {
	f := newFixture(t, 1)
	lease := f.pick(t, PickRequest{Pool: "p"})
	restarted := f.list[0]
	restarted.StartedMs = 7
	f.SetUpstreams([]registry.Upstream{restarted})
	lease.BackOff(2000, "r")
	lease.Release(Neutral)
	_, err := f.Pick(PickRequest{Pool: "p"})
	var backingOff *AllBackingOffError
	require.ErrorAs(t, err, &backingOff)
	f.now += 2000
	_, err = f.Pick(PickRequest{Pool: "p"})
	require.NoError(t, err)
}
