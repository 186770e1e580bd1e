package balance

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/registry"
)

// These tests guard against requests to upstreams that asked a box to back off. An upstream that
// refuses requests holds none, so it looked the least loaded and received the box's next requests
// while its signals were ignored.

const backoffMs clock.Millis = 3000

// newBackoffFixture returns a fixture in which the first choice for a session asked for a backoff.
func newBackoffFixture(t *testing.T, count int) (f *fixture, first *Lease) {
	t.Helper()
	f = newFixture(t, count).withStartTimes()
	first = f.pick(t, sticky("s"))
	first.BackOff(backoffMs, "r")
	first.Release(Neutral)
	return f, first
}

// assertReceivesRequests checks whether some of many requests of a pool go to an upstream.
func assertReceivesRequests(t *testing.T, f *fixture, id string, want bool) {
	t.Helper()
	received := false
	for i := range 50 {
		for _, ask := range []PickRequest{{Pool: "p"}, sticky("s"), sticky(fmt.Sprint("s", i))} {
			l, err := f.Pick(ask)
			if err != nil {
				continue
			}
			received = received || l.ID == id
			l.Release(Succeeded)
		}
	}
	assert.Equal(t, want, received)
}

func TestBackoff(t *testing.T) {
	t.Run("an upstream that is backing off receives nothing until the end, and is then the session's first choice again", func(t *testing.T) {
		f, first := newBackoffFixture(t, 6)
		l := f.pick(t, sticky("s"))
		assert.Equal(t, Skipped{Upstream: first.ID, Reason: SkipBackoff}, l.Skipped)
		l.Release(Succeeded)
		f.now += backoffMs - 1
		assertReceivesRequests(t, f, first.ID, false)
		f.now++
		assert.Equal(t, first.ID, f.pick(t, sticky("s")).ID)
	})
	t.Run("the latest end of a backoff applies", func(t *testing.T) {
		f, first := newBackoffFixture(t, 3)
		first.BackOff(backoffMs/2, "later")
		f.now += backoffMs - 1
		assertReceivesRequests(t, f, first.ID, false)
	})
	t.Run("a backoff is reported as new once", func(t *testing.T) {
		f, first := newBackoffFixture(t, 3)
		assert.False(t, first.BackOff(backoffMs, "again"))
		f.now += backoffMs
		assert.True(t, first.BackOff(backoffMs, "again"))
	})
	t.Run("a backoff applies even if the other upstreams are ejected", func(t *testing.T) {
		f, first := newBackoffFixture(t, 3)
		for range 2 {
			l := f.pick(t, PickRequest{Pool: "p"})
			l.Release(Unreachable)
		}
		assertReceivesRequests(t, f, first.ID, false)
	})
	t.Run("a backoff outlasts an ejection and its end", func(t *testing.T) {
		f, first := newBackoffFixture(t, 3)
		first.manager.recordResult(first.Member, Unreachable)
		f.now += backoffMs - 1
		assertReceivesRequests(t, f, first.ID, false)
	})
	t.Run("a backoff outlasts an entry that changes, expires and reappears", func(t *testing.T) {
		f, first := newBackoffFixture(t, 3)
		f.SetUpstreams(nil)
		f.now += backoffMs / 2
		f.list[0].Address, f.list[1].Slots, f.list[2].Draining = "127.0.0.1:99", 9, false
		f.SetUpstreams(f.list)
		f.now += backoffMs/2 - 1
		assertReceivesRequests(t, f, first.ID, false)
		f.now++
		assertReceivesRequests(t, f, first.ID, true)
	})
	t.Run("a backoff outlasts a partition that heals", func(t *testing.T) {
		f, first := newBackoffFixture(t, 3)
		f.RecordProbe(first.FailureDomain, false)
		f.RecordProbe(first.FailureDomain, true)
		assertReceivesRequests(t, f, first.ID, false)
	})
	t.Run("a restart ends a backoff that was certainly requested before", func(t *testing.T) {
		f := newFixture(t, 3).withStartTimes()
		first := f.pick(t, sticky("s"))
		first.BackOff(10*backoffMs, "r")
		first.Release(Neutral)
		f.now += maxRestartLagMs + 1
		assertReceivesRequests(t, f, first.ID, false)
		f.restart(first.ID)
		assertReceivesRequests(t, f, first.ID, true)
	})
	t.Run("in doubt, a backoff outlasts a restart", func(t *testing.T) {
		// A server crashed while a box sent it nothing, and its next incarnation refused the box's next
		// request 0.7 s before its restart was noticed.
		f, first := newBackoffFixture(t, 3)
		f.now += 700
		f.restart(first.ID)
		assertReceivesRequests(t, f, first.ID, false)
		f.now += backoffMs - 700
		assertReceivesRequests(t, f, first.ID, true)
	})
	t.Run("a request that was picked before a backoff is not sent", func(t *testing.T) {
		f := newFixture(t, 3)
		one, two := f.pick(t, sticky("s")), f.pick(t, sticky("s"))
		require.Equal(t, one.ID, two.ID)
		require.NoError(t, two.CheckBeforeSend())
		one.BackOff(backoffMs, "r")
		require.ErrorIs(t, two.CheckBeforeSend(), ErrBackingOff)
		f.now += backoffMs
		require.NoError(t, two.CheckBeforeSend())
	})
	t.Run("of requests that were picked before a backoff, one at a time is sent after it", func(t *testing.T) {
		f := newFixture(t, 3)
		one, two, three := f.pick(t, sticky("s")), f.pick(t, sticky("s")), f.pick(t, sticky("s"))
		require.Equal(t, []string{one.ID, one.ID}, []string{two.ID, three.ID})
		one.BackOff(backoffMs, "r")
		f.now += backoffMs
		require.NoError(t, two.CheckBeforeSend())
		require.ErrorIs(t, three.CheckBeforeSend(), ErrBackingOff)
		assert.NotEqual(t, one.ID, f.pick(t, sticky("s")).ID)
		two.RecordResponseStart()
		require.NoError(t, three.CheckBeforeSend())
	})
	t.Run("nothing is fetched from an upstream that is backing off", func(t *testing.T) {
		f := newFixture(t, 6)
		ask := sticky("s")
		ask.Transfers = true
		first := f.pick(t, ask)
		first.RecordResponseStart()
		first.Release(Succeeded)
		first.BackOff(backoffMs, "r")
		elsewhere := f.pick(t, ask)
		assert.Empty(t, elsewhere.FetchFrom)
		assert.Equal(t, Prefill{Tokens: 1000, Reason: PrefillEngineUnreachable}, elsewhere.Prefill)
	})
	t.Run("single trial requests are sent after a backoff, until one is answered", func(t *testing.T) {
		f, first := newBackoffFixture(t, 6)
		f.now += backoffMs
		trial := f.pick(t, sticky("s"))
		assert.Equal(t, first.ID, trial.ID)
		assert.NotEqual(t, first.ID, f.pick(t, sticky("s")).ID)
		trial.RecordResponseStart()
		assert.Equal(t, first.ID, f.pick(t, sticky("s")).ID)
	})
	t.Run("a response to a request from before a backoff does not end the trials after it", func(t *testing.T) {
		f := newFixture(t, 6)
		earlier, refused := f.pick(t, sticky("s")), f.pick(t, sticky("s"))
		require.Equal(t, earlier.ID, refused.ID)
		refused.BackOff(backoffMs, "r")
		refused.Release(Neutral)
		earlier.RecordResponseStart()
		earlier.Release(Succeeded)
		f.now += backoffMs
		assert.Equal(t, earlier.ID, f.pick(t, sticky("s")).ID)
		assert.NotEqual(t, earlier.ID, f.pick(t, sticky("s")).ID)
	})
	t.Run("a response that arrives while the entry is gone, or later, counts", func(t *testing.T) {
		f := newFixture(t, 3).withStartTimes()
		one, two := f.pick(t, sticky("s")), f.pick(t, sticky("s"))
		require.Equal(t, one.ID, two.ID)
		f.SetUpstreams(nil)
		one.BackOff(backoffMs, "r")
		f.SetUpstreams(f.list)
		assertReceivesRequests(t, f, one.ID, false)
		f.now += backoffMs
		two.BackOff(backoffMs, "r")
		assertReceivesRequests(t, f, one.ID, false)
	})
	t.Run("a backoff by the next incarnation before the previous entry was gone is inherited", func(t *testing.T) {
		f := newFixture(t, 3).withStartTimes()
		first := f.pick(t, sticky("s"))
		first.Release(Unreachable)
		f.now += clock.Second
		first.BackOff(backoffMs, "r")
		f.SetUpstreams(nil)
		f.now += clock.Second
		f.restart(first.ID)
		assertReceivesRequests(t, f, first.ID, false)
		f.now += backoffMs - clock.Second
		assertReceivesRequests(t, f, first.ID, true)
	})
	t.Run("a backoff by the next incarnation before its restart was noticed is inherited", func(t *testing.T) {
		// A server crashed, restarted under its ID within a second, and asked six boxes for a backoff
		// before they noticed the restart. The backoff was attributed to the previous incarnation, and
		// 4 to 8 requests arrived during it.
		f := newFixture(t, 3).withStartTimes()
		first := f.pick(t, sticky("s"))
		first.Release(Unreachable)
		f.now += clock.Second
		next := &Lease{Member: first.Member, manager: f.Manager, path: first.path}
		next.BackOff(backoffMs, "r")
		f.now += clock.Second
		f.restart(first.ID)
		assertReceivesRequests(t, f, first.ID, false)
		f.now += backoffMs - clock.Second
		assertReceivesRequests(t, f, first.ID, true)
	})
	t.Run("the signals of departed upstreams expire", func(t *testing.T) {
		f, _ := newBackoffFixture(t, 3)
		f.SetUpstreams(nil)
		f.Refresh()
		assert.Len(t, f.departedSignals, 3)
		f.now += signalsTTLMs + 1
		f.Refresh()
		assert.Empty(t, f.departedSignals)
	})
}

