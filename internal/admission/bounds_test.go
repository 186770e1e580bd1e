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
	t.Run("upstreams and pools beyond the bounds get no answer, and known ones do", func(t *testing.T) {
		f := newFixture()
		ask := func(pool, upstream namekey.Key, want Verdict) {
			a := f.short()
			a.Pool, a.Upstream = pool, upstream
			f.ask(t, a, want)
		}
		for i := range namekey.Key(maxUpstreams) {
			ask(min(i, maxPools-1), i, Granted)
		}
		ask(1, maxUpstreams, Unanswered)
		ask(1, 1, Granted)
		f.ReleaseBox("box")
		f.now += idleTTLMs
		f.Expire()
		ask(maxPools, 1, Unanswered)
		ask(1, 1, Granted)
		assert.Equal(t, 1, f.Sizes().Upstreams)
		assert.Equal(t, int64(2), f.Sizes().Unanswered)
	})
	// use lets organisations, or sessions of one, use an engine one after the other.
	use := func(f *fixture, count int, key func(a *Ask) *namekey.Key) (flows map[namekey.Key]*flow) {
		for i := range namekey.Key(count) {
			a := f.short()
			a.Upstream = 3
			*key(&a) = i + 100
			f.Ask(a)
			f.Release(a.ID, true)
		}
		return f.upstreams[3].queue.class(0).organisations.flows
	}
	t.Run("the organisations that are idle for longest are forgotten, and not those that wait", func(t *testing.T) {
		f := learnt()
		head, waits := f.busy(t), f.long()
		waits.Organisation = 7
		f.ask(t, waits, Queued)
		flows := use(f, maxIdleOrganisations+10, func(a *Ask) *namekey.Key { return &a.Organisation })
		assert.Len(t, flows, maxIdleOrganisations)
		assert.NotContains(t, flows, namekey.Key(100))
		assert.Positive(t, f.Sizes().Evicted)
		assert.Equal(t, []ID{waits.ID}, f.order(head))
		f.now += flowTTLMs
		f.Expire()
		assert.Zero(t, f.pools[1].organisations.entries.Len())
	})
	t.Run("the sessions of an organisation that are idle for longest are forgotten", func(t *testing.T) {
		f := newFixture()
		sessions := use(f, maxIdleSessions+10, func(a *Ask) *namekey.Key { return &a.Session })[1].sessions
		assert.Len(t, sessions.flows, maxIdleSessions)
		assert.NotContains(t, sessions.flows, namekey.Key(100))
		assert.Equal(t, int64(10), f.Sizes().Evicted)
	})
	t.Run("denials of an owner that shuts down tell times, and its own asks stay", func(t *testing.T) {
		f := learnt()
		f.busy(t)
		for _, box := range []string{"owner", "box", "box"} {
			a := f.long()
			a.ID.Box, a.InTimeMs, a.PatienceMs = box, 10_000, 20_000
			f.ask(t, a, Queued)
		}
		grants := f.DenyQueued("owner")
		require.Len(t, grants, 2)
		last, first := grants[0].Answer, grants[1].Answer
		assert.Greater(t, first.StartInMs, clock.Millis(1200), "behind the prompt that is read and the one that stays")
		assert.Greater(t, last.StartInMs, first.StartInMs)
		assert.Positive(t, first.DrainMs)
		assert.Equal(t, 1, f.Sizes().Queued)
	})
}
