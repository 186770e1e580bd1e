package quarantine

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

// partFixture is a part ledger with a fake clock, changeable settings, and its own choice of who sends trial requests.
type partFixture struct {
	*PartLedger
	t           *testing.T
	now         clock.Millis
	settings    Settings
	sendsTrials bool
	largeFleet  bool
	crashed     int
}

func newPartFixture(t *testing.T) *partFixture {
	t.Helper()
	f := &partFixture{
		t: t, now: 1000, settings: Settings{MinCrashes: 3, HoldMs: 600 * clock.Second}, sendsTrials: true,
	}
	f.PartLedger = NewPartLedger(func() clock.Millis { return f.now }, func() Settings { return f.settings },
		func(PartKey) bool { return f.sendsTrials }, 100)
	return f
}

// partsIn returns the shared parts of a request to a pool.
func partsIn(pool string, ids ...string) Parts { return PartsOf(pool, promptOf(append(ids, "own")...)) }

// crash records the crash of an upstream of pool p under requests with these parts, one second after the last event.
func (f *partFixture) crash(requests ...[]string) []PartKey {
	f.now += clock.Second
	f.crashed++
	uses := []PartUse{}
	for _, ids := range requests {
		uses = append(uses, PartUse{Parts: partsIn("p", ids...), SentMs: f.now - 100})
	}
	return f.RecordCrash(namekey.Of(fmt.Sprint("u", f.crashed)), uses, f.largeFleet).Quarantined
}

// crashes records a number of crashes under one request each.
func (f *partFixture) crashes(count int, ids ...string) {
	for range count {
		f.crash(ids)
	}
}

func (f *partFixture) assertRefused(ids ...string) {
	f.t.Helper()
	assert.True(f.t, f.Screen(partsIn("p", ids...)).Refused(), "%v is refused", ids)
}

func (f *partFixture) assertPasses(ids ...string) {
	f.t.Helper()
	assert.Equal(f.t, Verdict{}, f.Screen(partsIn("p", ids...)), "%v passes", ids)
}

func (f *partFixture) assertTrial(ids ...string) {
	f.t.Helper()
	assert.True(f.t, f.Screen(partsIn("p", ids...)).Trial, "%v is a trial request", ids)
}

func (f *partFixture) answer(ids ...string) { f.RecordAnswer(partsIn("p", ids...)) }

