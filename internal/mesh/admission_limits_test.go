package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/admission"
	"dooryard.example/dooryard/internal/clock"
)

// pass lets seconds pass, in which the owner expires what is due.
func (f *admissions) pass(seconds int) {
	f.t.Helper()
	for range seconds {
		advance(f.t, time.Second)
		synctest.Wait()
		f.owner.ExpireAdmissions()
	}
}

// restartOwner replaces the owner by a new process at its address.
func (f *admissions) restartOwner() {
	f.owner.stop()
	synctest.Wait()
	asker := f.boxes[1]
	f.boxes, f.restarts = f.boxes[:0], 1
	f.owner = f.start("d1")
	f.boxes = append(f.boxes, asker)
}

// enlarge lets a box count as one of a large fleet.
func (b *box) enlarge() {
	b.Mesh.mu.Lock()
	defer b.Mesh.mu.Unlock()
	b.directPeers += smallFleetBoxes
}

// TestAdmissionLimits guards against requests that run uncounted after 20 s, against those that are counted for more than
// 20 s after their box has died, and against boxes that wait for owners that don't answer.
func TestAdmissionLimits(t *testing.T) {
	for name, test := range map[string]func(f *admissions){
		"requests of the owner and of another box count while they run": func(f *admissions) {
			a := f.ask(false)
			a.Slots = 2
			remote, local := f.asker.Admit(f.t.Context(), "d1", a), f.owner.Admit(f.t.Context(), "d1", a)
			f.pass(60)
			f.assertSizes(2, 0)
			assert.Positive(f.t, f.asker.Sizes().AdmissionsRenewed)
			remote.Release(true)
			local.Release(true)
			f.assertSizes(0, 0)
		},
		"every second renewal is lost": func(f *admissions) {
			f.admit(f.asker)
			for range 4 {
				f.lose(admissionRenewal, 1)
				f.pass(18)
				f.assertSizes(1, 0)
			}
		},
		"the asking box dies": func(f *admissions) {
			f.admit(f.asker)
			f.pass(30)
			f.asker.stop()
			f.pass(21)
			f.assertSizes(0, 0)
		},
		"the owner restarts and ignores requests that it doesn't know": func(f *admissions) {
			f.admit(f.asker)
			f.restartOwner()
			f.pass(30)
			f.assertSizes(0, 0)
			assert.Zero(f.t, f.owner.Sizes().Ignored)
			assertVerdict(f.t, admission.Granted, f.admit(f.asker))
		},
		"another box renews under the same number": func(f *admissions) {
			f.admit(f.asker)
			f.lose(admissionRenewal, -1)
			f.owner.admissionOwner.renew("127.0.0.9:7000", []uint32{f.asker.admissions.nextNumber})
			f.pass(21)
			f.assertSizes(0, 0)
			assert.Zero(f.t, f.owner.Sizes().Admissions.Renewed)
		},
		"a box is told the pace that another one reported, until the owner restarts": func(f *admissions) {
			a := f.ask(false)
			f.owner.Admit(f.t.Context(), "d1", a).Release(true)
			f.pass(3)
			a.SlowPercent = 420
			f.owner.Admit(f.t.Context(), "d1", a).Release(true)
			reply := f.admit(f.asker)
			reply.Release(true)
			assert.Zero(f.t, reply.Answer.SlowPercent, "boxes of a small fleet tell each other")
			f.owner.enlarge()
			f.owner.Admit(f.t.Context(), "d1", a).Release(true)
			reply = f.admit(f.asker)
			assert.InDelta(f.t, 420, reply.Answer.SlowPercent, paceStep/2)
			reply.Release(true)
			f.restartOwner()
			f.owner.enlarge()
			advance(f.t, time.Second)
			f.owner.Admit(f.t.Context(), "d1", a).Release(true)
			assert.Zero(f.t, f.admit(f.asker).Answer.SlowPercent, "the new process has counted for less than 3 s")
		},
		"an owner that keeps no more state does not answer": func(f *admissions) {
			onAsk(f.owner, func(_ admission.Ask, answer *admission.Answer) { answer.Verdict = admission.Unanswered })
			for _, b := range []*box{f.asker, f.owner} {
				begun := time.Now()
				assertUnknown(f.t, f.admit(b), time.Since(begun), admissionTimeoutMs.Duration())
			}
		},
		"an owner that always answers late is not asked for 500 ms": func(f *admissions) {
			f.admit(f.asker).Release(true)
			f.lose(admissionAnswer, -1)
			granted := admission.Answer{Verdict: admission.Granted}
			asks := func() (took time.Duration) {
				begun := time.Now()
				f.admit(f.asker)
				took = time.Since(begun)
				f.asker.resolveAdmission(f.asker.admissions.nextNumber, f.owner.self.Address, granted)
				advance(f.t, time.Millisecond)
				return took
			}
			for range maxAdmissionMisses {
				assert.Equal(f.t, admissionTimeoutMs.Duration(), asks())
			}
			assert.Zero(f.t, asks())
			advance(f.t, ownerRetryMs.Duration())
			assert.Equal(f.t, admissionTimeoutMs.Duration(), asks(), "one ask tries the owner")
			assert.Zero(f.t, asks())
			advance(f.t, ownerRetryMs.Duration())
			f.copies.Store(nil)
			assert.Zero(f.t, asks())
			f.lose(admissionAnswer, 1)
			assert.Equal(f.t, admissionTimeoutMs.Duration(), asks())
			assert.Zero(f.t, asks(), "an answer in time ends the row, and one lost answer does not begin a pause")
			assert.False(f.t, f.asker.admissionOwnerUnresponsive(f.owner.self.Box))
		},
		"asks that are lost together count once": func(f *admissions) {
			f.admit(f.asker).Release(true)
			advance(f.t, time.Millisecond)
			f.lose(admissionAsk, -1)
			for range 2 * maxAdmissionMisses {
				f.enqueue(f.asker)
			}
			advance(f.t, admissionTimeoutMs.Duration())
			synctest.Wait()
			f.asker.resolveAdmission(f.asker.admissions.nextNumber, f.owner.self.Address, admission.Answer{Verdict: admission.Queued})
			assert.False(f.t, f.asker.admissionOwnerUnresponsive(f.owner.self.Box))
		},
		"denials of a draining owner tell its times": func(f *admissions) {
			f.admit(f.owner)
			next := f.enqueue(f.asker)
			deny := f.owner.admissionOwner.ledger.denyQueued
			f.owner.admissionOwner.ledger.denyQueued = func(box string) []admission.Grant {
				grants := deny(box)
				grants[0].Answer.StartInMs, grants[0].Answer.DrainMs = 600, 70
				return grants
			}
			f.owner.BroadcastDraining()
			f.assertSizes(1, 0)
			assert.Equal(f.t, admission.Answer{StartInMs: 600, DrainMs: 70, Provisional: true}, next.reply.Answer)
		},
		"a queued ask is not renewed": func(f *admissions) {
			f.admit(f.owner)
			f.enqueue(f.asker)
			f.pass(9)
			assert.Zero(f.t, f.asker.Sizes().AdmissionsRenewed)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runAdmissions(t, test)
		})
	}
}

