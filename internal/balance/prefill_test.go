package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/namekey"
)

func TestPrefill(t *testing.T) {
	transfers := sticky("s")
	transfers.Transfers = true
	// secondPrefill returns the prefill of an engine to which a session is sent after its first
	// engine prefilled it.
	secondPrefill := func(t *testing.T, request PickRequest, disrupt func(f *fixture, first *Lease)) Prefill {
		t.Helper()
		f := newFixture(t, 6)
		first := f.pick(t, request)
		assert.Equal(t, Prefill{Tokens: 1000, Reason: PrefillNew}, first.Prefill)
		disrupt(f, first)
		second := f.pick(t, request)
		assert.NotEqual(t, first.ID, second.ID)
		return second.Prefill
	}
	full := func(f *fixture, first *Lease) {
		first.RecordResponseStart()
		f.SetOthersInFlight(map[namekey.Key]int{namekey.Of(first.ID): 30})
	}
	t.Run("the engine that caches the prompt prefills nothing", func(t *testing.T) {
		f := newFixture(t, 6)
		f.pick(t, transfers).Release(Succeeded)
		assert.Zero(t, f.pick(t, transfers).Prefill)
	})
	t.Run("an engine that fetches the prompt prefills nothing", func(t *testing.T) {
		assert.Zero(t, secondPrefill(t, transfers, full))
	})
	t.Run("an engine prefills what can't be fetched", func(t *testing.T) {
		assert.Equal(t, Prefill{Tokens: 1000, Reason: PrefillNotFetched}, secondPrefill(t, sticky("s"), full))
	})
	t.Run("two engines prefill the prompt concurrently while the first has not responded", func(t *testing.T) {
		got := secondPrefill(t, transfers, func(f *fixture, first *Lease) {
			f.SetOthersInFlight(map[namekey.Key]int{namekey.Of(first.ID): 30})
		})
		assert.Equal(t, Prefill{Tokens: 1000, Reason: PrefillConcurrent}, got)
	})
	t.Run("an engine prefills the prompt when the one that caches it is behind a partition", func(t *testing.T) {
		got := secondPrefill(t, sticky("s"), func(f *fixture, first *Lease) { f.RecordProbe(first.FailureDomain, false) })
		assert.Equal(t, Prefill{Tokens: 1000, Reason: PrefillEngineUnreachable}, got)
	})
	t.Run("an engine prefills the prompt when the one that cached it is gone", func(t *testing.T) {
		got := secondPrefill(t, sticky("s"), func(f *fixture, first *Lease) {
			for i := range f.list {
				if f.list[i].ID == first.ID {
					f.list = append(f.list[:i:i], f.list[i+1:]...)
					break
				}
			}
			f.SetUpstreams(f.list)
		})
		assert.Equal(t, Prefill{Tokens: 1000, Reason: PrefillEngineGone}, got)
	})
	t.Run("requests that ended no longer count as prefilling", func(t *testing.T) {
		f := newFixture(t, 6)
		for _, end := range []Result{Neutral, Succeeded, Failed, Broken, Unreachable} {
			l := f.pick(t, transfers)
			l.Release(end)
			assert.Empty(t, l.prefilling, "%d", end)
		}
	})
}