func TestPartLedger(t *testing.T) {
	t.Run("quarantines a part after three crashes, and names it", func(t *testing.T) {
		f := newPartFixture(t)
		f.crashes(2, "fatal")
		f.assertPasses("fatal")
		assert.Equal(t, []PartKey{PartKeyOf("fatal")}, f.crash([]string{"fatal"}))
		assert.Equal(t, Verdict{Part: PartKeyOf("fatal"), RemainingMs: 60 * clock.Second}, f.Screen(partsIn("p", "other", "fatal")))
		f.assertPasses("other")
	})
	t.Run("lets requests pass that have the other parts of the fatal ones", func(t *testing.T) {
		f := newPartFixture(t)
		f.answer("head", "beside")
		f.now += answeredSilenceMs
		f.crashes(3, "head", "beside", "fatal")
		f.assertRefused("head", "beside", "fatal")
		f.assertPasses("head", "beside")
	})
	t.Run("lets requests pass while several parts are fatal", func(t *testing.T) {
		f := newPartFixture(t)
		f.answer("head")
		f.now += answeredSilenceMs
		f.crashes(3, "head", "fatal1")
		f.crashes(2, "head", "fatal2")
		f.assertPasses("head", "other")
		f.crashes(1, "head", "fatal2")
		f.assertRefused("head", "fatal1")
		f.assertRefused("head", "fatal2")
		f.assertPasses("head", "other")
	})
	t.Run("tries a part that was never answered and always came with the fatal one", func(t *testing.T) {
		f := newPartFixture(t)
		f.crashes(3, "beside", "fatal")
		f.assertTrial("beside")
		f.assertRefused("beside")
		f.answer("beside")
		f.assertPasses("beside")
		f.assertRefused("fatal")
	})
	t.Run("holds back the part whose trial crashed, and not the one that came with it", func(t *testing.T) {
		f := newPartFixture(t)
		f.crashes(3, "fatal", "beside")
		f.assertTrial("fatal")
		f.crash([]string{"fatal"})
		f.now += 2 * companionTrialMs
		f.assertRefused("fatal")
		f.assertTrial("beside")
	})
	t.Run("refuses instead of trying where another box sends the trial requests", func(t *testing.T) {
		f := newPartFixture(t)
		f.sendsTrials = false
		f.crashes(3, "beside", "fatal")
		f.assertRefused("beside")
	})
	t.Run("doesn't blame a part that was answered since the request was sent", func(t *testing.T) {
		f := newPartFixture(t)
		for range 5 {
			f.now += clock.Second
			f.answer("head")
			f.now -= clock.Second - 50
			f.crash([]string{"head", "fatal"})
		}
		assert.Equal(t, 1, f.Sizes().Quarantined)
		f.assertPasses("head")
	})
	t.Run("blames the parts of all requests on an upstream", func(t *testing.T) {
		f := newPartFixture(t)
		for i := range 3 {
			f.crash([]string{"fatal"}, []string{fmt.Sprint("bystander", i)})
		}
		assert.Equal(t, PartSizes{Parts: 4, Quarantined: 1}, f.Sizes())
	})
	t.Run("holds back a part that becomes fatal once nothing answers it", func(t *testing.T) {
		f := newPartFixture(t)
		f.answer("turns")
		f.crashes(1, "turns")
		f.now += 100
		f.crash([]string{"turns"})
		f.crashed++
		f.RecordCrash(namekey.Of("other"), []PartUse{{Parts: partsIn("p", "turns"), SentMs: f.now - 100}}, false)
		f.assertRefused("turns")
	})
	t.Run("counts the crash of an upstream once", func(t *testing.T) {
		f := newPartFixture(t)
		f.crash([]string{"fatal"}, []string{"fatal", "beside"})
		f.RecordEvents([]PartEvent{{Part: PartKeyOf("fatal"), Pool: namekey.Of("p"), Upstream: namekey.Of("u1")}})
		assert.Len(t, f.Suspects(1)[0].Crashes, 1)
	})
	t.Run("quarantines nothing when it is disabled", func(t *testing.T) {
		f := newPartFixture(t)
		f.settings.MinCrashes = 0
		f.crashes(4, "fatal")
		f.assertPasses("fatal")
		assert.Zero(t, f.Sizes().Quarantined)
	})
}

// TestPartPools guards against an answer of one pool's upstreams that clears a part which crashes those of another.
func TestPartPools(t *testing.T) {
	elsewhere := partsIn("canary", "fatal")
	t.Run("crashes in one pool hold a part back in pools that never answered it", func(t *testing.T) {
		f := newPartFixture(t)
		f.crashes(3, "fatal")
		assert.True(t, f.Screen(elsewhere).Refused())
	})
	t.Run("a pool that answers a part keeps it", func(t *testing.T) {
		f := newPartFixture(t)
		f.RecordAnswer(elsewhere)
		f.now += answeredSilenceMs
		f.crashes(3, "fatal")
		assert.Equal(t, Verdict{}, f.Screen(elsewhere))
		f.RecordAnswer(elsewhere)
		f.assertRefused("fatal")
	})
}

// TestPartHolds guards against many crashes by trial requests with a part that stays fatal.
func TestPartHolds(t *testing.T) {
	f := newPartFixture(t)
	f.crashes(3, "fatal")
	start, trials := f.now, []clock.Millis{}
	for f.now < start+1200*clock.Second {
		f.now += clock.Second
		f.Screen(partsIn("p", "other"))
		if f.Screen(partsIn("p", "fatal")).Trial {
			trials = append(trials, f.now-start)
			f.crash([]string{"fatal"})
		}
	}
	const first = 60 * clock.Second
	assert.Len(t, trials, 2)
	assert.Equal(t, first, trials[0])
	assert.GreaterOrEqual(t, trials[1]-trials[0], holdGrowth*first)
}

