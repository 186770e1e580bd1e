package balance

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/pace"
	"dooryard.example/dooryard/internal/prompt"
)

// report has an upstream report a pace in the response to a request, which is not counted otherwise.
func (f *fixture) report(id string, percent int) {
	l := &Lease{Member: f.byID[id], manager: f.Manager}
	l.RecordPace(percent, 0)
}

// observeTimes records samples of a time to the first byte of 20 ms and 0.05 ms per token.
func (f *fixture) observeTimes(samples int) {
	for i := range samples {
		f.timesOf("p").FirstByte.Observe(1000*(i%2), clock.Millis(20+50*(i%2)), 100)
	}
}

// withShared returns a request of a session with shared parts of a length.
func withShared(tokens int) PickRequest {
	return PickRequest{Pool: "p", Sticky: true, Prompt: prompt.Prompt{{ID: "s", Tokens: tokens}, {ID: "own", Tokens: 100}}}
}

// TestSlowIsPassedOver guards against requests to an upstream that is known to be slow.
func TestSlowIsPassedOver(t *testing.T) {
	start := func(t *testing.T, upstreams int, request PickRequest) (f *fixture, first *Lease) {
		t.Helper()
		f = newFixture(t, upstreams)
		first = f.pick(t, request)
		first.Release(Succeeded)
		return f, first
	}
	t.Run("a session goes to another engine until the hold is over", func(t *testing.T) {
		f, first := start(t, 6, sticky("s"))
		f.report(first.ID, 300)
		second := f.pick(t, sticky("s"))
		require.NoError(t, second.CheckBeforeSend())
		assert.NotEqual(t, first.ID, second.ID)
		assert.Equal(t, Skipped{Upstream: first.ID, Reason: SkipSlow}, second.Skipped)
		assert.Equal(t, PaceCounts{
			Slow: map[string]int{"p": 1}, TurnedSlow: map[string]int64{paceReported: 1}, PassedOver: 1,
		}, f.PaceCounts())
		f.now += 600
		assert.Equal(t, first.ID, f.pick(t, sticky("s")).ID)
	})
	t.Run("one request tries the engine after the hold", func(t *testing.T) {
		f, first := start(t, 6, sticky("s"))
		f.report(first.ID, 300)
		f.now += 600
		trial := f.pick(t, sticky("s"))
		require.NoError(t, trial.CheckBeforeSend())
		assert.Equal(t, first.ID, trial.ID)
		assert.NotEqual(t, first.ID, f.pick(t, sticky("s")).ID)
		trial.RecordPace(100, 0)
		assert.Equal(t, first.ID, f.pick(t, sticky("s")).ID)
	})
	t.Run("a plain service's request goes to another upstream, and to the slow one before others are full", func(t *testing.T) {
		f, first := start(t, 3, PickRequest{Pool: "p"})
		f.report(first.ID, 200)
		seen := map[string]int{}
		for range 27 {
			seen[f.pick(t, PickRequest{Pool: "p"}).ID]++
		}
		assert.Positive(t, seen[first.ID])
		assert.Less(t, seen[first.ID], 27/3)
	})
	t.Run("a session stays where its parts are cached if that is sooner", func(t *testing.T) {
		// Without times per token, it stays with more than 4,000 tokens at a pace below 300.
		for _, c := range []struct {
			tokens, percent, samples int
			stays                    bool
		}{
			{5000, 200, 0, true},
			{5000, 300, 0, false},
			{3000, 200, 0, false},
			{3000, 200, 40, true},
			{300, 200, 40, false},
		} {
			f, first := start(t, 6, withShared(c.tokens))
			f.observeTimes(c.samples)
			f.report(first.ID, c.percent)
			assert.Equal(t, c.stays, f.pick(t, withShared(c.tokens)).ID == first.ID, "%+v", c)
		}
	})
	t.Run("a session stays where its parts are cached if it is in time there", func(t *testing.T) {
		for objective, stays := range map[clock.Millis]bool{500: true, 60: false} {
			request := withShared(3000)
			request.Transfers, request.ObjectiveMs = true, objective
			f, first := start(t, 6, request)
			f.observeTimes(40)
			f.report(first.ID, 250)
			assert.Equal(t, stays, f.pick(t, request).ID == first.ID, "objective of %d ms", objective)
		}
	})
	t.Run("if more than half are slow, none is passed over", func(t *testing.T) {
		f, first := start(t, 5, sticky("s"))
		for _, u := range f.list[:3] {
			f.report(u.ID, 1000)
		}
		f.report(first.ID, 1000)
		assert.Equal(t, first.ID, f.pick(t, sticky("s")).ID)
	})
	t.Run("pace neither ejects nor excludes an upstream", func(t *testing.T) {
		f := newFixture(t, 2)
		for range 100 {
			f.report("u0", 1000)
		}
		assert.False(t, f.byID["u0"].health.Ejected(f.now))
		assert.Equal(t, "u0", f.pick(t, PickRequest{Pool: "p", Tried: []string{"u1"}}).ID)
		assert.Equal(t, "u0", f.pick(t, PickRequest{Pool: "p", Sticky: true, Prompt: sticky("s").Prompt, Full: []string{"u1"}}).ID)
	})
}