// TestLongTimes guards against time limits above 65.5 s that are cut short at owners that read them, and against asks
// that owners of earlier releases can't read.
func TestLongTimes(t *testing.T) {
	long := func(f *admissions) admission.Ask {
		a := f.ask(false)
		a.PatienceMs = 120_000
		return a
	}
	runAdmissions(t, func(f *admissions) {
		asked := make(chan clock.Millis, 10)
		onAsk(f.owner, func(a admission.Ask, _ *admission.Answer) { asked <- a.PatienceMs })
		f.asker.Admit(f.t.Context(), "d1", long(f)).Release(true)
		assert.Equal(f.t, clock.Millis(65_535), <-asked, "until the owner has answered, its release is unknown")
		f.asker.Admit(f.t.Context(), "d1", long(f)).Release(true)
		assert.Equal(f.t, clock.Millis(120_000), <-asked)
		f.restartOwner()
		onAsk(f.owner, func(a admission.Ask, _ *admission.Answer) { asked <- a.PatienceMs })
		advance(f.t, time.Second)
		reply := f.asker.Admit(f.t.Context(), "d1", long(f))
		assertVerdict(f.t, admission.Granted, reply)
		assert.Equal(f.t, clock.Millis(65_535), <-asked, "the new process may be of an earlier release")
		// An owner of an earlier release sets no flag in its answers.
		old := newAnswerMessage(f.asker.admissions.nextNumber, admission.Answer{Verdict: admission.Granted})
		old.Flags &= 1<<answerPaceShift - 1
		assert.True(f.t, f.asker.readsLongAsks(f.owner.self.Box))
		f.owner.sendMessage(f.asker.self.Address, old)
		synctest.Wait()
		assert.False(f.t, f.asker.readsLongAsks(f.owner.self.Box))
	})
}