// TestPartTrialNotSent guards against a part that is held back for seconds because a trial request reached no upstream.
func TestPartTrialNotSent(t *testing.T) {
	f := newPartFixture(t)
	f.crashes(3, "fatal")
	f.now += 60 * clock.Second
	f.assertTrial("fatal")
	f.ReturnTrial(PartKeyOf("fatal"))
	f.assertRefused("fatal")
	f.now += unsentTrialMs
	f.assertTrial("fatal")
	f.ReturnTrial(PartKeyOf("unknown"))
	f.assertRefused("fatal")
}

// screenRequests screens requests with a part, and others, over a time. It returns when one with the part was a trial
// request, since the start.
func (f *partFixture) screenRequests(span clock.Millis, with, others int, onTrial func()) (trials []clock.Millis) {
	const each = 100
	start := f.now
	for f.now < start+span {
		f.now += each
		for range others {
			f.Screen(partsIn("p", "other"))
		}
		for range with {
			if v := f.Screen(partsIn("p", "common")); v.Trial {
				trials = append(trials, f.now-start)
				onTrial()
			}
		}
	}
	return trials
}

// TestCommonParts guards against a sound part of most requests that is held back for long since upstreams crashed by
// themselves, and against many crashes by trial requests if it is fatal.
func TestCommonParts(t *testing.T) {
	t.Run("are tried early and pass once they are answered", func(t *testing.T) {
		f := newPartFixture(t)
		f.crashes(5, "common")
		trials := f.screenRequests(10*clock.Second, 9, 1, func() { f.answer("common") })
		assert.Len(t, trials, 1)
		assert.LessOrEqual(t, trials[0], presumedHoldMs+clock.Second)
		f.assertPasses("common")
	})
	t.Run("are tried early once", func(t *testing.T) {
		f := newPartFixture(t)
		f.crashes(3, "common")
		trials := f.screenRequests(20*60*clock.Second, 9, 1, func() { f.crash([]string{"common"}) })
		assert.LessOrEqual(t, len(trials), 3, "operators allow three later requests")
	})
	t.Run("bring callers back early", func(t *testing.T) {
		f := newPartFixture(t)
		f.sendsTrials = false
		f.crashes(3, "common")
		f.screenRequests(clock.Second, 9, 1, func() {})
		assert.LessOrEqual(t, f.Screen(partsIn("p", "common")).RemainingMs, presumedHoldMs)
	})
	t.Run("are not those of a smaller share of requests", func(t *testing.T) {
		f := newPartFixture(t)
		f.crashes(3, "common")
		assert.Empty(t, f.screenRequests(59*clock.Second, 4, 1, func() {}))
	})
	t.Run("are not those of few requests", func(t *testing.T) {
		f := newPartFixture(t)
		f.crashes(3, "common")
		f.now += presumedHoldMs
		for range minCommonRequests - 1 {
			f.assertRefused("common")
		}
	})
}

// TestPartHoldAfterManyCrashes guards against a part that is tried again and again because its crashes no longer fit into
// the ledger.
func TestPartHoldAfterManyCrashes(t *testing.T) {
	f := newPartFixture(t)
	f.crashes(4*maxCrashesPerPart, "fatal")
	f.assertRefused("fatal")
	f.now += 60 * clock.Second
	f.assertTrial("fatal")
	f.crash([]string{"fatal"})
	f.now += 60 * clock.Second
	f.assertRefused("fatal")
	assert.LessOrEqual(t, len(f.Suspects(1)[0].Crashes), maxCrashesPerPart)
}

// TestPartTrialWithoutOutcome guards against a row of trial requests at upstreams that crash without a sign.
func TestPartTrialWithoutOutcome(t *testing.T) {
	f := newPartFixture(t)
	f.crashes(3, "fatal")
	f.now += 60 * clock.Second
	trials := 0
	for range 12 {
		if f.Screen(partsIn("p", "fatal")).Trial {
			trials++
		}
		f.now += clock.Second
	}
	assert.LessOrEqual(t, trials, 3)
}

