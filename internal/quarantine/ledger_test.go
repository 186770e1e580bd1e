package quarantine

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

const fingerprint Fingerprint = 7

// fixture is a ledger with a fake clock and changeable settings.
type fixture struct {
	*Ledger
	now      clock.Millis
	settings Settings
}

func newFixture() *fixture {
	f := &fixture{now: 1000, settings: Settings{MinCrashes: 3, HoldMs: 60 * clock.Second}}
	f.Ledger = New(func() clock.Millis { return f.now }, func() Settings { return f.settings }, 100)
	return f
}

// crash records crashes of upstreams that ran the fingerprint, one second apart.
func (f *fixture) crash(upstreams ...string) (quarantined bool) {
	for _, upstream := range upstreams {
		f.now += clock.Second
		quarantined = f.RecordCrash(fingerprint, namekey.Of(upstream)) || quarantined
	}
	return quarantined
}

// exchange delivers all events of one ledger to another.
func exchange(from, to *fixture) {
	list, _ := from.EventsSince(0, 2*minEventLogLength)
	to.now = from.now
	to.RecordEvents(list, false)
}

func TestLedger(t *testing.T) {
	t.Run("quarantines a fingerprint after three crashes", func(t *testing.T) {
		f := newFixture()
		assert.False(t, f.crash("a", "b"))
		assert.Zero(t, f.QuarantineRemainingMs(fingerprint))
		assert.True(t, f.crash("c"))
		assert.Equal(t, 60*clock.Second, f.QuarantineRemainingMs(fingerprint))
		assert.Zero(t, f.QuarantineRemainingMs(fingerprint+1))
	})
	t.Run("counts the crash of an upstream once, whichever boxes report it", func(t *testing.T) {
		f := newFixture()
		f.crash("a", "a", "b")
		assert.Empty(t, f.RecordEvents([]CrashEvent{{Fingerprint: fingerprint, Upstream: namekey.Of("a")}}, false))
		assert.Zero(t, f.QuarantineRemainingMs(fingerprint))
		assert.Equal(t, []Fingerprint{fingerprint}, f.RecordEvents([]CrashEvent{{Fingerprint: fingerprint, Upstream: namekey.Of("c")}}, false))
	})
	t.Run("starts over after an answer", func(t *testing.T) {
		f := newFixture()
		f.crash("a", "b", "c")
		assert.True(t, f.RecordAnswer(fingerprint))
		assert.Zero(t, f.QuarantineRemainingMs(fingerprint))
	})
	t.Run("keeps crashes after an answer that is reported late", func(t *testing.T) {
		f := newFixture()
		f.crash("a", "b", "c")
		f.RecordEvents([]CrashEvent{{Fingerprint: fingerprint, Answered: true, AgeMs: 1500}}, false)
		assert.Len(t, f.Suspects(1)[0].Upstreams, 2)
	})
	t.Run("ignores crashes shortly after an answer", func(t *testing.T) {
		f := newFixture()
		f.RecordAnswer(fingerprint)
		assert.False(t, f.crash("a", "b", "c"))
		f.now += answeredGraceMs
		assert.True(t, f.crash("d", "e", "f"))
	})
	t.Run("tells other boxes of an answer when they report a crash shortly after it", func(t *testing.T) {
		f, other := newFixture(), newFixture()
		f.RecordAnswer(fingerprint)
		other.crash("a")
		exchange(other, f)
		exchange(f, other)
		assert.False(t, other.crash("b", "c", "d"))
		assert.Zero(t, other.QuarantineRemainingMs(fingerprint))
	})
	t.Run("ends the quarantine after the hold time and starts it again after one more crash", func(t *testing.T) {
		f := newFixture()
		f.crash("a", "b", "c")
		f.now += 60 * clock.Second
		assert.Zero(t, f.QuarantineRemainingMs(fingerprint))
		assert.True(t, f.crash("d"))
	})
	t.Run("removes expired fingerprints", func(t *testing.T) {
		f := newFixture()
		f.crash("a", "b", "c")
		f.now += 120 * clock.Second
		f.Expire()
		assert.Equal(t, Sizes{}, f.Sizes())
	})
	t.Run("ignores events that are too old, so that boxes don't relay them to each other for ever", func(t *testing.T) {
		f := newFixture()
		f.RecordEvents([]CrashEvent{{Fingerprint: fingerprint, Upstream: 1, AgeMs: 120 * clock.Second}}, false)
		assert.Equal(t, Sizes{}, f.Sizes())
	})
	t.Run("quarantines nothing when it is disabled", func(t *testing.T) {
		f := newFixture()
		f.crash("a", "b", "c")
		f.settings.MinCrashes = 0
		assert.Zero(t, f.QuarantineRemainingMs(fingerprint))
		assert.Empty(t, f.Quarantined())
	})
	t.Run("stays within its limit and keeps quarantined fingerprints", func(t *testing.T) {
		f := newFixture()
		f.crash("a", "b", "c")
		for i := range 3 * maxFingerprints {
			f.RecordCrash(Fingerprint(1000+i), 1)
		}
		assert.LessOrEqual(t, f.Sizes().Fingerprints, maxFingerprints)
		assert.NotZero(t, f.QuarantineRemainingMs(fingerprint))
	})
}

func TestEvents(t *testing.T) {
	t.Run("are returned from a sequence number on, with their ages", func(t *testing.T) {
		f := newFixture()
		f.crash("a", "b")
		f.RecordAnswer(fingerprint)
		list, to := f.EventsSince(0, 2)
		assert.Equal(t, []CrashEvent{
			{Fingerprint: fingerprint, Upstream: namekey.Of("a"), AgeMs: clock.Second},
			{Fingerprint: fingerprint, Upstream: namekey.Of("b")},
		}, list)
		list, to = f.EventsSince(to, 2)
		assert.Equal(t, []CrashEvent{{Fingerprint: fingerprint, Answered: true}}, list)
		list, _ = f.EventsSince(to, 2)
		assert.Empty(t, list)
	})
	t.Run("of other boxes are relayed from the second crash on", func(t *testing.T) {
		f := newFixture()
		f.RecordEvents([]CrashEvent{{Fingerprint: fingerprint, Upstream: 1}}, false)
		list, _ := f.EventsSince(0, 9)
		assert.Empty(t, list)
		f.RecordEvents([]CrashEvent{{Fingerprint: fingerprint, Upstream: 2}}, false)
		list, _ = f.EventsSince(0, 9)
		assert.Len(t, list, 2)
	})
	t.Run("of other boxes are relayed once", func(t *testing.T) {
		f := newFixture()
		received := []CrashEvent{{Fingerprint: fingerprint, Upstream: 1}}
		f.RecordEvents(received, true)
		f.RecordEvents(received, true)
		list, _ := f.EventsSince(0, 9)
		assert.Len(t, list, 1)
	})
	t.Run("are all returned for a sequence number that was never assigned", func(t *testing.T) {
		f := newFixture()
		f.crash("a")
		list, _ := f.EventsSince(1<<40, 9)
		assert.Len(t, list, 1)
	})
	t.Run("are limited in number", func(t *testing.T) {
		f := newFixture()
		for i := range 4 * minEventLogLength {
			f.RecordCrash(Fingerprint(i), namekey.Of(strconv.Itoa(i)))
		}
		list, _ := f.EventsSince(0, 4*minEventLogLength)
		assert.Less(t, len(list), 2*minEventLogLength)
		assert.GreaterOrEqual(t, len(list), minEventLogLength)
	})
}
