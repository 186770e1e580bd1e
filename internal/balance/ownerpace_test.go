package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/admission"
)

// TestOwnerPace guards against prompts to an engine that its owner knows to be slow, against findings that owners and
// boxes keep alive by telling them to each other, and against effects where no paces are learned.
func TestOwnerPace(t *testing.T) {
	slowReply := granted()
	slowReply.Answer.SlowPercent = 420
	// start returns the engine of a session, of which a reply told that it is slow.
	start := func(t *testing.T, learn bool, reply admission.Reply) (f *admissionFixture, slow string) {
		t.Helper()
		f = withOwners(newFixture(t, 12), granted(), reply, granted())
		f.SetLearnPace(learn)
		f.now += 10_000
		slow = f.pickAdmitted(t, prompted("s")).ID
		f.pickAdmitted(t, prompted("s"))
		return f, slow
	}
	// next returns the engine of the session's next prompt, and the pace that is told to the owner of the slow one.
	next := func(t *testing.T, f *admissionFixture, slow string) (id string, told int) {
		t.Helper()
		id = f.pickAdmitted(t, prompted("s")).ID
		return id, f.byID[slow].paceForOwner(f.now)
	}
	t.Run("an engine that its owner tells to be slow is passed over at once, and for no longer than a spell", func(t *testing.T) {
		f, slow := start(t, true, slowReply)
		assert.Equal(t, []string{slow}, f.released, "the permit is returned")
		id, told := next(t, f, slow)
		assert.NotEqual(t, slow, id)
		assert.Zero(t, told, "the owner is not told what it told")
		f.now += 600 - ownerPaceAgeMs
		id, _ = next(t, f, slow)
		assert.Equal(t, slow, id)
		f.replies = []admission.Reply{slowReply}
		f.pickAdmitted(t, prompted("s"))
		assert.Len(t, f.released, 2, "a prompt goes to another engine once, if all are told to be slow")
	})
	t.Run("the box's own findings are told and count more", func(t *testing.T) {
		f, slow := start(t, true, slowReply)
		f.now++
		f.report(slow, 300)
		_, told := next(t, f, slow)
		assert.Equal(t, 300, told)
		f.report(slow, 100)
		f.recordOwnerPace(f.byID[slow], slowReply)
		id, told := next(t, f, slow)
		assert.Equal(t, slow, id, "the report is newer than what the owner told")
		assert.Equal(t, 100, told)
	})
	t.Run("where no paces are learned, or no owner answers, nothing changes", func(t *testing.T) {
		unanswered := slowReply
		unanswered.Unknown = true
		for learn, reply := range map[bool]admission.Reply{false: slowReply, true: unanswered} {
			f, slow := start(t, learn, reply)
			id, _ := next(t, f, slow)
			assert.Equal(t, slow, id)
			assert.Empty(t, f.released, "no permit is returned")
		}
	})
	t.Run("a permit isn't returned because of other prompts if no paces are learned", func(t *testing.T) {
		f := withOwners(newFixture(t, 12), slowReply)
		f.onAsk = func(*Member, admission.Ask) {
			for range 3 {
				f.pick(t, sticky("s"))
			}
		}
		f.pickAdmitted(t, prompted("s"))
		assert.Empty(t, f.released)
	})
}
