package admission

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
)

func TestLostMessages(t *testing.T) {
	t.Run("a repeated ask isn't counted twice", func(t *testing.T) {
		f := learnt()
		a, b := f.long(), f.long()
		for range 2 {
			f.ask(t, a, Granted)
			f.ask(t, b, Queued)
		}
		assert.Equal(t, Sizes{Upstreams: 1, Permits: 1, Queued: 1}, f.Sizes())
		require.Len(t, f.Started(a.ID), 1)
		f.ask(t, b, Granted)
		assert.Equal(t, 2, f.Sizes().Permits)
	})
	t.Run("an engine whose starts are lost isn't taken as busy for ever", func(t *testing.T) {
		f := learnt()
		f.busy(t)
		f.now += 4*600 + 10
		a := f.long()
		f.Expire()
		f.ask(t, a, Granted)
		assert.Equal(t, 2, f.Sizes().Permits)
	})
	t.Run("a lost release doesn't hold its slot for ever", func(t *testing.T) {
		f := learnt()
		f.busy(t)
		f.now += permitTTLMs
		f.Expire()
		assert.Equal(t, Sizes{Upstreams: 1}, f.Sizes())
		assert.Zero(t, f.upstreams[1].memory.held)
	})
	t.Run("a request that its box renews counts for longer than 20 s, and a box that died holds nothing", func(t *testing.T) {
		f := learnt()
		id := f.busy(t)
		queued := f.long()
		f.ask(t, queued, Queued)
		for range 20 {
			f.now += permitTTLMs / 2
			f.Renew("box", []uint32{id.Number, queued.ID.Number, 1 << 30})
			f.Renew("other", []uint32{id.Number})
			f.Expire()
			assert.Equal(t, 1, f.Sizes().Permits)
			assert.Len(t, f.pools, 1)
		}
		assert.Zero(t, f.Sizes().Queued, "a renewal doesn't keep an ask in the queue")
		f.now += permitTTLMs - 1
		f.Expire()
		assert.Equal(t, Sizes{Upstreams: 1, Permits: 1, Renewed: 20}, f.Sizes())
		f.now++
		f.Expire()
		assert.Zero(t, f.Sizes().Permits)
	})
	t.Run("a box that restarted doesn't hold what it had", func(t *testing.T) {
		f := learnt()
		f.busy(t)
		other := f.long()
		other.ID.Box = "other"
		f.ask(t, other, Queued)
		grants := f.ReleaseBox("box")
		require.Len(t, grants, 1)
		assert.Equal(t, other.ID, grants[0].ID)
	})
	t.Run("a queued ask whose box doesn't wait any more isn't left in the queue", func(t *testing.T) {
		f := learnt()
		f.busy(t)
		a, b := f.long(), f.long()
		f.ask(t, a, Queued)
		f.ask(t, b, Queued)
		a.MayQueue, b.Force = false, true
		f.ask(t, a, Denied)
		f.ask(t, b, Granted)
		assert.Equal(t, Sizes{Upstreams: 1, Permits: 2}, f.Sizes())
	})
	t.Run("callers don't wait for an owner that shuts down", func(t *testing.T) {
		f := learnt()
		f.busy(t)
		f.ask(t, f.long(), Queued)
		require.Len(t, f.DenyQueued(""), 1)
		assert.Zero(t, f.Sizes().Queued)
	})
	t.Run("nonsense of another box doesn't harm", func(t *testing.T) {
		f := learnt()
		a := f.short()
		a.Urgency, a.PrefillTokens, a.OwnTokens, a.SharedTokens, a.SlowPercent = -5, -1, -1, -1, 1<<40
		f.ask(t, a, Granted)
		a = f.short()
		a.Urgency, a.InTimeMs, a.PatienceMs = 1<<40, -1<<40, -1<<40
		f.Ask(a)
		f.Expire()
		f.ReleaseBox("box")
		assert.Zero(t, f.upstreams[1].memory.held)
	})
	t.Run("a new owner doesn't answer as if it had counted all", func(t *testing.T) {
		f := newFixture()
		assert.True(t, f.ask(t, f.short(), Granted).Provisional)
		f.now += settleMs
		assert.False(t, f.ask(t, f.short(), Granted).Provisional)
	})
	t.Run("state isn't kept for ever", func(t *testing.T) {
		f := learnt()
		f.now += 2 * idleTTLMs
		f.Expire()
		assert.Empty(t, f.upstreams)
		assert.Empty(t, f.pools)
	})
}

// TestUnexpectedStarts guards against starts that are ignored because the ledger took the request for another state.
func TestUnexpectedStarts(t *testing.T) {
	ask := func(number uint32) Ask {
		return Ask{
			ID: ID{Box: "a", Number: number}, Pool: 1, Upstream: 1, PrefillTokens: 50_000, Slots: 8,
			InTimeMs: 20_000, PatienceMs: 30_000, MayQueue: true,
		}
	}
	t.Run("a start after the time at which it counts as lost is learnt", func(t *testing.T) {
		now := clock.Millis(1000)
		l := New(func() clock.Millis { return now })
		for i := range uint32(minStarts) {
			answer, _ := l.Ask(ask(i))
			require.Equal(t, Granted, answer.Verdict)
			now += minLostMs + 500
			l.Expire()
			l.Started(ask(i).ID)
			l.Release(ask(i).ID, true)
		}
		assert.True(t, l.pools[1].times.mayDeny())
	})
	t.Run("a request that was sent although it waits counts as running", func(t *testing.T) {
		now := clock.Millis(1000)
		l := New(func() clock.Millis { return now })
		full := ask(1)
		full.Slots = 1
		l.Ask(full)
		second := ask(2)
		second.Slots = 1
		answer, _ := l.Ask(second)
		require.Equal(t, Queued, answer.Verdict)
		l.Started(second.ID)
		assert.Equal(t, Sizes{Upstreams: 1, Permits: 2}, l.Sizes())
		l.Release(full.ID, true)
		l.Release(second.ID, true)
		assert.Equal(t, Sizes{Upstreams: 1}, l.Sizes())
	})
	t.Run("a box that knows no pace does not overwrite a report", func(t *testing.T) {
		now := clock.Millis(1000)
		l := New(func() clock.Millis { return now })
		slow := ask(1)
		slow.SlowPercent = 400
		l.Ask(slow)
		l.Ask(ask(2))
		assert.Equal(t, 400, l.upstreams[1].pace.percent)
		now += reportTTLMs
		l.Ask(ask(3))
		assert.Equal(t, usualPercent, l.upstreams[1].pace.percent)
	})
}