func TestAllBackingOff(t *testing.T) {
	newBackoffPool := func(t *testing.T, durations ...clock.Millis) *fixture {
		t.Helper()
		f := newFixture(t, len(durations))
		for i, duration := range durations {
			l := f.pick(t, PickRequest{Pool: "p"})
			l.BackOff(duration, fmt.Sprint("r", i))
			l.Release(Neutral)
		}
		return f
	}
	t.Run("the error names the backoff that ends first and the request that was refused", func(t *testing.T) {
		f := newBackoffPool(t, 4000, 2000, 3000)
		f.now += 500
		_, err := f.Pick(PickRequest{Pool: "p"})
		require.ErrorIs(t, err, ErrNoUpstream)
		var all *AllBackingOffError
		require.ErrorAs(t, err, &all)
		assert.Equal(t, 3, all.Upstreams)
		assert.EqualValues(t, 1500, all.RetryInMs)
		assert.Equal(t, "r1", all.RefusedRequest)
		assert.Equal(t, map[string]int{"p": 3}, f.BackingOff())
	})
	t.Run("an upstream whose address another one has gets nothing while the others back off", func(t *testing.T) {
		f := newBackoffPool(t, 4000, 2000)
		f.list = append(f.list, registry.Upstream{ID: "u9", Pool: "p", Address: "127.0.0.1:50", FailureDomain: "d0", Slots: 8})
		f.SetUpstreams(f.list)
		l := f.pick(t, PickRequest{Pool: "p"})
		assert.Equal(t, "u9", l.ID)
		l.Release(Replaced)
		_, err := f.Pick(PickRequest{Pool: "p"})
		var all *AllBackingOffError
		require.ErrorAs(t, err, &all)
		assert.Equal(t, 2, all.Upstreams)
		f.now += 1000
		assert.Equal(t, "u9", f.pick(t, PickRequest{Pool: "p"}).ID, "its entry may be right again")
	})
	t.Run("callers retry one after the other once the first backoff ends", func(t *testing.T) {
		f := newBackoffPool(t, 8000, 7000)
		last := clock.Millis(0)
		for range 50 {
			duration := f.RetryAfterMs("p", 0)
			assert.Greater(t, duration, max(7000, last))
			last = duration
		}
	})
	t.Run("the delay is bounded by a minute and the retry queue", func(t *testing.T) {
		f := newBackoffPool(t, 24*60*60*clock.Second)
		assert.LessOrEqual(t, f.RetryAfterMs("p", 0), maxAvailabilityDelayMs+maxRetryAfterMs)
	})
	t.Run("callers retry soon if one upstream is available", func(t *testing.T) {
		f := newBackoffPool(t, 8000)
		f.list = append(f.list, registry.Upstream{ID: "new", Pool: "p", Address: "127.0.0.1:50", FailureDomain: "d0", Slots: 8})
		f.SetUpstreams(f.list)
		assert.Less(t, f.RetryAfterMs("p", 0), clock.Second)
	})
	t.Run("the backoff of a draining upstream is not waited for", func(t *testing.T) {
		f := newBackoffPool(t, 8000, 2000)
		for _, member := range f.pools["p"] {
			if member.signals.backoffUntilMs-f.now == 2000 {
				(&Lease{Member: member, manager: f.Manager}).MarkDraining()
			}
		}
		assert.Greater(t, f.RetryAfterMs("p", 0), clock.Millis(8000))
	})
}

