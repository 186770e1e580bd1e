package mesh

import (
	"math"
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
// 20 s after their box has died, against boxes that wait for owners that don't answer, and against cut time limits.
func TestAdmissionLimits(t *testing.T) {
	for name, test := range map[string]func(f *admissions){
		"requests count while they run, also if every second renewal is lost": func(f *admissions) {
			a := f.ask(false)
			a.Slots = 2
			remote, local := f.asker.Admit(f.t.Context(), "d1", a), f.owner.Admit(f.t.Context(), "d1", a)
			for range 4 {
				f.lose(admissionRenewal, 1)
				f.pass(18)
				f.assertSizes(2, 0)
			}
			remote.Release(true)
			local.Release(true)
			f.assertSizes(0, 0)
		},
		"requests of a box that dies expire": func(f *admissions) {
			f.admit(f.asker)
			f.pass(30)
			f.asker.stop()
			f.pass(21)
			f.assertSizes(0, 0)
		},
		"an owner that restarts ignores requests that it doesn't know": func(f *admissions) {
			f.admit(f.asker)
			f.restartOwner()
			f.pass(30)
			f.assertSizes(0, 0)
			assert.Zero(f.t, f.owner.Sizes().Ignored)
		},
		"neither queued asks nor numbers of other boxes are renewed": func(f *admissions) {
			f.admit(f.asker)
			f.enqueue(f.asker)
			f.lose(admissionRenewal, -1)
			f.owner.admissionOwner.renew("127.0.0.9:7000", []uint32{f.asker.admissions.nextNumber})
			f.pass(9)
			assert.Equal(f.t, int64(1), f.asker.Sizes().AdmissionsRenewed)
			f.pass(11)
			assert.Zero(f.t, f.owner.Sizes().Admissions.Renewed+int64(f.owner.Sizes().Admissions.Permits))
		},
		"in a large fleet an owner that has counted for 3 s tells what another box reported": func(f *admissions) {
			told := func() int {
				a := f.ask(false)
				a.SlowPercent = 420
				f.owner.Admit(f.t.Context(), "d1", a).Release(true)
				reply := f.admit(f.asker)
				reply.Release(true)
				return reply.Answer.SlowPercent
			}
			f.admit(f.asker).Release(true)
			f.pass(3)
			assert.Zero(f.t, told(), "boxes of a small fleet tell each other")
			f.owner.enlarge()
			assert.InDelta(f.t, 420, told(), paceStep/2)
			f.restartOwner()
			f.owner.enlarge()
			advance(f.t, time.Second)
			assert.Zero(f.t, told())
		},
		"an owner that keeps no more state does not answer": func(f *admissions) {
			onAsk(f.owner, func(_ admission.Ask, answer *admission.Answer) { answer.Verdict = admission.Unanswered })
			for _, b := range []*box{f.asker, f.owner} {
				begun := time.Now()
				assertUnknown(f.t, f.admit(b), time.Since(begun), admissionTimeoutMs.Duration())
			}
		},
		"an owner that answers late three times in a row is not asked for 500 ms": func(f *admissions) {
			f.admit(f.asker).Release(true)
			f.lose(admissionAnswer, -1)
			for i, want := range []clock.Millis{20, 20, 20, 0, 20, 0, 0} {
				if i == maxAdmissionMisses+1 || i == maxAdmissionMisses+3 {
					advance(f.t, ownerRetryMs.Duration())
				}
				if i == maxAdmissionMisses+3 {
					f.copies.Store(nil)
				}
				begun := time.Now()
				f.admit(f.asker)
				assert.Equal(f.t, want.Duration(), time.Since(begun), "ask %d", i)
				f.asker.resolveAdmission(f.asker.admissions.nextNumber, f.owner.self.Address, admission.Answer{})
				advance(f.t, time.Millisecond)
			}
			f.lose(admissionAsk, -1)
			for range 2 * maxAdmissionMisses {
				f.enqueue(f.asker)
			}
			advance(f.t, admissionTimeoutMs.Duration())
			synctest.Wait()
			f.asker.resolveAdmission(f.asker.admissions.nextNumber, f.owner.self.Address, admission.Answer{})
			assert.False(f.t, f.asker.admissionOwnerUnresponsive(f.owner.self.Box), "asks that are lost together count once")
		},
		"denials of a draining owner tell its times": func(f *admissions) {
			f.admit(f.owner)
			next := f.enqueue(f.asker)
			deny := f.owner.admissionOwner.ledger.denyQueued
			f.owner.admissionOwner.ledger.denyQueued = func(box string) []admission.Grant {
				grants := deny(box)
				grants[0].Answer.DrainMs = 70
				return grants
			}
			f.owner.BroadcastDraining()
			f.assertSizes(1, 0)
			assert.Equal(f.t, admission.Answer{DrainMs: 70, Provisional: true}, next.reply.Answer)
		},
		"long time limits are told to owners that are known to read them": func(f *admissions) {
			asked := make(chan clock.Millis, 1)
			received := func() clock.Millis {
				a := f.ask(false)
				a.PatienceMs = 120_000
				f.asker.Admit(f.t.Context(), "d1", a).Release(true)
				return <-asked
			}
			for range 2 {
				onAsk(f.owner, func(a admission.Ask, _ *admission.Answer) { asked <- a.PatienceMs })
				assert.Equal(f.t, clock.Millis(math.MaxUint16), received(), "the process may be of an earlier release")
				assert.Equal(f.t, clock.Millis(120_000), received())
				f.restartOwner()
				advance(f.t, time.Second)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			runAdmissions(t, test)
		})
	}
}
