package balance

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/admission"
	"dooryard.example/dooryard/internal/namekey"
)

// overBound is the denial of an owner whose engine has reached the load bound and could start the prompt at once.
func overBound() admission.Reply { return denied(40, 0) }

// TestAdmissionWithinBound guards against prompts that are sent to engines above the load bound, although others have
// room or the engine would have soon.
func TestAdmissionWithinBound(t *testing.T) {
	t.Run("after the session's order the least loaded engines are asked", func(t *testing.T) {
		replies := append(slices.Repeat([]admission.Reply{overBound()}, maxAdmissionAsks), granted())
		f := withOwners(inLargeFleet(t, 120), replies...)
		order := rank("s", f.pools["p"])
		reports := map[namekey.Key]int{}
		for _, member := range order[:len(order)-1] {
			reports[member.key] = 10
		}
		f.SetOthersInFlight(reports)
		l := f.pickAdmitted(t, prompted("s"))
		assert.Equal(t, order[len(order)-1].ID, l.ID)
		assert.Equal(t, OwnerPermit, l.Permit.Source)
		for _, a := range f.asks {
			assert.Equal(t, 17, a.Bound)
		}
	})
	t.Run("not if their work prevents it", func(t *testing.T) {
		f := withOwners(inLargeFleet(t, 120), denied(9000, 700))
		f.refusal(t, prompted("s"))
		assert.Len(t, f.asked, maxAdmissionAsks)
	})
	t.Run("if all are at the bound, one with a low load gets it", func(t *testing.T) {
		replies := append(slices.Repeat([]admission.Reply{overBound()}, maxAdmissionAsks+maxLeastLoaded), granted())
		f := withOwners(inLargeFleet(t, 120), replies...)
		order := rank("s", f.pools["p"])
		reports := map[namekey.Key]int{}
		for i, member := range order {
			reports[member.key] = 12 - i
		}
		f.SetOthersInFlight(reports)
		l := f.pickAdmitted(t, prompted("s"))
		assert.GreaterOrEqual(t, l.Rank, len(order)/2, "of the half with the least load")
		assert.Equal(t, f.asked[len(f.asked)-1], l.ID, "the one that was asked last")
		assert.Equal(t, UnboundedPermit, l.Permit.Source)
	})
	// holding returns a fleet whose first engine in the session's order caches the session's long parts.
	holding := func(t *testing.T, replies ...admission.Reply) (f *admissionFixture, holder string) {
		t.Helper()
		f = withOwners(inLargeFleet(t, 120), granted())
		first := f.pickAdmitted(t, prompted("s"))
		first.Release(Succeeded)
		f.replies, f.asked, f.asks = replies, nil, nil
		return f, first.ID
	}
	t.Run("it waits at the engine that caches its parts until that has room", func(t *testing.T) {
		f, holder := holding(t, overBound(), granted())
		assert.Equal(t, holder, f.pickAdmitted(t, prompted("s")).ID)
		assert.Equal(t, []string{holder, holder}, f.asked)
		assert.True(t, f.asks[1].MayQueue)
		assert.Equal(t, 17, f.asks[1].Bound)
		assert.Equal(t, f.asks[1].InTimeMs/2, f.asks[1].PatienceMs)
	})
	t.Run("if all others have too much work, it is sent there in the end", func(t *testing.T) {
		f, holder := holding(t, overBound(), denied(9000, 0), denied(9000, 700))
		f.onAsk = func(upstream *Member, a admission.Ask) {
			if upstream.ID == holder && a.Bound == 0 {
				f.replies = []admission.Reply{granted()}
			}
		}
		assert.Equal(t, holder, f.pickAdmitted(t, prompted("s")).ID)
	})
	t.Run("and goes to another one if that takes too long", func(t *testing.T) {
		f, holder := holding(t, overBound(), overBound(), granted())
		f.onAsk = func(_ *Member, a admission.Ask) {
			if a.MayQueue {
				f.now += a.PatienceMs
			}
		}
		l := f.pickAdmitted(t, prompted("s"))
		assert.NotEqual(t, holder, l.ID)
		assert.Equal(t, OwnerPermit, l.Permit.Source)
		assert.Equal(t, testPatienceMs-refusalMs, f.asks[2].PatienceMs+f.asks[1].PatienceMs, "of the rest of its time")
		a, _ := l.Admission()
		assert.Positive(t, a.WaitedMs)
	})
}