func TestDraining(t *testing.T) {
	newDrainingFixture := func(t *testing.T) (*fixture, *Lease) {
		t.Helper()
		f := newFixture(t, 4).withStartTimes()
		l := f.pick(t, sticky("s"))
		assert.True(t, l.MarkDraining())
		assert.False(t, l.MarkDraining(), "already known")
		return f, l
	}
	t.Run("a draining upstream receives no more requests", func(t *testing.T) {
		f, l := newDrainingFixture(t)
		assertReceivesRequests(t, f, l.ID, false)
		assert.Equal(t, SkipDraining, f.pick(t, sticky("s")).Skipped.Reason)
		require.ErrorIs(t, l.CheckBeforeSend(), ErrDraining)
	})
	t.Run("a change of its entry does not end draining", func(t *testing.T) {
		f, l := newDrainingFixture(t)
		f.SetUpstreams(nil)
		f.now += signalsTTLMs / 2
		f.SetUpstreams(f.list)
		assertReceivesRequests(t, f, l.ID, false)
	})
	t.Run("a restart ends draining", func(t *testing.T) {
		f, l := newDrainingFixture(t)
		f.restart(l.ID)
		assertReceivesRequests(t, f, l.ID, true)
	})
	t.Run("draining is not new if the entry announced it first", func(t *testing.T) {
		f := newFixture(t, 1).withStartTimes()
		l := f.pick(t, sticky("s"))
		f.list[0].Draining = true
		f.SetUpstreams(f.list)
		assert.False(t, l.MarkDraining())
	})
	t.Run("parts that it caches are fetched until it is gone", func(t *testing.T) {
		f, l := newDrainingFixture(t)
		l.RecordResponseStart()
		ask := sticky("s")
		ask.Transfers = true
		assert.Equal(t, l.Address, f.pick(t, ask).FetchFrom)
	})
}
