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

// fixture is a clock whose time may go on while timers stand still, as they do while a
// machine is suspended.
type fixture struct {
	Clock
	skippedMs atomic.Int64
}

func newFixture() *fixture {
	f := &fixture{}
	base := New()
	f.Clock = New(WithSteady(func() Millis { return base.Steady() + Millis(f.skippedMs.Load()) }))
	return f
}

// suspend lets a span go by that timers don't count, and wakes what has waited for long enough.
func (f *fixture) suspend(span Millis) {
	f.skippedMs.Add(int64(span))
	f.Resumed()
}

// pass lets a span go by on the bubble's clock.
func pass(t *testing.T, span time.Duration) {
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
	t.Run("ends on waking when its time has passed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			slept := sleep(f, 5*Second)
			began := time.Now()
			f.suspend(10 * Second)
			require.NoError(t, <-slept)
			assert.Zero(t, time.Since(began))
		})
	})
	t.Run("goes on for what is left", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			slept := sleep(f, 5*Second)
			began := time.Now()
			f.suspend(3 * Second)
			require.NoError(t, <-slept)
			assert.Equal(t, 2*time.Second, time.Since(began))
		})
	})
	t.Run("ends with its context", func(t *testing.T) {
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
	t.Run("ends on waking when its time has passed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			ctx, cancel := f.WithTimeout(t.Context(), 5*Second)
			defer cancel()
			f.suspend(10 * Second)
			synctest.Wait()
			assert.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
		})
	})
	t.Run("leaves nothing behind", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			for range 100 {
				_, cancel := f.WithTimeout(t.Context(), Second)
				cancel()
			}
			assert.Zero(t, f.waiting())
		})
	})
}

func TestAfterFunc(t *testing.T) {
	t.Run("runs once, also when a suspension ends as it is due", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			var runs atomic.Int32
			f.AfterFunc(Second, func() { runs.Add(1) })
			f.suspend(Second)
			pass(t, 2*time.Second)
			synctest.Wait()
			assert.Equal(t, int32(1), runs.Load())
		})
	})
	t.Run("does not run once it was stopped", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			timer := f.AfterFunc(Second, func() { t.Error("it ran") })
			assert.True(t, timer.Stop())
			f.suspend(10 * Second)
			pass(t, 2*time.Second)
		})
	})
	t.Run("begins anew", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			ran := make(chan time.Time, 1)
			timer := f.AfterFunc(Second, func() { ran <- time.Now() })
			began := time.Now()
			pass(t, 500*time.Millisecond)
			timer.Reset(Second)
			assert.Equal(t, 1500*time.Millisecond, (<-ran).Sub(began))
		})
	})
}

// TestBootTime reads the clock that counts suspensions.
func TestBootTime(t *testing.T) {
	c := New(WithBootTime())
	first := c.Steady()
	assert.Positive(t, first)
	assert.GreaterOrEqual(t, c.Steady(), first)
}

// BenchmarkSteady reads the steady time: before, on the clock that leaves suspensions out, and
// after, on the one that counts them.
func BenchmarkSteady(b *testing.B) {
	for name, c := range map[string]Clock{"before": New(), "after": New(WithBootTime())} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				_ = c.Steady()
			}
		})
	}
}
