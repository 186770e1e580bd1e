package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/namekey"
)

func TestReading(t *testing.T) {
	transfers := sticky("s")
	transfers.Transfers = true
	// elsewhere has a session read by its first engine and then sent to another one.
	elsewhere := func(t *testing.T, a Ask, strike func(f *fixture, first *Lease)) Reading {
		t.Helper()
		f := newFixture(t, 6)
		first := f.pick(t, a)
		assert.Equal(t, Reading{Tokens: 1000, Why: ReadNew}, first.Reading)
		strike(f, first)
		second := f.pick(t, a)
		assert.NotEqual(t, first.ID, second.ID)
		return second.Reading
	}
	full := func(f *fixture, first *Lease) {
		first.Answered()
		f.SetOthers(map[namekey.Key]int{namekey.Of(first.ID): 30})
	}
	t.Run("nothing is read by the engine that keeps it", func(t *testing.T) {
		f := newFixture(t, 6)
		f.pick(t, transfers).Release(Succeeded)
		assert.Zero(t, f.pick(t, transfers).Reading)
	})
	t.Run("nothing is read by one that fetches it", func(t *testing.T) {
		assert.Zero(t, elsewhere(t, transfers, full))
	})
	t.Run("it is read where it can't be fetched", func(t *testing.T) {
		assert.Equal(t, Reading{Tokens: 1000, Why: ReadUnfetched}, elsewhere(t, sticky("s"), full))
	})
	t.Run("it is read at once by two while the first one still reads", func(t *testing.T) {
		got := elsewhere(t, transfers, func(f *fixture, first *Lease) {
			f.SetOthers(map[namekey.Key]int{namekey.Of(first.ID): 30})
		})
		assert.Equal(t, Reading{Tokens: 1000, Why: ReadAtOnce}, got)
	})
	t.Run("it is read when the engine that keeps it is behind a cut", func(t *testing.T) {
		got := elsewhere(t, sticky("s"), func(f *fixture, first *Lease) { f.Probed(first.FailureDomain, false) })
		assert.Equal(t, Reading{Tokens: 1000, Why: ReadBehind}, got)
	})
	t.Run("it is read when the engine that kept it has gone", func(t *testing.T) {
		got := elsewhere(t, sticky("s"), func(f *fixture, first *Lease) {
			for i := range f.list {
				if f.list[i].ID == first.ID {
					f.list = append(f.list[:i:i], f.list[i+1:]...)
					break
				}
			}
			f.SetUpstreams(f.list)
		})
		assert.Equal(t, Reading{Tokens: 1000, Why: ReadLost}, got)
	})
	t.Run("no request that ended is taken to be reading", func(t *testing.T) {
		f := newFixture(t, 6)
		for _, end := range []Result{Neutral, Succeeded, Failed, Broken, Unreachable} {
			l := f.pick(t, transfers)
			l.Release(end)
			assert.Empty(t, l.pending, "%d", end)
		}
	})
}
