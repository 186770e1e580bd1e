package pace

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
)

// TestTracker guards against an upstream that is passed over for longer than it is slow, and against one that is slow
// for hours and costs a request every hold.
func TestTracker(t *testing.T) {
	t.Run("a report counts until its hold is over, and not after it", func(t *testing.T) {
		var p Tracker
		assert.True(t, p.Report(300, 1000))
		assert.Equal(t, 300, p.Percent(1000+minHoldMs-1))
		assert.Equal(t, UsualPercent, p.Percent(1000+minHoldMs))
	})
	t.Run("the hold doubles to its maximum while each first report after it is slow", func(t *testing.T) {
		var p Tracker
		now := clock.Millis(1000)
		for _, want := range []clock.Millis{600, 1200, 2400, 4800, 9600, 10_000, 10_000} {
			p.Report(300, now)
			assert.Equal(t, want, p.HoldMs())
			p.Report(300, now+100)
			assert.Equal(t, want, p.HoldMs(), "reports within a hold don't double it")
			now += 100 + p.HoldMs()
		}
		assert.True(t, p.Report(100, now))
		p.Report(300, now+50)
		assert.Equal(t, minHoldMs, p.HoldMs(), "the usual pace resets the hold")
	})
	t.Run("one request after a hold tries the upstream", func(t *testing.T) {
		var p Tracker
		p.Report(300, 1000)
		p.RecordSend(1100)
		assert.False(t, p.Slow(1600), "a request during the hold is no trial")
		p.RecordSend(1600)
		assert.True(t, p.Slow(1600))
		p.RecordSend(1700)
		assert.False(t, p.Slow(1600+trialMs), "a trial without a report ends the spell")
		p.RecordSend(1600 + trialMs)
		assert.False(t, p.Slow(1600+trialMs), "and is not repeated")
	})
	t.Run("a report that is older than the newest one is ignored", func(t *testing.T) {
		var p Tracker
		p.Report(100, 1000)
		assert.False(t, p.Report(400, 900))
		assert.Equal(t, UsualPercent, p.Percent(1000))
	})
	t.Run("another box's finding of the usual pace ends an older slow one, and no newer one", func(t *testing.T) {
		var p Tracker
		p.Hear(300, 2, 1000)
		assert.False(t, p.Hear(100, 0, 990))
		assert.True(t, p.Slow(1010))
		assert.True(t, p.Hear(100, 0, 1020))
		assert.False(t, p.Slow(1020))
	})
	t.Run("an upstream that always says 100 is as one that says nothing", func(t *testing.T) {
		var p Tracker
		for now := clock.Millis(1000); now < 5000; now += 100 {
			assert.False(t, p.Report(100, now))
			assert.Equal(t, UsualPercent, p.Percent(now))
		}
	})
	t.Run("values out of range are clamped", func(t *testing.T) {
		var p Tracker
		p.Report(1_000_000, 1000)
		assert.Equal(t, MaxPercent, p.Percent(1000))
		p.Report(-5, 1001)
		assert.Equal(t, UsualPercent, p.Percent(1001))
	})
}
