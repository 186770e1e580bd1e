package occupancy

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

// TestSettled guards against trusting the count of an owner that has just taken over an upstream.
func TestSettled(t *testing.T) {
	now := clock.Millis(1000)
	l := New(func() clock.Millis { return now })
	assert.False(t, l.Settled(1), "no permit was requested")
	require.True(t, l.Acquire(PermitID{Number: 1}, 1, 10))
	now += settleMs - 1
	assert.False(t, l.Settled(1))
	now++
	assert.True(t, l.Settled(1))
	assert.False(t, l.Settled(2))
}

func TestLedger(t *testing.T) {
	now := clock.Millis(1000)
	upstream := namekey.Of("u")
	first, second := PermitID{Box: "a", Number: 1}, PermitID{Box: "b", Number: 1}
	newLedger := func() *Ledger { return New(func() clock.Millis { return now }) }
	t.Run("not more permits are granted than the bound", func(t *testing.T) {
		l := newLedger()
		assert.True(t, l.Acquire(first, upstream, 1))
		assert.False(t, l.Acquire(second, upstream, 1))
		l.Release(first, true)
		assert.True(t, l.Acquire(second, upstream, 1))
	})
	t.Run("a permit that is requested twice counts once", func(t *testing.T) {
		l := newLedger()
		l.Acquire(first, upstream, 5)
		l.Acquire(first, upstream, 5)
		assert.Equal(t, 1, l.InUse(upstream))
		l.Release(first, true)
		l.Release(first, true)
		assert.Zero(t, l.InUse(upstream))
		assert.Zero(t, l.Sizes())
	})
	t.Run("a permit whose release was lost expires", func(t *testing.T) {
		l := newLedger()
		l.Acquire(first, upstream, 5)
		now += permitTTLMs - 1
		l.Expire()
		assert.Equal(t, 1, l.InUse(upstream))
		now++
		l.Expire()
		assert.Zero(t, l.InUse(upstream))
	})
}

// TestRejection guards against an owner that grants permits up to the slots of an upstream that has less room.
func TestRejection(t *testing.T) {
	now := clock.Millis(1000)
	l := New(func() clock.Millis { return now })
	const upstream, slots = namekey.Key(1), 8
	grant := func(number uint32) bool { return l.Acquire(PermitID{Number: number}, upstream, slots) }
	for i := range uint32(5) {
		require.True(t, grant(i))
	}
	l.RecordRejection(upstream)
	l.Release(PermitID{Number: 4}, false)
	assert.False(t, grant(5), "four requests fill the upstream")
	l.Release(PermitID{Number: 3}, true)
	assert.True(t, grant(6))
	now += roomGrowthMs
	assert.True(t, grant(7))
	assert.False(t, grant(8))
	now += 10 * roomGrowthMs
	assert.True(t, grant(9))
	l.RecordRejection(2)
	assert.True(t, l.Acquire(PermitID{Number: 10}, 2, slots), "an upstream without permits has no limit")
}