func TestPartEvents(t *testing.T) {
	// exchange delivers all events of one ledger to another.
	exchange := func(from, to *partFixture) {
		list, _ := from.EventsSince(0, 1000)
		to.RecordEvents(list)
	}
	t.Run("let other boxes know what was answered before", func(t *testing.T) {
		one, other := newPartFixture(t), newPartFixture(t)
		one.answer("head")
		one.now += answeredSilenceMs
		one.crashes(3, "head", "fatal")
		other.now = one.now
		exchange(one, other)
		other.assertPasses("head")
		other.assertRefused("head", "fatal")
	})
	t.Run("clear a part at all boxes", func(t *testing.T) {
		one, other := newPartFixture(t), newPartFixture(t)
		one.crashes(3, "rare")
		other.now = one.now
		exchange(one, other)
		other.assertRefused("rare", "rare2")
		one.answer("rare")
		exchange(one, other)
		other.assertPasses("rare", "rare2")
	})
	t.Run("of first crashes stay with the owners in a large fleet", func(t *testing.T) {
		f := newPartFixture(t)
		f.largeFleet = true
		f.crashes(1, "fatal")
		list, _ := f.EventsSince(0, 10)
		assert.Empty(t, list)
		f.crashes(1, "fatal")
		list, _ = f.EventsSince(0, 10)
		assert.Len(t, list, 2)
	})
	t.Run("of a crash with long prompts are bounded", func(t *testing.T) {
		f := newPartFixture(t)
		requests := [][]string{}
		for i := range 8 {
			ids := []string{}
			for j := range 2 * maxPartsPerRequest {
				ids = append(ids, fmt.Sprint("forged", i, "-", j))
			}
			requests = append(requests, ids)
		}
		f.crashes(1, "fatal")
		f.crash(append(requests, []string{"fatal"})...)
		list, _ := f.EventsSince(0, 10*maxPartsPerCrash)
		assert.Len(t, list, 1+maxPartsPerCrash)
		assert.Len(t, f.Suspects(2), 1, "the part with an earlier crash is among them")
	})
	t.Run("that are too old are ignored", func(t *testing.T) {
		f := newPartFixture(t)
		f.RecordEvents([]PartEvent{{Part: 1, Upstream: 1, AgeMs: f.settings.retentionMs()}})
		assert.Zero(t, f.Sizes())
	})
}

func TestPartLimits(t *testing.T) {
	t.Run("a quarantined part outlives many others with few crashes", func(t *testing.T) {
		f := newPartFixture(t)
		f.crashes(3, "fatal")
		for i := range 2 * maxParts {
			f.crash([]string{fmt.Sprint("other", i)})
		}
		assert.LessOrEqual(t, f.Sizes().Parts, maxParts)
		assert.Equal(t, 1, f.Sizes().Quarantined)
	})
	t.Run("parts expire when they have been quiet", func(t *testing.T) {
		f := newPartFixture(t)
		f.crashes(3, "fatal")
		f.now += 60*clock.Second + f.settings.retentionMs()
		f.Expire()
		assert.Zero(t, f.Sizes())
	})
}

func BenchmarkScreenParts(b *testing.B) {
	for _, held := range []int{0, 4, 64} {
		b.Run(fmt.Sprint(held, " quarantined"), func(b *testing.B) {
			f := newPartFixture(&testing.T{})
			for i := range held {
				f.crashes(3, "head", fmt.Sprint("fatal", i))
			}
			parts := partsIn("p", "head", "subject", "more")
			b.ReportAllocs()
			for range b.N {
				f.Recheck(parts)
			}
		})
	}
}

func BenchmarkRecordAnswer(b *testing.B) {
	f := newPartFixture(&testing.T{})
	parts := partsIn("p", "head", "subject", "more")
	b.ReportAllocs()
	for range b.N {
		f.RecordAnswer(parts)
	}
}
