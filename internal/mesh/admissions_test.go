package mesh

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/admission"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

// filteredConn loses or duplicates datagrams.
type filteredConn struct {
	net.PacketConn
	copies *atomic.Pointer[func(data []byte) int]
}

func (c *filteredConn) WriteTo(data []byte, to net.Addr) (int, error) {
	count := 1
	if copies := c.copies.Load(); copies != nil {
		count = (*copies)(data)
	}
	for range count {
		_, _ = c.PacketConn.WriteTo(data, to)
	}
	return len(data), nil
}

// lose loses a number of messages about admission, or all if the number is negative: those of a kind, or of every kind
// if it is 0.
func (f *fixture) lose(kind admissionMessageKind, number int64) {
	var lost atomic.Int64
	copies := func(data []byte) int {
		if isAdmissionMessage(data) && (kind == 0 || data[1] == byte(kind)) && (number < 0 || lost.Add(1) <= number) {
			return 0
		}
		return 1
	}
	f.copies.Store(&copies)
}

// admissions is a fleet of two boxes, of which one owns upstreams with one slot.
type admissions struct {
	*fixture
	owner, asker *box
	upstream     string
}

// runAdmissions runs a test after the boxes have met.
func runAdmissions(t *testing.T, test func(f *admissions)) {
	t.Helper()
	runInBubble(t, func(base *fixture) {
		f := &admissions{fixture: base, upstream: "u"}
		f.owner, f.asker = f.start("d1"), f.start("d2")
		// Tests begin between two rounds.
		advance(f.t, 1100*time.Millisecond)
		test(f)
	})
}

// startSecond starts a box that becomes the owner if the first one is gone.
func (f *admissions) startSecond() *box {
	second := f.start("d1")
	advance(f.t, time.Second)
	for first := second.self; first.Box == second.self.Box; first, _ = f.asker.owner(namekey.Of(f.upstream), "d1") {
		f.upstream += "u"
	}
	return second
}

// ask returns an ask of a caller that waits for 10 s.
func (f *admissions) ask(mayQueue bool) admission.Ask {
	return admission.Ask{Upstream: namekey.Of(f.upstream), Slots: 1, MayQueue: mayQueue, InTimeMs: 500, PatienceMs: 10_000}
}

// onAsk calls a function with each ask that a box decides on, and the answer. The box may receive asks already.
func onAsk(b *box, call func(a admission.Ask, answer *admission.Answer)) {
	b.admissionOwner.mu.Lock()
	defer b.admissionOwner.mu.Unlock()
	ask := b.admissionOwner.ledger.ask
	b.admissionOwner.ledger.ask = func(a admission.Ask) (admission.Answer, []admission.Grant) {
		answer, grants := ask(a)
		call(a, &answer)
		return answer, grants
	}
}

// admit returns the reply to an ask that may not be queued.
func (f *admissions) admit(b *box) admission.Reply { return b.Admit(f.t.Context(), "d1", f.ask(false)) }

// waiting is a box that waits for a grant.
type waiting struct {
	reply admission.Reply
	took  time.Duration
	leave context.CancelFunc
}

// enqueue lets a box wait. The reply is there after a synctest.Wait.
func (f *admissions) enqueue(b *box) *waiting {
	ctx, cancel := context.WithCancel(f.t.Context())
	w := &waiting{leave: cancel}
	go func() {
		begun := time.Now()
		w.reply = b.Admit(ctx, "d1", f.ask(true))
		w.took = time.Since(begun)
	}()
	synctest.Wait()
	return w
}

// assertSizes asserts how many requests the owner counts and queues after a round trip.
func (f *admissions) assertSizes(permits, queued int) {
	f.t.Helper()
	synctest.Wait()
	sizes := f.owner.Sizes().Admissions
	assert.Equal(f.t, []int{permits, queued}, []int{sizes.Permits, sizes.Queued})
}

func assertVerdict(t *testing.T, want admission.Verdict, r admission.Reply) {
	t.Helper()
	assert.False(t, r.Unknown)
	assert.Equal(t, want, r.Answer.Verdict)
}

// assertUnknown asserts that no owner answered within a time.
func assertUnknown(t *testing.T, r admission.Reply, took, limit time.Duration) {
	t.Helper()
	assert.True(t, r.Unknown)
	assert.LessOrEqual(t, took, limit)
}

