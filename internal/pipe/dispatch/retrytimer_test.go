package dispatch

import (
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
)

// TestRetryTimer guards against an attempt that is canceled too early, twice, or although no retry would help.
func TestRetryTimer(t *testing.T) {
	const span clock.Millis = 400
	waitIn := func(t *testing.T) func(ms clock.Millis) {
		t.Helper()
		return func(ms clock.Millis) {
			require.NoError(t, clock.New().Sleep(t.Context(), ms))
			synctest.Wait()
		}
	}
	type waiting = func(ms clock.Millis)
	run := func(t *testing.T, test func(wait waiting, timer *retryTimer, helps *atomic.Bool, expired *atomic.Int64)) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			helps, expired := &atomic.Bool{}, &atomic.Int64{}
			timer := startRetryTimer(clock.New(), span, helps.Load, func() bool { return expired.Add(1) > 0 })
			defer timer.stop()
			test(waitIn(t), timer, helps, expired)
		})
	}
	t.Run("a retry helps at once", func(t *testing.T) {
		run(t, func(wait waiting, _ *retryTimer, helps *atomic.Bool, expired *atomic.Int64) {
			helps.Store(true)
			wait(span - 1)
			assert.Zero(t, expired.Load())
			wait(3 * span)
			assert.EqualValues(t, 1, expired.Load())
		})
	})
	t.Run("a retry helps later", func(t *testing.T) {
		run(t, func(wait waiting, _ *retryTimer, helps *atomic.Bool, expired *atomic.Int64) {
			wait(5 * span)
			assert.Zero(t, expired.Load())
			helps.Store(true)
			wait(span)
			assert.EqualValues(t, 1, expired.Load())
		})
	})
	t.Run("the last retry was taken meanwhile", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			left, expired := atomic.Bool{}, atomic.Int64{}
			timer := startRetryTimer(clock.New(), span, func() bool { return true }, func() bool {
				if left.Load() {
					expired.Add(1)
				}
				return left.Load()
			})
			defer timer.stop()
			wait := waitIn(t)
			wait(3 * span)
			left.Store(true)
			wait(3 * span)
			assert.EqualValues(t, 1, expired.Load())
		})
	})
	t.Run("progress starts the span anew", func(t *testing.T) {
		run(t, func(wait waiting, timer *retryTimer, helps *atomic.Bool, expired *atomic.Int64) {
			helps.Store(true)
			wait(span - 1)
			timer.recordProgress()
			wait(span - 1)
			assert.Zero(t, expired.Load())
		})
	})
	t.Run("progress while the check runs", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			expired := atomic.Int64{}
			timer, wait := atomic.Pointer[retryTimer]{}, waitIn(t)
			timer.Store(startRetryTimer(clock.New(), span, func() bool {
				timer.Load().recordProgress()
				return true
			}, func() bool { return expired.Add(1) > 0 }))
			wait(span + span/2)
			timer.Load().stop()
			wait(2 * span)
			assert.Zero(t, expired.Load())
		})
	})
	t.Run("none after the end", func(t *testing.T) {
		run(t, func(wait waiting, timer *retryTimer, helps *atomic.Bool, expired *atomic.Int64) {
			wait(2 * span)
			timer.stop()
			helps.Store(true)
			wait(2 * span)
			assert.Zero(t, expired.Load())
		})
	})
}