// TestPaceFindings guards against findings that boxes miss, or apply to another incarnation of an upstream.
func TestPaceFindings(t *testing.T) {
	t.Run("a box tells at once what it didn't know, and for a second with pings", func(t *testing.T) {
		f, other := newFixture(t, 6), newFixture(t, 6)
		l := f.pick(t, sticky("s"))
		finding, tell := l.RecordPace(300, 0)
		assert.True(t, tell)
		_, tell = l.RecordPace(300, 0)
		assert.False(t, tell)
		f.now += 500
		assert.Equal(t, []pace.Finding{{Upstream: l.Key(), Percent: 300, AgeTens: 50}}, f.PaceFindings())
		other.RecordPaceFindings([]pace.Finding{finding})
		assert.NotEqual(t, l.ID, other.pick(t, sticky("s")).ID)
		assert.Empty(t, other.PaceFindings(), "what another box found is not told again")
		f.now += 510
		assert.Empty(t, f.PaceFindings())
	})
	t.Run("findings of other pools or of no sense are ignored", func(t *testing.T) {
		f := newFixture(t, 2)
		f.RecordPaceFindings([]pace.Finding{
			{Upstream: namekey.Of("gone"), Percent: 300},
			{Upstream: namekey.Of("u0"), Percent: 90},
			{Upstream: namekey.Of("u0"), Percent: 300, AgeTens: 200},
		})
		assert.Empty(t, f.PaceCounts().Slow)
	})
	t.Run("a restarted or new upstream has no pace", func(t *testing.T) {
		f := newFixture(t, 4).withStartTimes()
		before := f.pick(t, sticky("s"))
		before.RecordPace(300, 0)
		told := f.PaceFindings()
		released := slices.Clone(f.list)
		for i := range released {
			released[i].StartedMs = 2
		}
		f.SetUpstreams(released)
		f.RecordPaceFindings(told)
		before.RecordPace(500, 0)
		assert.Empty(t, f.PaceCounts().Slow)
		assert.Equal(t, before.ID, f.pick(t, sticky("s")).ID)
	})
	t.Run("changes are kept for the log at a limited rate", func(t *testing.T) {
		f := newFixture(t, 12)
		for _, u := range f.list {
			f.report(u.ID, 300)
		}
		changes := f.TakePaceChanges()
		require.Len(t, changes, maxPaceChanges)
		assert.Equal(t, PaceChange{
			Upstream: "u0", Pool: "p", Percent: 300, Slow: true, HoldMs: 600, Source: paceReported,
		}, changes[0])
		f.now += paceSpanMs
		f.report("u0", 100)
		assert.Equal(t, []PaceChange{
			{Upstream: "u0", Pool: "p", Percent: 100, HoldMs: 600, Source: paceReported, Omitted: 2},
		}, f.TakePaceChanges())
	})
}

// TestLearnedFromGaps guards against an upstream that is not found slow because its responses begin in time, and against
// one whose gaps are longer because it runs more streams.
func TestLearnedFromGaps(t *testing.T) {
	f := newFixture(t, 12)
	f.SetLearnPace(true)
	streams, gapMs := map[int]int{1: 6}, map[int]clock.Millis{1: 20, 2: 30}
	for range 40 {
		for i, u := range f.list {
			l := &Lease{Member: f.byID[u.ID], manager: f.Manager, path: f.pathTo(u.FailureDomain)}
			l.recordSent(f.now)
			l.inFlight = max(1, streams[i])
			for range pace.GapsPerSample + 1 {
				f.now += max(10, gapMs[i])
				l.RecordContact()
			}
			l.endUnanswered()
			f.now -= (pace.GapsPerSample + 1) * max(10, gapMs[i])
		}
		f.now += 500
	}
	for i, u := range f.list {
		assert.Equal(t, i == 2, f.byID[u.ID].pace.FoundSlow(), u.ID)
	}
}

// TestNothingChangesWithoutPace guards against choices that change where no upstream reports a pace and none is learnt.
func TestNothingChangesWithoutPace(t *testing.T) {
	f := newFixture(t, 6)
	for i := range 200 {
		l := f.pick(t, sticky("s"))
		require.NoError(t, l.CheckBeforeSend())
		f.now += clock.Millis(1 + 400*(i%2))
		l.RecordPace(0, 3)
		l.RecordResponseStart()
		l.Release(Succeeded)
	}
	assert.False(t, f.paces.used)
	assert.Empty(t, f.paces.times)
	assert.Empty(t, f.paces.overdue)
	assert.Empty(t, f.TakePaceChanges())
	for _, member := range f.byID {
		assert.Zero(t, member.unanswered+member.unansweredTokens)
	}
}
