package clock

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fixture is a clock whose time can advance without its timers, as it does while a machine
// is suspended.
type fixture struct {
	Clock
	suspendedMs atomic.Int64
}

func newFixture() *fixture {
	f := &fixture{}
	base := New()
	f.Clock = New(WithMonotonic(func() Millis { return base.Monotonic() + Millis(f.suspendedMs.Load()) }))
	return f
}

// suspend advances the clock by a span that timers don't count, then reschedules the timers.
func (f *fixture) suspend(span Millis) {
	f.suspendedMs.Add(int64(span))
	f.Resumed()
}

// advance lets a span elapse on the clock of the synctest bubble.
func advance(t *testing.T, span time.Duration) {
	t.Helper()
	require.NoError(t, New().Sleep(t.Context(), FromDuration(span)))
}

func TestSleep(t *testing.T) {
	sleep := func(f *fixture, span Millis) <-chan error {
		slept := make(chan error, 1)
		go func() { slept <- f.Sleep(context.Background(), span) }()
		synctest.Wait()
		return slept
	}
	t.Run("ends on resume if its time has elapsed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			slept := sleep(f, 5*Second)
			began := time.Now()
			f.suspend(10 * Second)
			require.NoError(t, <-slept)
			assert.Zero(t, time.Since(began))
		})
	})
	t.Run("waits for the remaining time after a suspension", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			slept := sleep(f, 5*Second)
			began := time.Now()
			f.suspend(3 * Second)
			require.NoError(t, <-slept)
			assert.Equal(t, 2*time.Second, time.Since(began))
		})
	})
	t.Run("returns the error of its context", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			assert.ErrorIs(t, f.Sleep(ctx, Second), context.Canceled)
		})
	})
}

func TestWithTimeout(t *testing.T) {
	t.Run("ends after its span", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			ctx, cancel := f.WithTimeout(t.Context(), Second)
			defer cancel()
			began := time.Now()
			<-ctx.Done()
			assert.Equal(t, time.Second, time.Since(began))
			assert.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
		})
	})
	t.Run("ends on resume if its time has elapsed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			ctx, cancel := f.WithTimeout(t.Context(), 5*Second)
			defer cancel()
			f.suspend(10 * Second)
			synctest.Wait()
			assert.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
		})
	})
	t.Run("releases its timer on cancel", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			for range 100 {
				_, cancel := f.WithTimeout(t.Context(), Second)
				cancel()
			}
			assert.Zero(t, f.pendingTimers())
		})
	})
}

func TestAfterFunc(t *testing.T) {
	t.Run("runs once even if it becomes due during a suspension", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			var runs atomic.Int32
			f.AfterFunc(Second, func() { runs.Add(1) })
			f.suspend(Second)
			advance(t, 2*time.Second)
			synctest.Wait()
			assert.Equal(t, int32(1), runs.Load())
		})
	})
	t.Run("does not run after Stop", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			timer := f.AfterFunc(Second, func() { t.Error("a stopped timer ran") })
			assert.True(t, timer.Stop())
			f.suspend(10 * Second)
			advance(t, 2*time.Second)
		})
	})
	t.Run("restarts on Reset", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			ran := make(chan time.Time, 1)
			timer := f.AfterFunc(Second, func() { ran <- time.Now() })
			began := time.Now()
			advance(t, 500*time.Millisecond)
			timer.Reset(Second)
			assert.Equal(t, 1500*time.Millisecond, (<-ran).Sub(began))
		})
	})
}

// TestBootTime reads the clock that includes suspensions.
func TestBootTime(t *testing.T) {
	c := New(WithBootTime())
	first := c.Monotonic()
	assert.Positive(t, first)
	assert.GreaterOrEqual(t, c.Monotonic(), first)
}

// BenchmarkMonotonic reads the monotonic time: "before" on the clock that excludes suspensions,
// "after" on the one that includes them.
func BenchmarkMonotonic(b *testing.B) {
	for name, c := range map[string]Clock{"before": New(), "after": New(WithBootTime())} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				_ = c.Monotonic()
			}
		})
	}
}
