package admission

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

// TestBounds guards against boxes that make an owner keep state without limit, and against state that is in use and is
// forgotten for theirs.
func TestBounds(t *testing.T) {
	t.Run("upstreams beyond the bound get no answer, and known ones do", func(t *testing.T) {
		f := newFixture()
		for i := range namekey.Key(maxUpstreams + 2) {
			a := f.short()
			a.Upstream, a.Force = i, true
			f.ask(t, a, map[bool]Verdict{true: Granted, false: Unanswered}[i < maxUpstreams])
		}
		f.ask(t, f.short(), Granted)
		assert.Equal(t, Sizes{Upstreams: maxUpstreams, Permits: maxUpstreams + 1, Unanswered: 2}, f.Sizes())
		f.ReleaseBox("box")
		f.now += idleTTLMs
		f.Expire()
		f.ask(t, f.short(), Granted)
		assert.Equal(t, 1, f.Sizes().Upstreams)
	})
	t.Run("pools beyond the bound get no answer, and upstreams of known ones do", func(t *testing.T) {
		f := newFixture()
		for i := range namekey.Key(maxPools + 2) {
			a := f.short()
			a.Pool, a.Upstream = i, i
			f.ask(t, a, map[bool]Verdict{true: Granted, false: Unanswered}[i < maxPools])
		}
		a := f.short()
		a.Upstream = maxPools + 1
		f.ask(t, a, Granted)
		assert.Len(t, f.pools, maxPools)
	})
	// used lets a number of organisations, or of sessions of one, use the engine one after the other.
	used := func(f *fixture, count int, key func(a *Ask, i namekey.Key)) {
		for i := range namekey.Key(count) {
			a := f.short()
			a.PrefillTokens, a.Organisation = 0, 1
			key(&a, i+100)
			f.Ask(a)
			f.Started(a.ID)
			f.Release(a.ID, true)
		}
	}
	t.Run("the organisations of a pool that are idle for longest are forgotten, and not those that wait", func(t *testing.T) {
		f := learnt()
		f.Expire()
		evicted := f.Sizes().Evicted
		waits := f.long()
		waits.Organisation, waits.Upstream = 7, 2
		f.busy(t)
		other := f.long()
		other.Upstream = 2
		f.ask(t, other, Granted)
		f.ask(t, waits, Queued)
		used(f, maxIdleOrganisations+10, func(a *Ask, i namekey.Key) { a.Organisation, a.Upstream = i, 3+i%2 })
		assert.Equal(t, maxIdleOrganisations, f.pools[1].organisations.entries.Len())
		assert.Positive(t, f.Sizes().Evicted-evicted)
		first, last := namekey.Key(100), namekey.Key(100+maxIdleOrganisations+9)
		flows := func(i namekey.Key) map[namekey.Key]*flow {
			return f.upstreams[3+i%2].queue.class(0).organisations.flows
		}
		assert.NotContains(t, flows(first), first)
		assert.Contains(t, flows(last), last)
		assert.NotNil(t, f.upstreams[2].queue.class(1).organisations.flows[7])
		require.Len(t, f.Release(other.ID, true), 1, "what waits is granted")
		f.now += flowTTLMs
		f.Expire()
		assert.Zero(t, f.pools[1].organisations.entries.Len())
	})
	t.Run("the sessions of an organisation that are idle for longest are forgotten", func(t *testing.T) {
		f := newFixture()
		used(f, maxIdleSessions+10, func(a *Ask, i namekey.Key) { a.Session = i })
		sessions := f.upstreams[1].queue.class(0).organisations.flows[1].sessions
		assert.Len(t, sessions.flows, maxIdleSessions)
		assert.NotContains(t, sessions.flows, namekey.Key(100))
		assert.Equal(t, int64(10), f.Sizes().Evicted)
	})
	t.Run("denials of an owner that shuts down tell times, and its own asks stay", func(t *testing.T) {
		f := learnt()
		f.busy(t)
		own := f.long()
		own.ID.Box = "owner"
		f.ask(t, f.long(), Queued)
		f.ask(t, own, Queued)
		a := f.short()
		f.ask(t, a, Queued)
		denied := map[ID]Answer{}
		for _, g := range f.DenyQueued("owner") {
			denied[g.ID] = g.Answer
		}
		require.Len(t, denied, 2)
		for _, answer := range denied {
			assert.Greater(t, answer.StartInMs, clock.Millis(600), "behind the prompt that is read")
			assert.Positive(t, answer.DrainMs)
		}
		assert.Equal(t, 1, f.Sizes().Queued)
	})
}
