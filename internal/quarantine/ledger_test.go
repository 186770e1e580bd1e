package quarantine

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

const fingerprint Fingerprint = 7

// fixture is a ledger with its clock and settings.
type fixture struct {
	*Ledger
	now      clock.Millis
	settings Settings
}

func newFixture() *fixture {
	f := &fixture{now: 1000, settings: Settings{Ends: 3, HoldMs: 60 * clock.Second}}
	f.Ledger = New(func() clock.Millis { return f.now }, func() Settings { return f.settings }, 100)
	return f
}

// end has upstreams end under the fingerprint, a second apart.
func (f *fixture) end(upstreams ...string) (held bool) {
	for _, upstream := range upstreams {
		f.now += clock.Second
		held = f.Ended(fingerprint, namekey.Of(upstream)) || held
	}
	return held
}

func TestLedger(t *testing.T) {
	t.Run("holds a fingerprint back under which three upstreams ended", func(t *testing.T) {
		f := newFixture()
		assert.False(t, f.end("a", "b"))
		assert.Zero(t, f.HeldMs(fingerprint))
		assert.True(t, f.end("c"))
		assert.Equal(t, 60*clock.Second, f.HeldMs(fingerprint))
		assert.Zero(t, f.HeldMs(fingerprint+1))
	})
	t.Run("counts the end of an upstream once, whoever tells", func(t *testing.T) {
		f := newFixture()
		f.end("a", "a", "b")
		assert.Empty(t, f.Learn([]Ending{{Fingerprint: fingerprint, Upstream: namekey.Of("a")}}, false))
		assert.Zero(t, f.HeldMs(fingerprint))
		assert.Equal(t, []Fingerprint{fingerprint}, f.Learn([]Ending{{Fingerprint: fingerprint, Upstream: namekey.Of("c")}}, false))
	})
	t.Run("begins anew with an answer", func(t *testing.T) {
		f := newFixture()
		f.end("a", "b", "c")
		assert.True(t, f.Answered(fingerprint))
		assert.Zero(t, f.HeldMs(fingerprint))
	})
	t.Run("keeps ends that are newer than an answer that it hears of late", func(t *testing.T) {
		f := newFixture()
		f.end("a", "b", "c")
		f.Learn([]Ending{{Fingerprint: fingerprint, Answered: true, AgeMs: 1500}}, false)
		assert.Len(t, f.Suspects(1)[0].Upstreams, 2)
	})
	t.Run("takes no fingerprint for fatal that was answered a short while ago", func(t *testing.T) {
		f := newFixture()
		f.Answered(fingerprint)
		assert.False(t, f.end("a", "b", "c"))
		f.now += answeredMs
		assert.True(t, f.end("d", "e", "f"))
	})
	t.Run("lets it go after a while, and holds it back again after one more end", func(t *testing.T) {
		f := newFixture()
		f.end("a", "b", "c")
		f.now += 60 * clock.Second
		assert.Zero(t, f.HeldMs(fingerprint))
		assert.True(t, f.end("d"))
	})
	t.Run("forgets", func(t *testing.T) {
		f := newFixture()
		f.end("a", "b", "c")
		f.now += 120 * clock.Second
		f.Expire()
		assert.Equal(t, Sizes{}, f.Sizes())
	})
	t.Run("takes no word that is too old, so that boxes don't remind each other for ever", func(t *testing.T) {
		f := newFixture()
		f.Learn([]Ending{{Fingerprint: fingerprint, Upstream: 1, AgeMs: 120 * clock.Second}}, false)
		assert.Equal(t, Sizes{}, f.Sizes())
	})
	t.Run("holds nothing back when it is switched off", func(t *testing.T) {
		f := newFixture()
		f.end("a", "b", "c")
		f.settings.Ends = 0
		assert.Zero(t, f.HeldMs(fingerprint))
		assert.Empty(t, f.Held())
	})
	t.Run("stays within its bound, and what is held back stays", func(t *testing.T) {
		f := newFixture()
		f.end("a", "b", "c")
		for i := range 3 * maxFingerprints {
			f.Ended(Fingerprint(1000+i), 1)
		}
		assert.LessOrEqual(t, f.Sizes().Fingerprints, maxFingerprints)
		assert.NotZero(t, f.HeldMs(fingerprint))
	})
}

func TestNews(t *testing.T) {
	t.Run("are told from a number on, with their ages", func(t *testing.T) {
		f := newFixture()
		f.end("a", "b")
		f.Answered(fingerprint)
		list, to := f.Since(0, 2)
		assert.Equal(t, []Ending{
			{Fingerprint: fingerprint, Upstream: namekey.Of("a"), AgeMs: clock.Second},
			{Fingerprint: fingerprint, Upstream: namekey.Of("b")},
		}, list)
		list, to = f.Since(to, 2)
		assert.Equal(t, []Ending{{Fingerprint: fingerprint, Answered: true}}, list)
		list, _ = f.Since(to, 2)
		assert.Empty(t, list)
	})
	t.Run("of others are passed on from the second end on", func(t *testing.T) {
		f := newFixture()
		f.Learn([]Ending{{Fingerprint: fingerprint, Upstream: 1}}, false)
		list, _ := f.Since(0, 9)
		assert.Empty(t, list)
		f.Learn([]Ending{{Fingerprint: fingerprint, Upstream: 2}}, false)
		list, _ = f.Since(0, 9)
		assert.Len(t, list, 2)
	})
	t.Run("of others are passed on once", func(t *testing.T) {
		f := newFixture()
		heard := []Ending{{Fingerprint: fingerprint, Upstream: 1}}
		f.Learn(heard, true)
		f.Learn(heard, true)
		list, _ := f.Since(0, 9)
		assert.Len(t, list, 1)
	})
	t.Run("begin anew for a number that was never given", func(t *testing.T) {
		f := newFixture()
		f.end("a")
		list, _ := f.Since(1<<40, 9)
		assert.Len(t, list, 1)
	})
	t.Run("are bounded", func(t *testing.T) {
		f := newFixture()
		for i := range 4 * journalLength {
			f.Ended(Fingerprint(i), namekey.Of(strconv.Itoa(i)))
		}
		list, _ := f.Since(0, 4*journalLength)
		assert.Less(t, len(list), 2*journalLength)
		assert.GreaterOrEqual(t, len(list), journalLength)
	})
}
