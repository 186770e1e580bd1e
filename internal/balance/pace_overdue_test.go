package balance

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/admission"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/pace"
)

// newLearning returns a fixture that has learnt that requests without a prompt take 100 ms.
func newLearning(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t, 6)
	f.SetLearnPace(true)
	for range 40 {
		f.timesOf("p").FirstByte.Observe(0, 100, pace.UsualPercent)
	}
	return f
}

// send sends a request to an upstream.
func (f *fixture) send(t *testing.T, id string) *Lease {
	t.Helper()
	others := []string{"u0", "u1", "u2", "u3", "u4", "u5"}
	l := f.pick(t, PickRequest{Pool: "p", Tried: slices.DeleteFunc(others, func(o string) bool { return o == id })})
	require.NoError(t, l.CheckBeforeSend())
	return l
}

// answer has an upstream respond in its usual time.
func (f *fixture) answer(t *testing.T, id string) {
	t.Helper()
	l := f.send(t, id)
	f.now += 100
	l.RecordAnswered()
	l.RecordResponseStart()
	l.Release(Succeeded)
}

// slow returns the number of slow upstreams.
func (f *fixture) slow() int {
	f.FindOverdue()
	return f.PaceCounts().Slow["p"]
}

// TestOverdueRequests guards against an upstream that is found slow only when a spell is over, and against sound ones that
// are taken for slow.
func TestOverdueRequests(t *testing.T) {
	t.Run("a request without a response marks its upstream at a pick, and other boxes are told", func(t *testing.T) {
		f := newLearning(t)
		f.send(t, "u0")
		f.answer(t, "u3")
		assert.Zero(t, f.slow())
		f.now += 70
		assert.NotEqual(t, "u0", f.pick(t, PickRequest{Pool: "p"}).ID)
		unsent := f.TakeUnsentFindings()
		require.Len(t, unsent, 1)
		assert.Equal(t, f.byID["u0"].key, unsent[0].Upstream)
		assert.InDelta(t, 340, int(unsent[0].Percent), 20, "170 ms of 100 ms, and not answered yet")
		assert.Equal(t, map[string]int64{paceOverdue: 1}, f.PaceCounts().TurnedSlow)
		assert.Equal(t, paceOverdue, f.TakePaceChanges()[0].Source)
	})
	t.Run("a lost request marks a sound upstream for one hold, or until it responds to another one", func(t *testing.T) {
		for _, responds := range []bool{false, true} {
			f := newLearning(t)
			f.send(t, "u0")
			f.answer(t, "u3")
			f.now += 100
			assert.Equal(t, 1, f.slow())
			if responds {
				f.answer(t, "u0")
				assert.Zero(t, f.slow())
				assert.Equal(t, pace.NewUsualFinding(f.byID["u0"].key), f.TakeUnsentFindings()[1])
			}
			f.now += 600
			for range 20 {
				f.answer(t, "u3")
				assert.Zero(t, f.slow())
			}
		}
	})
	t.Run("an upstream that responds to later requests is not slow", func(t *testing.T) {
		f := newLearning(t)
		f.send(t, "u0")
		for range 10 {
			f.answer(t, "u0")
			assert.Zero(t, f.slow())
		}
	})
	t.Run("a loaded upstream with a long queue is not slow", func(t *testing.T) {
		f := newLearning(t)
		l := f.send(t, "u0")
		l.RecordLoad(12)
		l.RecordPace(0, 5)
		l.RecordAnswered()
		f.send(t, "u0")
		f.send(t, "u1")
		l = &Lease{Member: f.byID["u2"], manager: f.Manager, admitted: &admitted{Admission: Admission{
			Asked: []AskedUpstream{{Upstream: "u2", Answer: admission.Answer{StartInMs: 500}}},
		}}}
		l.recordSent(f.now)
		f.answer(t, "u5")
		f.answer(t, "u4")
		f.answer(t, "u3")
		assert.Equal(t, 1, f.slow())
		assert.True(t, f.byID["u1"].pace.Slow(f.now), "only u1 is not known to have a queue")
	})
	t.Run("a stalled path marks none, and is found by its own rules", func(t *testing.T) {
		f := newLearning(t)
		for _, u := range f.list {
			f.send(t, u.ID)
		}
		f.now += clock.Second
		assert.Zero(t, f.slow())
		assert.Len(t, f.SilentPools(), 1)
	})
	t.Run("a stalled upstream that gets few requests for its pace is checked", func(t *testing.T) {
		f := newLearning(t)
		f.send(t, "u0")
		for range minAnsweredByOthers {
			f.answer(t, "u3")
		}
		assert.Equal(t, 1, f.slow())
		f.now += maxUpstreamSilenceMs
		require.Len(t, f.SilentMembers(), 1)
	})
}