// TestAdmit guards against prompts that are lost in a queue, that run uncounted, or that are counted for longer than
// they run, when messages, boxes or callers vanish.
func TestAdmit(t *testing.T) {
	for name, test := range map[string]func(f *admissions){
		"an immediate answer takes one round trip, and none at the owner": func(f *admissions) {
			begun, sent := time.Now(), f.owner.Sizes().SentBytes
			own := f.admit(f.owner)
			assertVerdict(f.t, admission.Granted, own)
			assertVerdict(f.t, admission.Denied, f.admit(f.owner))
			own.Release(true)
			assert.Equal(f.t, sent, f.owner.Sizes().SentBytes)
			assertVerdict(f.t, admission.Granted, f.admit(f.asker))
			assertVerdict(f.t, admission.Denied, f.admit(f.asker))
			assert.Equal(f.t, begun, time.Now())
			assert.Len(f.t, f.asker.admissions.open, 1)
		},
		"a queued ask is granted": func(f *admissions) {
			first, remote, local := f.admit(f.asker), f.enqueue(f.asker), f.enqueue(f.owner)
			advance(f.t, time.Second)
			granted := admission.Answer{Verdict: admission.Granted}
			f.asker.resolveAdmission(f.asker.admissions.nextNumber, "127.0.0.9:7000", granted)
			f.assertSizes(1, 2)
			assert.Zero(f.t, remote.took, "another box is not the owner")
			sent := f.asker.Sizes().SentBytes
			first.Started()
			started := f.asker.Sizes().SentBytes
			first.Started()
			assert.Less(f.t, sent, started)
			assert.Equal(f.t, started, f.asker.Sizes().SentBytes, "a start is told once")
			first.Release(true)
			f.assertSizes(1, 1)
			assertVerdict(f.t, admission.Granted, remote.reply)
			sent = f.owner.Sizes().SentBytes
			remote.reply.Release(true)
			f.assertSizes(1, 0)
			assertVerdict(f.t, admission.Granted, local.reply)
			assert.Equal(f.t, sent, f.owner.Sizes().SentBytes)
			assert.Equal(f.t, int64(1), f.asker.Sizes().AdmissionsQueued)
			assert.Equal(f.t, int64(2), f.asker.Sizes().AdmissionAsks)
		},
		"a box whose ask is lost gets no answer, and asks again after 500 ms": func(f *admissions) {
			f.lose(admissionAsk, 1)
			begun := time.Now()
			reply := f.admit(f.asker)
			assertUnknown(f.t, reply, time.Since(begun), admissionTimeoutMs.Duration())
			assert.Equal(f.t, neverAnswered, reply.OwnerAgeMs)
			begun = time.Now()
			assertUnknown(f.t, f.admit(f.asker), time.Since(begun), 0)
			advance(f.t, ownerRetryMs.Duration())
			assertVerdict(f.t, admission.Granted, f.admit(f.asker))
			assert.Equal(f.t, int64(1), f.asker.Sizes().AdmissionTimeouts)
		},
		"a lost ask among answered ones does not make the owner count as silent for long": func(f *admissions) {
			f.lose(admissionAsk, 1)
			lost := f.enqueue(f.asker)
			assertVerdict(f.t, admission.Granted, f.admit(f.asker))
			f.enqueue(f.asker)
			advance(f.t, admissionTimeoutMs.Duration())
			synctest.Wait()
			assertUnknown(f.t, lost.reply, lost.took, admissionTimeoutMs.Duration())
			assertVerdict(f.t, admission.Denied, f.admit(f.asker))
			advance(f.t, time.Millisecond)
			f.lose(admissionAsk, 1)
			assertUnknown(f.t, f.admit(f.asker), 0, 0)
			assertUnknown(f.t, f.admit(f.asker), 0, 0)
			advance(f.t, admissionRepeatMs.Duration())
			assertVerdict(f.t, admission.Denied, f.admit(f.asker))
		},
		"a request whose answer is lost is released at its end": func(f *admissions) {
			f.lose(admissionAnswer, 1)
			reply := f.admit(f.asker)
			assertUnknown(f.t, reply, 0, 0)
			f.assertSizes(1, 0)
			reply.Release(true)
			f.assertSizes(0, 0)
		},
		"a grant that is lost is repeated for the repeated ask": func(f *admissions) {
			first, next := f.admit(f.asker), f.enqueue(f.asker)
			f.lose(admissionAnswer, 1)
			first.Release(true)
			advance(f.t, admissionRepeatMs.Duration())
			f.assertSizes(1, 0)
			assertVerdict(f.t, admission.Granted, next.reply)
		},
		"a request whose start is lost is released, and nothing is told after its end": func(f *admissions) {
			reply := f.admit(f.asker)
			f.lose(admissionStarted, 1)
			reply.Started()
			reply.Release(true)
			f.assertSizes(0, 0)
			sent := f.asker.Sizes().SentBytes
			reply.Started()
			reply.Release(true)
			assert.Equal(f.t, sent, f.asker.Sizes().SentBytes, "nothing is told after the end")
		},
		"a request whose release is lost expires": func(f *admissions) {
			reply := f.admit(f.asker)
			assert.True(f.t, reply.Answer.Provisional, "the owner has just begun to count")
			assert.Len(f.t, f.owner.AdmissionsChanged(), 1, "the tick starts")
			f.lose(admissionRelease+1, 1)
			reply.Release(true)
			assert.True(f.t, f.owner.ExpireAdmissions())
			advance(f.t, 21*time.Second)
			assert.False(f.t, f.owner.ExpireAdmissions(), "the tick may stop")
			assertVerdict(f.t, admission.Granted, f.admit(f.asker))
		},
		"an ask at an owner that dies is given up after two repeats": func(f *admissions) {
			f.admit(f.asker)
			next := f.enqueue(f.asker)
			advance(f.t, time.Second)
			f.owner.stop()
			advance(f.t, time.Second)
			synctest.Wait()
			assertUnknown(f.t, next.reply, next.took, 1250*time.Millisecond)
			assert.Positive(f.t, next.reply.OwnerAgeMs)
		},
		"an ask at an owner that restarts is decided on anew with the time that is left": func(f *admissions) {
			f.admit(f.asker)
			next := f.enqueue(f.asker)
			f.restartOwner()
			asks := make(chan admission.Ask, 1)
			onAsk(f.owner, func(a admission.Ask, _ *admission.Answer) { asks <- a })
			advance(f.t, admissionRepeatMs.Duration())
			f.assertSizes(1, 0)
			assertVerdict(f.t, admission.Granted, next.reply)
			require.Len(f.t, asks, 1)
			a := <-asks
			assert.Equal(f.t, 10_000-admissionRepeatMs, a.PatienceMs, "the time that is left now")
			assert.Equal(f.t, 500-admissionRepeatMs, a.InTimeMs)
		},
		"the requests and asks of a box that restarted are released": func(f *admissions) {
			f.admit(f.asker)
			f.enqueue(f.asker)
			next := f.enqueue(f.owner)
			from := f.asker.self
			from.Incarnation++
			f.owner.handle(&packet{Type: typePing, From: from}, &net.UDPAddr{})
			f.assertSizes(1, 0)
			assertVerdict(f.t, admission.Granted, next.reply)
		},
		"a queued ask that is not repeated is withdrawn": func(f *admissions) {
			first, next := f.admit(f.owner), f.enqueue(f.asker)
			expire := func() {
				for range 2 * maxUnrepeated {
					assert.True(f.t, f.owner.ExpireAdmissions())
					advance(f.t, 50*time.Millisecond)
				}
			}
			expire()
			f.assertSizes(1, 1)
			f.lose(0, -1)
			next.leave()
			expire()
			f.assertSizes(1, 0)
			first.Release(true)
			assert.False(f.t, f.owner.ExpireAdmissions())
		},
		"a grant for a request of an earlier process is released": func(f *admissions) {
			first := f.admit(f.owner)
			a := f.ask(true)
			a.ID = admission.ID{Box: f.asker.self.Address, Number: 7}
			assert.Equal(f.t, admission.Queued, f.owner.decide(a).Verdict)
			first.Release(true)
			f.assertSizes(0, 0)
		},
		"each side of a partition has an owner that counts what it sees": func(f *admissions) {
			second := f.startSecond()
			f.admit(f.asker)
			next := f.enqueue(f.asker)
			f.network.SetPartition(func(from, to string) bool { return (from == f.owner.self.Box) != (to == f.owner.self.Box) })
			advance(f.t, minAliveMs.Duration()+time.Second)
			synctest.Wait()
			assertUnknown(f.t, next.reply, next.took, 3*admissionRepeatMs.Duration())
			assertVerdict(f.t, admission.Granted, f.admit(f.asker))
			assert.Equal(f.t, 1, second.Sizes().Admissions.Permits)
			assertVerdict(f.t, admission.Denied, f.admit(f.owner))
		},
		"a draining owner denies the asks of other boxes, and the next owner is asked": func(f *admissions) {
			second := f.startSecond()
			first, local, remote := f.admit(f.asker), f.enqueue(f.owner), f.enqueue(f.asker)
			f.owner.BroadcastDraining()
			f.assertSizes(1, 1)
			assertVerdict(f.t, admission.Denied, remote.reply)
			a := f.ask(true)
			a.ID.Box = f.asker.self.Address
			assert.Equal(f.t, admission.Denied, f.owner.decide(a).Verdict, "asks of boxes that don't know yet")
			f.assertSizes(1, 1)
			first.Release(true)
			synctest.Wait()
			assertVerdict(f.t, admission.Granted, local.reply)
			local.reply.Release(true)
			assertVerdict(f.t, admission.Granted, f.admit(f.asker))
			assertVerdict(f.t, admission.Denied, f.admit(f.owner))
			assert.Equal(f.t, 1, second.Sizes().Admissions.Permits, "the next owner is asked, also by the draining box")
		},
		"an owner of an earlier release that answers no asks still grants permits": func(f *admissions) {
			f.lose(0, -1)
			for range 3 {
				reply := f.admit(f.asker)
				assertUnknown(f.t, reply, 0, 0)
				advance(f.t, 450*time.Millisecond)
				begun := time.Now()
				assertUnknown(f.t, f.admit(f.asker), time.Since(begun), 0)
				advance(f.t, 50*time.Millisecond)
			}
			assert.Equal(f.t, int64(3), f.asker.Sizes().AdmissionTimeouts)
			assert.True(f.t, f.asker.AcquirePermit(f.t.Context(), permitAt("u", "d1", 1)).Granted)
			assert.False(f.t, f.asker.AcquirePermit(f.t.Context(), permitAt("u", "d1", 1)).Granted, "its permits still count")
		},
		"the asks of callers that leave are withdrawn": func(f *admissions) {
			f.admit(f.asker)
			remote, local := f.enqueue(f.asker), f.enqueue(f.owner)
			f.assertSizes(1, 2)
			remote.leave()
			local.leave()
			f.assertSizes(1, 0)
			assertVerdict(f.t, admission.Denied, remote.reply)
			assertVerdict(f.t, admission.Denied, local.reply)
		},
		"the ask of a caller that gives up is denied with the owner's last answer": func(f *admissions) {
			f.admit(f.asker)
			onAsk(f.owner, func(_ admission.Ask, answer *admission.Answer) { answer.DrainMs = 70 })
			next := f.enqueue(f.asker)
			advance(f.t, 10*time.Second)
			f.assertSizes(1, 0)
			assertVerdict(f.t, admission.Denied, next.reply)
			assert.Equal(f.t, 10*time.Second, next.took)
			assert.Equal(f.t, clock.Millis(70), next.reply.Answer.DrainMs, "the owner's last answer")
		},
		"a grant that arrives after the withdrawal is released": func(f *admissions) {
			first, next := f.admit(f.asker), f.enqueue(f.asker)
			f.lose(admissionRelease, 1)
			next.leave()
			f.assertSizes(1, 1)
			first.Release(true)
			f.assertSizes(0, 0)
		},
		"duplicate datagrams count once": func(f *admissions) {
			twice := func([]byte) int { return 2 }
			f.copies.Store(&twice)
			first, next := f.admit(f.asker), f.enqueue(f.asker)
			f.assertSizes(1, 1)
			first.Release(true)
			f.assertSizes(1, 0)
			next.reply.Release(true)
			f.assertSizes(0, 0)
		},
		"no request remains when one datagram in ten is lost and one in ten sent twice": func(f *admissions) {
			var mu sync.Mutex
			random := rand.New(rand.NewPCG(1, 2))
			copies := func(data []byte) int {
				mu.Lock()
				defer mu.Unlock()
				if isAdmissionMessage(data) && data[1] >= byte(admissionRelease) {
					return 1 // Lost ones expire in the ledger, which is not called for it here.
				}
				return []int{0, 2, 1, 1, 1, 1, 1, 1, 1, 1}[random.IntN(10)]
			}
			f.copies.Store(&copies)
			a := f.ask(true)
			a.Slots, a.InTimeMs = 4, a.PatienceMs
			granted := 0
			var running sync.WaitGroup
			for i := range 60 {
				running.Go(func() {
					reply := f.asker.Admit(f.t.Context(), "d1", a)
					advance(f.t, time.Duration(i%7)*10*time.Millisecond)
					reply.Started()
					reply.Release(true)
					mu.Lock()
					defer mu.Unlock()
					if reply.Answer.Verdict == admission.Granted {
						granted++
					}
				})
			}
			running.Wait()
			advance(f.t, time.Second)
			f.assertSizes(0, 0)
			assert.GreaterOrEqual(f.t, granted, 30)
			f.t.Logf("%d of 60 granted", granted)
			assert.Empty(f.t, f.asker.admissions.open)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runAdmissions(t, test)
		})
	}
}
